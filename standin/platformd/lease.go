package platformd

import (
	"time"

	"github.com/jacinthstall/jacinthstall/platform"
)

// held is a lease and the time at which it expires.
type held struct {
	lease   platform.Lease
	expires time.Time
}

// Acquire grants the lease called name for ttl, or returns
// platform.ErrConflict while another holder has it. Tokens rise with every
// grant, so that a holder that lost its lease can be told from the next one.
func (s *Store) Acquire(name, holder string, ttl time.Duration) (platform.Lease, error) {
	return s.leaseCall(func(now time.Time) (platform.Lease, error) {
		current, ok := s.leases[name]
		if ok && now.Before(current.expires) && current.lease.Holder != holder {
			return platform.Lease{}, platform.ErrConflict
		}
		s.token++
		lease := platform.Lease{Name: name, Holder: holder, Token: s.token, TTLMs: ttl.Milliseconds()}
		s.leases[name] = held{lease: lease, expires: now.Add(ttl)}
		return lease, nil
	})
}

// Renew extends the lease with the given token by ttl from now. It returns
// platform.ErrConflict when the lease has expired or has another token.
func (s *Store) Renew(name string, token uint64, ttl time.Duration) (platform.Lease, error) {
	return s.leaseCall(func(now time.Time) (platform.Lease, error) {
		current, ok := s.leases[name]
		if !ok || current.lease.Token != token || !now.Before(current.expires) {
			return platform.Lease{}, platform.ErrConflict
		}
		current.lease.TTLMs = ttl.Milliseconds()
		current.expires = now.Add(ttl)
		s.leases[name] = current
		return current.lease, nil
	})
}

// Release ends the lease with the given token. It returns
// platform.ErrConflict when the lease has another token.
func (s *Store) Release(name string, token uint64) error {
	_, err := s.leaseCall(func(time.Time) (platform.Lease, error) {
		if s.leases[name].lease.Token != token {
			return platform.Lease{}, platform.ErrConflict
		}
		delete(s.leases, name)
		return platform.Lease{}, nil
	})
	return err
}

func (s *Store) leaseCall(do func(now time.Time) (platform.Lease, error)) (platform.Lease, error) {
	if err := s.admit(&s.calls.Writes, s.writeLimit); err != nil {
		return platform.Lease{}, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	lease, err := do(time.Now())
	if err == nil && s.faults.LoseAnswers > 0 {
		s.faults.LoseAnswers--
		return platform.Lease{}, platform.ErrUncertain
	}
	return lease, err
}
