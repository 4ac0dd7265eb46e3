// Package caller is the client library for programs that send requests through
// the system. It looks up the entry instances, caches the response for its time
// to live, sends requests to the preferred instance and fails over to the others.
//
// A non-idempotent request gets an idempotency key that is issued by the instance
// to which it is sent first. Each retry uses the same key, so that the request is
// executed at most once. If no instance can determine whether the request was
// executed, the response contains outcome.Unknown, and the program must find out
// by other means.
//
// Limit: a request is sent at most MaxAttempts times.
package caller
