package gateway

import (
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/apex/log"

	"github.com/jacinthstall/jacinthstall/events"
)

const (
	// bodyMemoryFraction is the fraction of the memory limit that bodies of requests
	// and responses may take together.
	bodyMemoryFraction = 0.25
	// memoryPerRequest is the share of the memory limit for each request that is
	// accepted at a time. About a third of it is used by an ordinary request; see
	// docs/design/uploads.md.
	memoryPerRequest = 192 << 10
	// maxPipelinedFraction is the fraction of the accepted requests that may have been
	// sent behind others on their connections. Callers that send many requests at a time
	// leave the rest to others.
	maxPipelinedFraction = 0.75
	// streamedRequestBytes is reserved for a request whose body is streamed: its first
	// part, and the buffers to the target.
	streamedRequestBytes = maxBufferedBodyBytes + 48<<10
	// unreservedResponseBytes is the length up to which a response needs no
	// reservation. It is part of memoryPerRequest.
	unreservedResponseBytes = 4 << 10
	// Range of the Retry-After of requests that are refused for lack of memory.
	minMemoryRetryAfter = 50 * time.Millisecond
	maxMemoryRetryAfter = 2 * time.Second
	// memoryRestoredAfter is the time without a refusal after which memory counts as
	// available again.
	memoryRestoredAfter = time.Second
	// holdTimeWeight is the weight of one request in the average of holdTime.
	holdTimeWeight = 0.02
	// initialHoldTime is assumed before any request has ended.
	initialHoldTime = 500 * time.Millisecond
)

// Reasons of responses to requests that are refused for lack of memory.
const (
	reasonRequestsFull = "requests-full" // Too many requests are in progress.
	reasonMemoryFull   = "memory-full"   // Too many bytes of bodies are held.
)

// memoryBudget limits the requests in progress and the bytes that are held for callers
// and targets together. It is safe for concurrent use.
type memoryBudget struct {
	mu          sync.Mutex
	maxRequests int   // 0: no limit.
	maxBytes    int64 // 0: no limit.
	requests    int
	bytes       int64
	holdTime    time.Duration // Average time from the acceptance of a request to its end.
	shortSince  time.Time     // First refusal since memory was available; zero if it is available.
	lastRefusal time.Time
}

// newMemoryBudget returns the budget of a process with a memory limit in bytes; 0 means
// no limit.
func newMemoryBudget(memory int64) *memoryBudget {
	budget := &memoryBudget{holdTime: initialHoldTime}
	if memory > 0 {
		budget.maxRequests = int(max(1, memory/memoryPerRequest))
		budget.maxBytes = max(1, int64(bodyMemoryFraction*float64(memory)))
	}
	return budget
}

// acceptRequest reports whether a further request may be accepted. pipelined is true
// for a request behind another one on its connection. restored is the time for which
// memory was short if it has become available.
func (budget *memoryBudget) acceptRequest(now time.Time, pipelined bool) (accepted bool, restored time.Duration) {
	budget.mu.Lock()
	defer budget.mu.Unlock()
	limit := budget.maxRequests
	if pipelined {
		limit = int(maxPipelinedFraction * float64(limit))
	}
	if budget.maxRequests > 0 && budget.requests >= limit {
		return false, 0
	}
	budget.requests++
	if !budget.shortSince.IsZero() && now.Sub(budget.lastRefusal) >= memoryRestoredAfter {
		restored = budget.lastRefusal.Sub(budget.shortSince)
		budget.shortSince = time.Time{}
		return true, max(restored, 1)
	}
	return true, 0
}

// cancelRequest ends an accepted request that is refused. It does not count in holdTime:
// a refusal takes next to no time, and many of them would make the Retry-After shorter
// than the requests in progress take.
func (budget *memoryBudget) cancelRequest() {
	budget.mu.Lock()
	defer budget.mu.Unlock()
	budget.requests--
}

// endRequest ends an accepted request that was in progress for some time.
func (budget *memoryBudget) endRequest(held time.Duration) {
	budget.mu.Lock()
	defer budget.mu.Unlock()
	budget.requests--
	budget.holdTime += time.Duration(holdTimeWeight * float64(held-budget.holdTime))
}

// reserve reports whether a further number of bytes may be held.
func (budget *memoryBudget) reserve(n int64) bool {
	budget.mu.Lock()
	defer budget.mu.Unlock()
	if budget.maxBytes > 0 && budget.bytes+n > budget.maxBytes {
		return false
	}
	budget.bytes += n
	return true
}

