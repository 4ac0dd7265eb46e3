package forward

import (
	"net/http"
	"strings"

	"github.com/jacinthstall/jacinthstall/outcome"
)

// hopByHopHeaders apply to a single connection and are never forwarded.
var hopByHopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// removedRequestHeaders are the headers that callers must not be able to pass to
// a target.
var removedRequestHeaders = []string{
	"Host", "Content-Length", "Expect",
	outcome.HeaderExecuted, outcome.HeaderReason, outcome.HeaderIdempotencyKeyPrefix,
	outcome.HeaderTargetState, outcome.HeaderTarget, outcome.HeaderInstance,
}

// removedResponseHeaders are the headers that targets must not be able to pass to
// a caller.
var removedResponseHeaders = []string{
	"Content-Length",
	outcome.HeaderExecuted, outcome.HeaderReason, outcome.HeaderIdempotencyKey, outcome.HeaderIdempotencyKeyPrefix,
	outcome.HeaderDeadline, outcome.HeaderTargetState, outcome.HeaderTarget, outcome.HeaderInstance,
}

// CleanRequestHeaders removes the headers that are not forwarded to a target:
// hop-by-hop headers, message framing headers, and the headers of this system
// except for the idempotency key and the deadline.
func CleanRequestHeaders(h http.Header) {
	removeHopByHop(h)
	removeHeaders(h, removedRequestHeaders)
}

// CleanResponseHeaders removes the headers that are not forwarded to a caller.
func CleanResponseHeaders(h http.Header) {
	removeHopByHop(h)
	removeHeaders(h, removedResponseHeaders)
}

func removeHopByHop(h http.Header) {
	for _, line := range h.Values("Connection") {
		for _, name := range strings.Split(line, ",") {
			h.Del(strings.TrimSpace(name))
		}
	}
	removeHeaders(h, hopByHopHeaders)
}

func removeHeaders(header http.Header, names []string) {
	for _, name := range names {
		header.Del(name)
	}
}
