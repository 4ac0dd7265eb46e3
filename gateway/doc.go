// Package gateway receives requests from callers, forwards them to targets and
// returns the responses.
//
// From top to bottom: server.go accepts connections and shuts them down, conn.go
// reads the requests of one connection and writes the responses in order, read.go
// and write.go implement the exchange with the caller, serve.go finds the route
// and decides on attempts, attempt.go makes one attempt at a target, relay.go
// makes attempts through relays and for peers.
//
// Load pattern: callers send further requests before the first response. The
// requests of one connection run concurrently; only their responses are kept in
// order. When a caller disconnects, its requests are cancelled at the targets.
package gateway
