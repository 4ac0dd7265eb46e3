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
	// leaseTime is how long the registration of a dead instance stays. Whether
	// an instance lives shows by its messages, so it may be long.
	leaseTime = time.Minute
	// renewInterval leaves room for two lost renewals.
	renewInterval = leaseTime / 3
	// registrationCheck is how often an instance looks in its own records
	// whether its registration still stands.
	registrationCheck = 2 * time.Second
	// readBackTime is how long a written registration may take to come back from
	// the store before it is written again.
	readBackTime = 6 * time.Second
	// Pauses after failed registrations, doubled from the first to the last.
	firstRegisterPause = 500 * time.Millisecond
	lastRegisterPause  = 8 * time.Second
)

// register keeps this instance registered in the store.
func (n *Node) register(ctx context.Context) {
	pause := firstRegisterPause
	var due, seen time.Time // When to renew, and by when the record must be among the own ones.
	for ctx.Err() == nil && !n.leaving.Load() {
		if now := time.Now(); now.Before(due) && (n.registered() || now.Before(seen)) {
			sleep(ctx, registrationCheck)
			continue
		}
		if err := n.renew(ctx); err != nil {
			if pause == firstRegisterPause {
				n.events.Emit(events.InstanceNotRegistered, log.Fields{"error": err.Error()})
			}
			// Instances that lost the store together do not return together.
			sleep(ctx, pause+rand.N(pause/2))
			pause = min(2*pause, lastRegisterPause)
			continue
		}
		pause, due, seen = firstRegisterPause, time.Now().Add(renewInterval), time.Now().Add(readBackTime)
		sleep(ctx, registrationCheck)
	}
}

// registered reports whether this instance's record is in the store, as far as
// it knows.
func (n *Node) registered() bool {
	_, ok := n.mirror.World().Instances[n.self.Name]
	return ok
}

// renew extends the lease, or registers when there is none or the record has
// gone.
func (n *Node) renew(ctx context.Context) error {
	lease := kv.LeaseID(n.lease.Load())
	if lease != 0 && n.registered() {
		err := n.options.Store.RenewLease(ctx, lease)
		if !errors.Is(err, kv.ErrNotFound) {
			return err
		}
	}
	lease, err := n.options.Store.GrantLease(ctx, leaseTime)
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
