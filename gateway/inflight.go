package gateway

import (
	"context"
	"errors"
	"sync"
)

// errTargetLost is the cause of attempts that end because their target was
// found to have gone without closing its connections.
var errTargetLost = errors.New("target answers no connection attempts")

// inFlightAttempts are the attempts that wait for an answer, by target.
type inFlightAttempts struct {
	mu       sync.Mutex
	byTarget map[string]map[*context.CancelCauseFunc]struct{}
}

// add adds an attempt. The context ends when the target is lost; done must
// be called once the attempt has ended.
func (f *inFlightAttempts) add(ctx context.Context, target string) (sent context.Context, done func()) {
	sent, cancel := context.WithCancelCause(ctx)
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.byTarget == nil {
		f.byTarget = map[string]map[*context.CancelCauseFunc]struct{}{}
	}
	if f.byTarget[target] == nil {
		f.byTarget[target] = map[*context.CancelCauseFunc]struct{}{}
	}
	f.byTarget[target][&cancel] = struct{}{}
	return sent, func() {
		cancel(nil)
		f.mu.Lock()
		defer f.mu.Unlock()
		delete(f.byTarget[target], &cancel)
		if len(f.byTarget[target]) == 0 {
			delete(f.byTarget, target)
		}
	}
}

// cancelTarget ends all attempts at a target.
func (f *inFlightAttempts) cancelTarget(target string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for cancel := range f.byTarget[target] {
		(*cancel)(errTargetLost)
	}
}
