package balance

import (
	"maps"
	"time"
)

const (
	// demandWindow is the time over which requests for single objects are counted.
	demandWindow = 5 * time.Second
	// maxCountedObjects bounds the objects of a service that are counted.
	maxCountedObjects = 4096
)

// demand counts requests for objects in the last one or two windows.
type demand struct {
	current, previous map[uint64]int
	windowEnd         time.Time
}

func (d *demand) add(now time.Time, object uint64) {
	if !now.Before(d.windowEnd) {
		d.previous, d.current, d.windowEnd = d.current, map[uint64]int{}, now.Add(demandWindow)
	}
	if _, known := d.current[object]; known || len(d.current) < maxCountedObjects {
		d.current[object]++
	}
}

func (d *demand) counts() map[uint64]int {
	sum := maps.Clone(d.previous)
	if sum == nil {
		sum = map[uint64]int{}
	}
	for object, n := range d.current {
		sum[object] += n
	}
	return sum
}
