package policybench

import (
	"fmt"
	"math/rand/v2"
	"sort"
	"time"
)

// Network holds one-way network delays.
type Network struct {
	BetweenDomains time.Duration // Between failure domains of a region.
	BetweenRegions time.Duration
	ToCallers      time.Duration // Between callers and entry instances.
}

// Consorzio and Reelstep are the delays of the deployments of those names.
var (
	Consorzio = Network{BetweenDomains: 500 * time.Microsecond, BetweenRegions: 20 * time.Millisecond, ToCallers: 3 * time.Millisecond}
	Reelstep  = Network{BetweenDomains: 500 * time.Microsecond, BetweenRegions: 55 * time.Millisecond, ToCallers: time.Millisecond}
)

const (
	regionCount     = 3
	domainCount     = 6
	targetCount     = 12
	slotsPerTarget  = 3
	totalSlots      = targetCount * slotsPerTarget
	meanServiceTime = 100 * time.Millisecond
)

// failureDomain is the index of a failure domain. Region r has domains 2r and 2r+1.
type failureDomain int

func (domain failureDomain) region() int        { return int(domain) / 2 }
func (domain failureDomain) name() string       { return fmt.Sprint("d", int(domain)) }
func (domain failureDomain) regionName() string { return regionName(domain.region()) }

func regionName(region int) string { return fmt.Sprint("r", region) }

// delay returns the one-way delay between two failure domains.
func (n Network) delay(a, b failureDomain) time.Duration {
	switch {
	case a == b:
		return 0
	case a.region() == b.region():
		return n.BetweenDomains
	}
	return n.BetweenRegions
}

// Case is a set of conditions under which policies are compared.
type Case struct {
	Name         string
	Network      Network
	Instances    int
	Utilization  float64   // Offered load / capacity of all slots.
	RegionShares []float64 // Fraction of the arrivals by region; empty means even.
	Requests     int
	Seed         uint64
	Deadline     time.Duration
	MaxQueueTime time.Duration
}

// arrival is the arrival of a request at an entry instance.
type arrival struct {
	at          time.Duration
	instance    int // Index of the entry instance.
	serviceTime time.Duration
}

// instanceDomains returns the failure domain of each instance, evenly distributed
// over regions first and over the domains of a region next.
func (c Case) instanceDomains() []failureDomain {
	order := []failureDomain{0, 2, 4, 1, 3, 5}
	domains := make([]failureDomain, c.Instances)
	for i := range domains {
		domains[i] = order[i%domainCount]
	}
	return domains
}

func targetDomain(target int) failureDomain { return failureDomain(target % domainCount) }

// arrivals returns the requests in order of arrival: a Poisson process with
// exponential service times, the same for every policy and a given seed.
func (c Case) arrivals() []arrival {
	random := rand.New(rand.NewPCG(c.Seed, 1))
	domains := c.instanceDomains()
	byRegion := make([][]int, regionCount)
	for i, domain := range domains {
		byRegion[domain.region()] = append(byRegion[domain.region()], i)
	}
	rate := c.Utilization * totalSlots / meanServiceTime.Seconds()
	arrivals, now := make([]arrival, c.Requests), 0.0
	for i := range arrivals {
		now += random.ExpFloat64() / rate
		instances := byRegion[c.drawRegion(random.Float64())]
		arrivals[i] = arrival{
			at:          time.Duration(now * float64(time.Second)),
			instance:    instances[random.IntN(len(instances))],
			serviceTime: time.Duration(random.ExpFloat64() * float64(meanServiceTime)),
		}
	}
	return arrivals
}

// drawRegion maps a random number in [0, 1) to a region by RegionShares.
func (c Case) drawRegion(u float64) int {
	if len(c.RegionShares) == 0 {
		return int(u * regionCount)
	}
	for region, share := range c.RegionShares {
		if u -= share; u < 0 {
			return region
		}
	}
	return regionCount - 1
}

// percentile returns the value at index quantile*len(values), rounded down, of the
// sorted values. It sorts in place.
func percentile(values []time.Duration, quantile float64) time.Duration {
	if len(values) == 0 {
		return 0
	}
	sort.Slice(values, func(i, j int) bool { return values[i] < values[j] })
	return values[min(len(values)-1, int(quantile*float64(len(values))))]
}
