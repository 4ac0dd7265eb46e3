package dispatch

import (
	"slices"
	"sort"
	"time"
)

// requestQueue holds requests in the order in which they entered the system.
type requestQueue struct {
	items []*Request
}

func (q *requestQueue) len() int { return len(q.items) }

// olderCount returns the number of requests that entered before r.
func (q *requestQueue) olderCount(r *Request) int {
	return sort.Search(len(q.items), func(i int) bool { return r.olderThan(q.items[i]) })
}

func (q *requestQueue) add(r *Request) {
	q.items = slices.Insert(q.items, q.olderCount(r), r)
}

func (q *requestQueue) remove(index int) *Request {
	r := q.items[index]
	q.items = slices.Delete(q.items, index, index+1)
	return r
}

// oldestEligible returns the index of the oldest request that has not tried the
// target, or -1.
func (q *requestQueue) oldestEligible(target string) int {
	return slices.IndexFunc(q.items, func(r *Request) bool { return !r.excludes(target) })
}

func (q *requestQueue) ages(now time.Time) []time.Duration {
	ages := make([]time.Duration, min(len(q.items), MaxAges))
	for i := range ages {
		ages[i] = now.Sub(q.items[i].EnteredAt)
	}
	return ages
}