func (budget *memoryBudget) release(n int64) {
	budget.mu.Lock()
	defer budget.mu.Unlock()
	budget.bytes -= n
}

// refuse records a refusal and returns its Retry-After: about half of the requests in
// progress will have ended by then. spread, from 0 to 1, separates callers that are
// refused at the same time.
func (budget *memoryBudget) refuse(now time.Time, spread float64) time.Duration {
	budget.mu.Lock()
	defer budget.mu.Unlock()
	if budget.shortSince.IsZero() {
		budget.shortSince = now
	}
	budget.lastRefusal = now
	after := time.Duration((0.5 + spread) * float64(budget.holdTime))
	return min(maxMemoryRetryAfter, max(minMemoryRetryAfter, after))
}

// used returns the requests in progress and the bytes held.
func (budget *memoryBudget) used() (requests int, bytes int64) {
	budget.mu.Lock()
	defer budget.mu.Unlock()
	return budget.requests, budget.bytes
}

// MemoryUse returns the requests in progress, the bytes of bodies held for them, and
// their limits; a limit of 0 means none.
func (g *Gateway) MemoryUse() (requests int, bytes int64, maxRequests int, maxBytes int64) {
	requests, bytes = g.memory.used()
	return requests, bytes, g.memory.maxRequests, g.memory.maxBytes
}

// heldMemory is the part of the budget that a request uses. It is used by one goroutine
// at a time.
type heldMemory struct {
	budget   *memoryBudget // Nil if the request was not accepted.
	accepted time.Time
	bytes    int64
}

// reserve reports whether the request may hold a further number of bytes. They are
// released at its end.
func (held *heldMemory) reserve(n int64) bool {
	if !held.budget.reserve(n) {
		return false
	}
	held.bytes += n
	return true
}

// release releases part of what the request has reserved.
func (held *heldMemory) release(n int64) {
	held.budget.release(n)
	held.bytes -= n
}

// end releases all that the request uses.
func (held *heldMemory) end(now time.Time) {
	if held.budget == nil {
		return
	}
	held.budget.release(held.bytes)
	held.budget.endRequest(now.Sub(held.accepted))
	*held = heldMemory{}
}

// cancel is end for a request that is refused.
func (held *heldMemory) cancel() {
	if held.budget == nil {
		return
	}
	held.budget.release(held.bytes)
	held.budget.cancelRequest()
	*held = heldMemory{}
}

// acceptMemory accepts a request and reserves the memory for its body, which has not
// been read. It returns the response to a request that is refused.
func (g *Gateway) acceptMemory(incoming *incomingRequest) *response {
	now := time.Now()
	accepted, restored := g.memory.acceptRequest(now, incoming.pipelined)
	if restored > 0 {
		requests, bytes := g.memory.used()
		g.events.Emit(events.MemoryAvailable, log.Fields{"shortMs": restored.Milliseconds(), "requests": requests, "bytes": bytes})
	}
	if !accepted {
		return g.refuseForMemory(now, incoming, reasonRequestsFull)
	}
	incoming.held = heldMemory{budget: g.memory, accepted: now}
	if !incoming.held.reserve(bodyReservation(incoming.httpRequest)) {
		return g.refuseForMemory(now, incoming, reasonMemoryFull)
	}
	return nil
}

// bodyReservation returns the bytes to reserve for the body of a request.
func bodyReservation(request *http.Request) int64 {
	switch {
	case request.Body == nil || request.Body == http.NoBody:
		return 0
	case request.ContentLength < 0 || request.ContentLength > maxBufferedBodyBytes:
		return streamedRequestBytes
	}
	return request.ContentLength
}

// refuseForMemory records a request that is refused for lack of memory, and returns the
// response to it.
func (g *Gateway) refuseForMemory(now time.Time, incoming *incomingRequest, reason string) *response {
	incoming.held.cancel()
	retryAfter := g.memory.refuse(now, rand.Float64())
	g.counters.recordRefusal(reason)
	if refused, write := g.refusalLog.Record(now, reason); write {
		requests, bytes := g.memory.used()
		g.events.Emit(events.MemoryShort, log.Fields{"reason": reason, "request": g.Headers.RequestID(incoming.httpRequest.Header), "refused": refused,
			"requests": requests, "bytes": bytes, "retryAfterMs": retryAfter.Milliseconds()})
	}
	return retryAfterResponse(http.StatusServiceUnavailable, reason, retryAfter)
}
