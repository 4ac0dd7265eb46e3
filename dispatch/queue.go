package dispatch

import (
	"slices"
	"sort"
	"time"
)

// queue holds requests in the order in which they entered the system.
type queue struct {
	items []*Request
}

func (q *queue) len() int { return len(q.items) }

// older returns the number of requests that entered before r.
func (q *queue) older(r *Request) int {
	return sort.Search(len(q.items), func(i int) bool { return r.before(q.items[i]) })
}

func (q *queue) add(r *Request) {
	q.items = slices.Insert(q.items, q.older(r), r)
}

func (q *queue) remove(index int) *Request {
	r := q.items[index]
	q.items = slices.Delete(q.items, index, index+1)
	return r
}

// oldest returns the index of the oldest request that has not tried the
// target, or -1.
func (q *queue) oldest(target string) int {
	return slices.IndexFunc(q.items, func(r *Request) bool { return !r.excludes(target) })
}

func (q *queue) ages(now time.Time) []time.Duration {
	ages := make([]time.Duration, min(len(q.items), MaxAges))
	for i := range ages {
		ages[i] = now.Sub(q.items[i].Entered)
	}
	return ages
}
