package gateway

import "time"

// CancelAttempts cancels the attempts at a target as if it were considered lost.
func (g *Gateway) CancelAttempts(target string) { g.inFlight.cancelTarget(target) }

// UseMemory changes the memory limit. It must be called before the first request.
func (g *Gateway) UseMemory(limit int64) { g.memory = newMemoryBudget(limit) }

// SetFirstRequestTime changes how long a new connection is kept for its first request
// when idle connections are closed. It must be called before Run.
func (s *Server) SetFirstRequestTime(d time.Duration) { s.firstRequestTime = d }

// SetDialTimeout changes baseDialTimeout for this instance. It must be called before the
// first request.
func (g *Gateway) SetDialTimeout(d time.Duration) { g.dialTimeout = d }
