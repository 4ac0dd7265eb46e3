package gateway

import (
	"context"
	"errors"
	"sync"
)

// errTargetLost is the cause of attempts that end because their target was
// found to have gone without closing its connections.
var errTargetLost = errors.New("target answers no connection attempts")

// flights are the attempts that wait for an answer, by target.
type flights struct {
	mu      sync.Mutex
	targets map[string]map[*context.CancelCauseFunc]struct{}
}

// enter adds an attempt. The context ends when the target is lost; done must
// be called once the attempt has ended.
func (f *flights) enter(ctx context.Context, target string) (sent context.Context, done func()) {
	sent, cancel := context.WithCancelCause(ctx)
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.targets == nil {
		f.targets = map[string]map[*context.CancelCauseFunc]struct{}{}
	}
	if f.targets[target] == nil {
		f.targets[target] = map[*context.CancelCauseFunc]struct{}{}
	}
	f.targets[target][&cancel] = struct{}{}
	return sent, func() {
		cancel(nil)
		f.mu.Lock()
		defer f.mu.Unlock()
		delete(f.targets[target], &cancel)
		if len(f.targets[target]) == 0 {
			delete(f.targets, target)
		}
	}
}

// end ends all attempts at a target.
func (f *flights) end(target string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for cancel := range f.targets[target] {
		(*cancel)(errTargetLost)
	}
}
