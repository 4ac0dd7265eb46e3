package gateway

import (
	"sync"

	"github.com/jacinthstall/jacinthstall/steering"
)

// serviceSplitter distributes the requests of a route over its services in
// proportion to their weights, by smooth weighted round robin.
type serviceSplitter struct {
	mu      sync.Mutex
	credits map[string][]float64 // By route, then in the order of Route.Split.
}

func (splitter *serviceSplitter) choose(route *steering.Route) string {
	if len(route.Split) == 1 {
		return route.Split[0].Service
	}
	if len(route.Split) == 0 {
		return ""
	}
	splitter.mu.Lock()
	defer splitter.mu.Unlock()
	credit := splitter.credits[route.Name]
	if len(credit) != len(route.Split) {
		credit = make([]float64, len(route.Split))
		splitter.credits[route.Name] = credit
	}
	total, best := 0.0, -1
	for i, share := range route.Split {
		weight := max(0, share.Weight)
		credit[i] += weight
		total += weight
		if weight > 0 && (best < 0 || credit[i] > credit[best]) {
			best = i
		}
	}
	if best < 0 {
		return route.Split[0].Service
	}
	credit[best] -= total
	return route.Split[best].Service
}
