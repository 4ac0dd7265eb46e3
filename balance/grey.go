package balance

import (
	"math"
	"slices"
	"time"
)

const (
	// failMemory is how fast failures are forgotten while a target gets no
	// requests, so that it is tried again after some seconds.
	failMemory = 8 * time.Second
	// greyGap is how much larger a part of a target's answers must be failures
	// than at most targets of its service and region, for it to be left alone.
	// Every target fails now and then; an object that moves has to be learned.
	greyGap = 0.25
	// greyRank is the target, by its failures from few to many, that the others
	// are compared with, as a part of their number. When more targets than the
	// rest are grey, the others could not take their load as well.
	greyRank = 0.5
)

// failRate is the part of the recent attempts at a target that failed.
type failRate struct {
	part float64
	at   time.Time
}

func (f *failRate) value(now time.Time) float64 {
	if f.part == 0 {
		return 0
	}
	return f.part * math.Exp(-now.Sub(f.at).Seconds()/failMemory.Seconds())
}

func (f *failRate) note(now time.Time, failed bool) {
	result := 0.0
	if failed {
		result = 1
	}
	part := f.value(now)
	f.part, f.at = part+averageWeight*(result-part), now
}

// grey reports whether a target fails much more often than others of its
// service and region. Its health check may be good.
func (b *Balancer) grey(now time.Time, s *service, t *target) bool {
	return t.fails.value(now) > s.usualFails[t.region]+greyGap
}

// measureFails finds how often targets usually fail, by service and region.
func (b *Balancer) measureFails(now time.Time) {
	for _, s := range b.services {
		s.usualFails = map[string]float64{}
		for region, list := range s.targets {
			parts := make([]float64, len(list))
			for i, t := range list {
				parts[i] = t.fails.value(now)
			}
			slices.Sort(parts)
			if len(parts) > 0 {
				s.usualFails[region] = parts[int(greyRank*float64(len(parts)))]
			}
		}
	}
}
