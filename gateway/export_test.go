package gateway

// CancelAttempts cancels the attempts at a target as if it were considered lost.
func (g *Gateway) CancelAttempts(target string) { g.inFlight.cancelTarget(target) }
