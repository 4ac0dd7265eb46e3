package platformd

import (
	"time"

	"github.com/jacinthstall/jacinthstall/kv"
)

// leaseEntry is a lease with its expiry time.
type leaseEntry struct {
	lease   kv.Lease
	expires time.Time
}

// Acquire grants the named lease for ttl. It returns kv.ErrConflict while
// another holder has the lease. The token increases with every grant, so that a
// former holder can be distinguished from the current one.
func (store *Store) Acquire(name, holder string, ttl time.Duration) (kv.Lease, error) {
	return store.changeLease(func(now time.Time) (kv.Lease, error) {
		current, ok := store.leases[name]
		if ok && now.Before(current.expires) && current.lease.Holder != holder {
			return kv.Lease{}, kv.ErrConflict
		}
		store.lastToken++
		lease := kv.Lease{Name: name, Holder: holder, Token: store.lastToken, TTLMs: ttl.Milliseconds()}
		store.leases[name] = leaseEntry{lease: lease, expires: now.Add(ttl)}
		return lease, nil
	})
}

// Renew extends the lease with the given token to ttl from now. It returns
// kv.ErrConflict when the lease has expired or has another token.
func (store *Store) Renew(name string, token uint64, ttl time.Duration) (kv.Lease, error) {
	return store.changeLease(func(now time.Time) (kv.Lease, error) {
		current, ok := store.leases[name]
		if !ok || current.lease.Token != token || !now.Before(current.expires) {
			return kv.Lease{}, kv.ErrConflict
		}
		current.lease.TTLMs = ttl.Milliseconds()
		current.expires = now.Add(ttl)
		store.leases[name] = current
		return current.lease, nil
	})
}

// Release releases the lease with the given token. It returns kv.ErrConflict
// when the lease has another token.
func (store *Store) Release(name string, token uint64) error {
	_, err := store.changeLease(func(time.Time) (kv.Lease, error) {
		if store.leases[name].lease.Token != token {
			return kv.Lease{}, kv.ErrConflict
		}
		delete(store.leases, name)
		return kv.Lease{}, nil
	})
	return err
}

// changeLease runs a lease operation as a rate-limited write, subject to fault
// injection.
func (store *Store) changeLease(do func(now time.Time) (kv.Lease, error)) (kv.Lease, error) {
	if err := store.beginCall(&store.calls.Writes, store.currentWriteLimiter); err != nil {
		return kv.Lease{}, err
	}
	store.mu.Lock()
	defer store.mu.Unlock()
	lease, err := do(time.Now())
	if err == nil && store.faults.LoseResponses > 0 {
		store.faults.LoseResponses--
		return kv.Lease{}, kv.ErrUncertain
	}
	return lease, err
}
