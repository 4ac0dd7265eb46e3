package forward

import (
	"net/http"
	"strings"

	"github.com/jacinthstall/jacinthstall/outcome"
)

// hopHeaders belong to one connection and are never passed on.
var hopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// requestOnly are headers that a caller must not send to a target.
var requestOnly = []string{
	"Host", "Content-Length", "Expect",
	outcome.HeaderExecuted, outcome.HeaderReason, outcome.HeaderIdempotencyKeyPrefix,
	outcome.HeaderTargetState, outcome.HeaderTarget, outcome.HeaderInstance,
}

// answerOnly are headers that a target must not send to a caller.
var answerOnly = []string{
	"Content-Length",
	outcome.HeaderExecuted, outcome.HeaderReason, outcome.HeaderIdempotencyKey, outcome.HeaderIdempotencyKeyPrefix,
	outcome.HeaderDeadline, outcome.HeaderTargetState, outcome.HeaderTarget, outcome.HeaderInstance,
}

// CleanRequest removes the headers that are not passed on to a target:
// hop-by-hop ones, those that frame the message, and the system's own, except
// for the idempotency key and the deadline.
func CleanRequest(h http.Header) {
	removeHop(h)
	remove(h, requestOnly)
}

// CleanAnswer removes the headers that are not passed on to a caller.
func CleanAnswer(h http.Header) {
	removeHop(h)
	remove(h, answerOnly)
}

func removeHop(h http.Header) {
	for _, line := range h.Values("Connection") {
		for _, name := range strings.Split(line, ",") {
			h.Del(strings.TrimSpace(name))
		}
	}
	remove(h, hopHeaders)
}

func remove(h http.Header, names []string) {
	for _, name := range names {
		h.Del(name)
	}
}
