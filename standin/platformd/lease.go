package platformd

import (
	"time"

	"github.com/jacinthstall/jacinthstall/kv"
)

// leaseEntry is a lease and the time at which it expires.
type leaseEntry struct {
	lease   kv.Lease
	expires time.Time
}

// Acquire grants the lease called name for ttl, or returns
// kv.ErrConflict while another holder has it. Tokens rise with every
// grant, so that a holder that lost its lease can be told from the next one.
func (s *Store) Acquire(name, holder string, ttl time.Duration) (kv.Lease, error) {
	return s.changeLease(func(now time.Time) (kv.Lease, error) {
		current, ok := s.leases[name]
		if ok && now.Before(current.expires) && current.lease.Holder != holder {
			return kv.Lease{}, kv.ErrConflict
		}
		s.lastToken++
		lease := kv.Lease{Name: name, Holder: holder, Token: s.lastToken, TTLMs: ttl.Milliseconds()}
		s.leases[name] = leaseEntry{lease: lease, expires: now.Add(ttl)}
		return lease, nil
	})
}

// Renew extends the lease with the given token by ttl from now. It returns
// kv.ErrConflict when the lease has expired or has another token.
func (s *Store) Renew(name string, token uint64, ttl time.Duration) (kv.Lease, error) {
	return s.changeLease(func(now time.Time) (kv.Lease, error) {
		current, ok := s.leases[name]
		if !ok || current.lease.Token != token || !now.Before(current.expires) {
			return kv.Lease{}, kv.ErrConflict
		}
		current.lease.TTLMs = ttl.Milliseconds()
		current.expires = now.Add(ttl)
		s.leases[name] = current
		return current.lease, nil
	})
}

// Release ends the lease with the given token. It returns
// kv.ErrConflict when the lease has another token.
func (s *Store) Release(name string, token uint64) error {
	_, err := s.changeLease(func(time.Time) (kv.Lease, error) {
		if s.leases[name].lease.Token != token {
			return kv.Lease{}, kv.ErrConflict
		}
		delete(s.leases, name)
		return kv.Lease{}, nil
	})
	return err
}

func (s *Store) changeLease(do func(now time.Time) (kv.Lease, error)) (kv.Lease, error) {
	if err := s.beginCall(&s.calls.Writes, s.currentWriteLimiter); err != nil {
		return kv.Lease{}, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	lease, err := do(time.Now())
	if err == nil && s.faults.LoseResponses > 0 {
		s.faults.LoseResponses--
		return kv.Lease{}, kv.ErrUncertain
	}
	return lease, err
}
