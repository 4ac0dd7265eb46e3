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
func (history *deadlineHistory) sinceFirstRequest(route string, deadline time.Duration) time.Duration {
	history.mu.Lock()
	defer history.mu.Unlock()
	majority := history.routes[route]
	if majority == nil {
		majority = &majorityDeadline{deadline: deadline}
		history.routes[route] = majority
	}
	switch {
	case majority.deadline == deadline:
		majority.votes = min(maxVotes, majority.votes+1)
	case majority.votes == 0:
		majority.deadline, majority.votes = deadline, 1
	default:
		majority.votes--
	}
	return max(0, majority.deadline-deadline)
}
