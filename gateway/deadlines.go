package gateway

import (
	"sync"
	"time"
)

// deadlineHistory estimates how long ago callers first sent a request. Most
// callers of a route start with the same deadline, so a shorter deadline
// indicates a request that was refused before and sent again.
type deadlineHistory struct {
	mu     sync.Mutex
	routes map[string]*majorityDeadline
}

// majorityDeadline tracks the most frequent deadline of a route by a
// Boyer-Moore majority vote.
type majorityDeadline struct {
	deadline time.Duration
	votes    int
}

// maxVotes limits the number of requests with a new deadline until that deadline
// becomes the majority.
const maxVotes = 50

// sinceFirstRequest estimates the time since the caller first sent a request from
// the remaining deadline that it states now, and counts that deadline as a vote.
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

// sinceFirstRequestUncounted is sinceFirstRequest without counting a vote.
func (history *deadlineHistory) sinceFirstRequestUncounted(route string, deadline time.Duration) time.Duration {
	history.mu.Lock()
	defer history.mu.Unlock()
	majority := history.routes[route]
	if majority == nil || majority.votes == 0 {
		return 0
	}
	return max(0, majority.deadline-deadline)
}
