package gateway

import (
	"sync"

	"github.com/jacinthstall/jacinthstall/steering"
)

// serviceSplitter deals the requests of a route to its services in the proportion of
// their weights (smooth weighted round robin).
type serviceSplitter struct {
	mu      sync.Mutex
	credits map[string][]float64
}

func (s *serviceSplitter) choose(r *steering.Route) string {
	if len(r.Split) == 1 {
		return r.Split[0].Service
	}
	if len(r.Split) == 0 {
		return ""
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	credit := s.credits[r.Name]
	if len(credit) != len(r.Split) {
		credit = make([]float64, len(r.Split))
		s.credits[r.Name] = credit
	}
	total, best := 0.0, -1
	for i, share := range r.Split {
		weight := max(0, share.Weight)
		credit[i] += weight
		total += weight
		if weight > 0 && (best < 0 || credit[i] > credit[best]) {
			best = i
		}
	}
	if best < 0 {
		return r.Split[0].Service
	}
	credit[best] -= total
	return r.Split[best].Service
}
