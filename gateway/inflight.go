package gateway

import (
	"context"
	"errors"
	"sync"
)

// errTargetLost is the cancellation cause of attempts at a target that went down
// without closing its connections.
var errTargetLost = errors.New("target does not respond to connection attempts")

// inFlightAttempts holds the cancel functions of the attempts that wait for a
// response, by target.
type inFlightAttempts struct {
	mu       sync.Mutex
	byTarget map[string]map[*context.CancelCauseFunc]struct{}
}

// add registers an attempt. The returned context is cancelled when the target is
// lost, unless responding was called before. done must be called when the attempt
// has ended.
func (attempts *inFlightAttempts) add(ctx context.Context, target string) (attemptCtx context.Context, responding, done func()) {
	attemptCtx, cancel := context.WithCancelCause(ctx)
	attempts.mu.Lock()
	defer attempts.mu.Unlock()
	if attempts.byTarget == nil {
		attempts.byTarget = map[string]map[*context.CancelCauseFunc]struct{}{}
	}
	if attempts.byTarget[target] == nil {
		attempts.byTarget[target] = map[*context.CancelCauseFunc]struct{}{}
	}
	attempts.byTarget[target][&cancel] = struct{}{}
	responding = func() {
		attempts.mu.Lock()
		defer attempts.mu.Unlock()
		delete(attempts.byTarget[target], &cancel)
		if len(attempts.byTarget[target]) == 0 {
			delete(attempts.byTarget, target)
		}
	}
	return attemptCtx, responding, func() {
		cancel(nil)
		responding()
	}
}

// cancelTarget cancels all attempts at a target with errTargetLost as cause.
func (attempts *inFlightAttempts) cancelTarget(target string) {
	attempts.mu.Lock()
	defer attempts.mu.Unlock()
	for cancel := range attempts.byTarget[target] {
		(*cancel)(errTargetLost)
	}
}
