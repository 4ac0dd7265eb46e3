package gateway

// Pipelined requests are passed on to targets before the responses to earlier ones
// are complete. When the target of an earlier one breaks off a response of which a
// part has been written, the connection must end, and so would the requests behind.
// A response is therefore passed on while it arrives only if no request behind it
// has been passed on, and none is until it ends.

// passOn makes an exchange the last one that is passed on to a target. It waits
// while a response is passed on as it arrives, and reports false if the connection
// has ended by then.
func (c *conn) passOn(ex *exchange) bool {
	for {
		c.mu.Lock()
		streamed := c.streamed
		if streamed == nil {
			c.lastPassedOn = ex
			c.mu.Unlock()
			return true
		}
		c.mu.Unlock()
		<-streamed.ended
		if c.ctx.Err() != nil {
			return false
		}
	}
}

// beginStream reports whether the response of an exchange may be passed on as it
// arrives, and then holds back later requests until it ends.
func (c *conn) beginStream(ex *exchange) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.lastPassedOn != ex {
		return false
	}
	c.streamed = ex
	return true
}

// endStream lets later requests be passed on after the response of an exchange has
// been written.
func (c *conn) endStream(ex *exchange) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.streamed == ex {
		c.streamed = nil
	}
}
