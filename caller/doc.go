// Package caller is the client side of the system for programs that send
// requests: it looks up the entry instances, caches the answer for its time to
// live, sends requests to the preferred instance and fails over to the others.
//
// A non-idempotent request gets an idempotency key of the instance that it is
// sent to first. It is sent again only with the same key, so that it is
// executed at most once. When no instance can say whether it was executed, the
// response says outcome.Unknown, and the program must find out by other means.
//
// Limits: a request is sent at most MaxAttempts times.
package caller
