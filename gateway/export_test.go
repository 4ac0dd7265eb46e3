package gateway

// CancelAttempts ends the attempts at a target that counts as lost.
func (g *Gateway) CancelAttempts(target string) { g.inFlight.cancelTarget(target) }
