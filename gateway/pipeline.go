package gateway

import "sync/atomic"

// Pipelined requests are passed on to targets before the responses to earlier ones
// are complete. When the target of an earlier one breaks off a response of which a
// part has been written, the connection must end, and so would the requests behind.
// A response is therefore passed on while it arrives only if no request behind it
// has been passed on, and none is until it ends. Any other response is held until it
// is complete. If it cannot be held, the caller gets 502 in its place.

// passOn waits while a response to an earlier request is passed on as it arrives. It
// reports false if the connection has ended by then; otherwise the request of the
// exchange is about to be passed on to a target.
func (c *conn) passOn(ex *exchange) bool {
	for {
		c.mu.Lock()
		streamed := c.streamed
		if streamed == nil || streamed.number > ex.number {
			c.lastPassedOn = max(c.lastPassedOn, ex.number)
			c.mu.Unlock()
			return c.ctx.Err() == nil
		}
		c.mu.Unlock()
		select {
		case <-streamed.ended:
		case <-c.ctx.Done():
			return false
		}
	}
}

// beginStream reports whether the response of an exchange may be passed on as it
// arrives, and then holds back later requests until it ends.
func (c *conn) beginStream(ex *exchange) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.lastPassedOn > ex.number {
		return false
	}
	c.streamed = ex
	return true
}

// endResponse records that the response of an exchange has been written, and lets later
// requests be passed on.
func (c *conn) endResponse(ex *exchange) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lastEnded = ex.number
	if c.streamed == ex {
		c.streamed = nil
	}
}

// isNext reports whether all responses before that of an exchange have been written.
func (c *conn) isNext(ex *exchange) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.lastEnded == ex.number-1
}

// maxPipelinedResponses limits the long responses that are held in memory because of
// other requests on their connections, over all connections. The memory limit of the
// process, if there is one, limits their bytes.
const maxPipelinedResponses = 64

// responseSlots counts the long responses that are held in memory.
type responseSlots struct{ used atomic.Int32 }

// acquire reports whether a further response, to the given request, may be held in
// memory.
func (slots *responseSlots) acquire(request *incomingRequest) bool {
	if slots.used.Add(1) > maxPipelinedResponses {
		slots.used.Add(-1)
		return false
	}
	request.heldResponses++
	return true
}

func (slots *responseSlots) release(n int32) { slots.used.Add(-n) }
