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
	// leaseDuration is how long the registration of a dead instance stays. Whether
	// an instance lives shows by its messages, so it may be long.
	leaseDuration = time.Minute
	// renewInterval leaves room for two lost renewals.
	renewInterval = leaseDuration / 3
	// registrationCheckInterval is how often an instance looks in its own records
	// whether its registration still stands.
	registrationCheckInterval = 2 * time.Second
	// readBackTimeout is how long a written registration may take to come back from
	// the store before it is written again.
	readBackTimeout = 6 * time.Second
	// Pauses after failed registrations, doubled from the first to the last.
	minRegisterBackoff = 500 * time.Millisecond
	maxRegisterBackoff = 8 * time.Second
)

// keepRegistered keeps this instance registered in the store.
func (n *Node) keepRegistered(ctx context.Context) {
	pause := minRegisterBackoff
	var due, seen time.Time // When to renew, and by when the record must be among the own ones.
	for ctx.Err() == nil && !n.leaving.Load() {
		if now := time.Now(); now.Before(due) && (n.isRegistered() || now.Before(seen)) {
			sleep(ctx, registrationCheckInterval)
			continue
		}
		if err := n.renewOrRegister(ctx); err != nil {
			if pause == minRegisterBackoff {
				n.events.Emit(events.InstanceNotRegistered, log.Fields{"error": err.Error()})
			}
			// Instances that lost the store together do not return together.
			sleep(ctx, pause+rand.N(pause/2))
			pause = min(2*pause, maxRegisterBackoff)
			continue
		}
		pause, due, seen = minRegisterBackoff, time.Now().Add(renewInterval), time.Now().Add(readBackTimeout)
		sleep(ctx, registrationCheckInterval)
	}
}

// isRegistered reports whether this instance's record is in the store, as far as
// it knows.
func (n *Node) isRegistered() bool {
	_, ok := n.mirror.State().Instances[n.self.Name]
	return ok
}

// renewOrRegister extends the lease, or registers when there is none or the record has
// gone.
func (n *Node) renewOrRegister(ctx context.Context) error {
	lease := kv.LeaseID(n.lease.Load())
	if lease != 0 && n.isRegistered() {
		err := n.options.Store.RenewLease(ctx, lease)
		if !errors.Is(err, kv.ErrNotFound) {
			return err
		}
	}
	lease, err := n.options.Store.GrantLease(ctx, leaseDuration)
	if err != nil {
		return err
	}
	value, err := n.options.Platform.InstanceValue(n.self)
	if err != nil {
		return err
	}
	if err := n.options.Store.Put(ctx, n.options.Platform.InstanceKey(n.self.Name), value, lease); err != nil {
		return err
	}
	n.lease.Store(uint64(lease))
	n.events.Emit(events.InstanceRegistered, log.Fields{"lease": uint64(lease)})
	return nil
}

// unregister ends the registration. When the store does not answer, it lapses.
func (n *Node) unregister(ctx context.Context) {
	lease := kv.LeaseID(n.lease.Load())
	if lease == 0 {
		return
	}
	if err := n.options.Store.RevokeLease(ctx, lease); err != nil {
		n.events.Emit(events.InstanceNotRegistered, log.Fields{"error": err.Error()})
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
