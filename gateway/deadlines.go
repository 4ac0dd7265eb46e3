package gateway

import (
	"sync"
	"time"
)

// deadlineHistory tells how long ago callers first asked. Callers of a route mostly
// start with the same deadline; one that was refused and comes back has less.
type deadlineHistory struct {
	mu     sync.Mutex
	routes map[string]*majorityDeadline
}

// majorityDeadline finds the most frequent deadline of a route (majority vote with one
// counter).
type majorityDeadline struct {
	deadline time.Duration
	votes    int
}

// maxVotes bounds how long a change of the callers' habit takes to show.
const maxVotes = 50

// sinceFirstRequest returns the time since a caller first asked, by the deadline that it
// sends now, and counts the deadline.
func (p *deadlineHistory) sinceFirstRequest(route string, deadline time.Duration) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	u := p.routes[route]
	if u == nil {
		u = &majorityDeadline{deadline: deadline}
		p.routes[route] = u
	}
	switch {
	case u.deadline == deadline:
		u.votes = min(maxVotes, u.votes+1)
	case u.votes == 0:
		u.deadline, u.votes = deadline, 1
	default:
		u.votes--
	}
	return max(0, u.deadline-deadline)
}
