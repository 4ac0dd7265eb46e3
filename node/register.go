package node

import (
	"context"
	"errors"
	"time"

	"github.com/apex/log"

	"github.com/jacinthstall/jacinthstall/events"
	"github.com/jacinthstall/jacinthstall/kv"
)

const (
	// leaseTime is how long the registration of a dead instance stays. Whether
	// an instance lives shows by its messages.
	leaseTime = 15 * time.Second
	// renewInterval leaves room for two lost renewals.
	renewInterval = leaseTime / 3
	// registerPause follows a failed registration.
	registerPause = 500 * time.Millisecond
)

// register keeps this instance registered in the store.
func (n *Node) register(ctx context.Context) {
	failing := false
	for ctx.Err() == nil && !n.leaving.Load() {
		err := n.renew(ctx)
		if err != nil && !failing {
			n.events.Emit(events.InstanceNotRegistered, log.Fields{"error": err.Error()})
		}
		failing = err != nil
		pause := renewInterval
		if failing {
			pause = registerPause
		}
		sleep(ctx, pause)
	}
}

// renew extends the lease, or registers when there is none or the record has
// gone.
func (n *Node) renew(ctx context.Context) error {
	lease := kv.LeaseID(n.lease.Load())
	_, registered := n.mirror.World().Instances[n.self.Name]
	if lease != 0 && registered {
		err := n.options.Store.Extend(ctx, lease)
		if !errors.Is(err, kv.ErrNotFound) {
			return err
		}
	}
	lease, err := n.options.Store.Grant(ctx, leaseTime)
	if err != nil {
		return err
	}
	value, err := n.options.Platform.InstanceValue(n.self)
	if err != nil {
		return err
	}
	if err := n.options.Store.Set(ctx, n.options.Platform.InstanceKey(n.self.Name), value, lease); err != nil {
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
	if err := n.options.Store.End(ctx, lease); err != nil {
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
