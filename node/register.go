package node

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/apex/log"

	"github.com/jacinthstall/jacinthstall/events"
	"github.com/jacinthstall/jacinthstall/kv"
)

const (
	// leaseDuration is how long the registration of a dead instance remains. It
	// may be long, because gossip tells which instances are alive.
	leaseDuration = time.Minute
	// renewInterval allows for two lost renewals.
	renewInterval = leaseDuration / 3
	// registrationCheckInterval is how often an instance checks its mirror for
	// its own registration.
	registrationCheckInterval = 2 * time.Second
	// readBackTimeout is how long a written registration may take to appear in
	// the mirror before it is written again.
	readBackTimeout = 6 * time.Second
	// Bounds of the exponential backoff after failed registrations.
	minRegisterBackoff = 500 * time.Millisecond
	maxRegisterBackoff = 8 * time.Second
)

// keepRegistered keeps this instance registered in the store.
func (node *Node) keepRegistered(ctx context.Context) {
	pause := minRegisterBackoff
	var schedule registrationSchedule
	for ctx.Err() == nil && !node.leaving.Load() {
		delay := rand.N(rewriteSpread(node.instanceCount()))
		if wait := schedule.wait(time.Now(), node.isRegistered(), node.leaseOutdated(), delay); wait > 0 {
			sleep(ctx, wait)
			continue
		}
		if err := node.renewOrRegister(ctx); err != nil {
			if pause == minRegisterBackoff {
				node.events.Emit(events.InstanceNotRegistered, log.Fields{"error": err.Error()})
			}
			// Jitter spreads the calls of instances that lost the store at the same time.
			sleep(ctx, pause+rand.N(pause/2))
			pause = min(2*pause, maxRegisterBackoff)
			continue
		}
		pause = minRegisterBackoff
		schedule.succeeded(time.Now())
		sleep(ctx, registrationCheckInterval)
	}
}

// isRegistered reports whether the mirror holds this instance's record.
func (node *Node) isRegistered() bool {
	_, ok := node.mirror.State().Instances[node.self.Name]
	return ok
}

// renewOrRegister extends the lease, or registers the instance if it has no
// lease or its record has been deleted.
func (node *Node) renewOrRegister(ctx context.Context) error {
	if held := node.lease.Load(); held != nil && node.isRegistered() && !node.leaseOutdated() {
		err := node.options.Store.RenewLease(ctx, *held)
		if !errors.Is(err, kv.ErrNotFound) {
			return err
		}
	}
	lease, err := node.options.Store.GrantLease(ctx, leaseDuration)
	if err != nil {
		return err
	}
	value, err := node.options.Platform.InstanceValue(node.self)
	if err != nil {
		return err
	}
	if err := node.options.Store.Put(ctx, node.options.Platform.InstanceKey(node.self.Name), value, lease); err != nil {
		return err
	}
	node.lease.Store(&lease)
	node.events.Emit(events.InstanceRegistered, log.Fields{"lease": lease.Number})
	return nil
}

// unregister ends the registration. If the store doesn't respond, the lease
// expires.
func (node *Node) unregister(ctx context.Context) {
	lease := node.lease.Load()
	if lease == nil {
		return
	}
	if err := node.options.Store.RevokeLease(ctx, *lease); err != nil {
		node.events.Emit(events.InstanceNotRegistered, log.Fields{"error": err.Error()})
	}
}

func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}
