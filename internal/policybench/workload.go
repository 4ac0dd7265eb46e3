package policybench

import (
	"fmt"
	"math/rand/v2"
	"sort"
	"time"
)

// Network holds one-way delays.
type Network struct {
	BetweenDomains time.Duration // Between failure domains of a region.
	BetweenRegions time.Duration
	ToCallers      time.Duration // Between callers and entry instances.
}

// Delays of the two deployments.
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

// failureDomain is the index of a failure domain; region r has the domains 2r and 2r+1.
type failureDomain int

func (domain failureDomain) region() int        { return int(domain) / 2 }
func (domain failureDomain) name() string       { return fmt.Sprint("d", int(domain)) }
func (domain failureDomain) regionName() string { return regionName(domain.region()) }

func regionName(region int) string { return fmt.Sprint("r", region) }

func (n Network) delay(a, b failureDomain) time.Duration {
	switch {
	case a == b:
		return 0
	case a.region() == b.region():
		return n.BetweenDomains
	}
	return n.BetweenRegions
}

// Case is one set of conditions.
type Case struct {
	Name         string
	Network      Network
	Instances    int
	Utilization  float64   // Offered load as a part of the capacity.
	RegionShares []float64 // Share of the arrivals by region; empty means even.
	Requests     int
	Seed         uint64
	Deadline     time.Duration
	MaxQueueTime time.Duration
}

// arrival is a request as it reaches its entry instance.
type arrival struct {
	at          time.Duration
	instance    int
	serviceTime time.Duration
}

func (c Case) instanceDomains() []failureDomain {
	order := []failureDomain{0, 2, 4, 1, 3, 5}
	domains := make([]failureDomain, c.Instances)
	for i := range domains {
		domains[i] = order[i%domainCount]
	}
	return domains
}

func targetDomain(target int) failureDomain { return failureDomain(target % domainCount) }

// arrivals draws the requests in the order of their arrival.
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

// percentile returns the smallest value that at least the part q of the values
// do not exceed. It sorts the values.
func percentile(values []time.Duration, quantile float64) time.Duration {
	if len(values) == 0 {
		return 0
	}
	sort.Slice(values, func(i, j int) bool { return values[i] < values[j] })
	return values[min(len(values)-1, int(quantile*float64(len(values))))]
}
