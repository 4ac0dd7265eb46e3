package balance

import (
	"maps"
	"time"
)

const (
	// demandWindow is the time over which requests for single objects are counted.
	demandWindow = 5 * time.Second
	// maxDemand bounds the objects of a service that are counted.
	maxDemand = 4096
)

// demand counts requests for objects in the last one or two windows.
type demand struct {
	now, before map[uint64]int
	next        time.Time
}

func (d *demand) add(now time.Time, object uint64) {
	if !now.Before(d.next) {
		d.before, d.now, d.next = d.now, map[uint64]int{}, now.Add(demandWindow)
	}
	if _, known := d.now[object]; known || len(d.now) < maxDemand {
		d.now[object]++
	}
}

func (d *demand) counts() map[uint64]int {
	sum := maps.Clone(d.before)
	if sum == nil {
		sum = map[uint64]int{}
	}
	for object, n := range d.now {
		sum[object] += n
	}
	return sum
}
