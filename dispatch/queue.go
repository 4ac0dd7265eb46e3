package dispatch

import (
	"slices"
	"sort"
	"time"
)

// requestQueue holds requests sorted by the time at which they entered the
// system.
type requestQueue struct {
	items []*Request
}

func (q *requestQueue) len() int { return len(q.items) }

// olderCount returns the number of queued requests that are older than the
// given one.
func (q *requestQueue) olderCount(request *Request) int {
	return sort.Search(len(q.items), func(i int) bool { return request.olderThan(q.items[i]) })
}

func (q *requestQueue) add(request *Request) {
	q.items = slices.Insert(q.items, q.olderCount(request), request)
}

func (q *requestQueue) remove(index int) *Request {
	r := q.items[index]
	q.items = slices.Delete(q.items, index, index+1)
	return r
}

// oldestEligible returns the index of the oldest request that may be sent to
// the target, or -1.
func (q *requestQueue) oldestEligible(target string) int {
	return slices.IndexFunc(q.items, func(request *Request) bool { return !request.excludes(target) })
}

// ages returns the ages of the oldest requests, at most MaxAges of them.
func (q *requestQueue) ages(now time.Time) []time.Duration {
	ages := make([]time.Duration, min(len(q.items), MaxAges))
	for i := range ages {
		ages[i] = now.Sub(q.items[i].EnteredAt)
	}
	return ages
}
