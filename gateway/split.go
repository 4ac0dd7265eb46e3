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

// choose returns the service of a request.
func (splitter *serviceSplitter) choose(route *steering.Route) string {
	if len(route.Split) < 2 {
		return chooseByCredit(route, nil)
	}
	splitter.mu.Lock()
	defer splitter.mu.Unlock()
	credit := splitter.credits[route.Name]
	if len(credit) != len(route.Split) {
		credit = make([]float64, len(route.Split))
		splitter.credits[route.Name] = credit
	}
	return chooseByCredit(route, credit)
}

// next returns the service of the next request without counting one.
func (splitter *serviceSplitter) next(route *steering.Route) string {
	splitter.mu.Lock()
	defer splitter.mu.Unlock()
	credit := make([]float64, len(route.Split))
	if known := splitter.credits[route.Name]; len(known) == len(credit) {
		copy(credit, known)
	}
	return chooseByCredit(route, credit)
}

// chooseByCredit returns the service with the most credit after that of one more
// request is added, and subtracts the request from it.
func chooseByCredit(route *steering.Route, credit []float64) string {
	switch len(route.Split) {
	case 0:
		return ""
	case 1:
		return route.Split[0].Service
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
