package policybench

import (
	"fmt"
	"math/rand/v2"
	"sort"
	"time"
)

// Network holds one-way delays.
type Network struct {
	Domains time.Duration // Between failure domains of a region.
	Regions time.Duration
	Clients time.Duration // Between callers and entry instances.
}

// Delays of the two deployments.
var (
	Consorzio = Network{Domains: 500 * time.Microsecond, Regions: 20 * time.Millisecond, Clients: 3 * time.Millisecond}
	Reelstep  = Network{Domains: 500 * time.Microsecond, Regions: 55 * time.Millisecond, Clients: time.Millisecond}
)

const (
	regions        = 3
	domains        = 6
	targets        = 12
	slotsPerTarget = 3
	capacitySlots  = targets * slotsPerTarget
	meanService    = 100 * time.Millisecond
)

// place is the index of a failure domain; region r has the domains 2r and 2r+1.
type place int

func (p place) region() int        { return int(p) / 2 }
func (p place) name() string       { return fmt.Sprint("d", int(p)) }
func (p place) regionName() string { return regionName(p.region()) }

func regionName(region int) string { return fmt.Sprint("r", region) }

func (n Network) between(a, b place) time.Duration {
	switch {
	case a == b:
		return 0
	case a.region() == b.region():
		return n.Domains
	}
	return n.Regions
}

// Case is one set of conditions.
type Case struct {
	Name      string
	Network   Network
	Instances int
	Load      float64   // Offered load as a part of the capacity.
	Shares    []float64 // Share of the arrivals by region; empty means even.
	Requests  int
	Seed      uint64
	Deadline  time.Duration
	MaxQueue  time.Duration
}

// arrival is a request as it reaches its entry instance.
type arrival struct {
	at       time.Duration
	instance int
	service  time.Duration
}

func (c Case) places() []place {
	order := []place{0, 2, 4, 1, 3, 5}
	list := make([]place, c.Instances)
	for i := range list {
		list[i] = order[i%domains]
	}
	return list
}

func targetPlace(target int) place { return place(target % domains) }

// arrivals draws the requests in the order of their arrival.
func (c Case) arrivals() []arrival {
	random := rand.New(rand.NewPCG(c.Seed, 1))
	places := c.places()
	byRegion := make([][]int, regions)
	for i, p := range places {
		byRegion[p.region()] = append(byRegion[p.region()], i)
	}
	rate := c.Load * capacitySlots / meanService.Seconds()
	list, now := make([]arrival, c.Requests), 0.0
	for i := range list {
		now += random.ExpFloat64() / rate
		in := byRegion[c.drawRegion(random.Float64())]
		list[i] = arrival{
			at:       time.Duration(now * float64(time.Second)),
			instance: in[random.IntN(len(in))],
			service:  time.Duration(random.ExpFloat64() * float64(meanService)),
		}
	}
	return list
}

func (c Case) drawRegion(u float64) int {
	if len(c.Shares) == 0 {
		return int(u * regions)
	}
	for region, share := range c.Shares {
		if u -= share; u < 0 {
			return region
		}
	}
	return regions - 1
}

// percentile returns the smallest value that at least the part q of the values
// do not exceed. It sorts the values.
func percentile(values []time.Duration, q float64) time.Duration {
	if len(values) == 0 {
		return 0
	}
	sort.Slice(values, func(i, j int) bool { return values[i] < values[j] })
	return values[min(len(values)-1, int(q*float64(len(values))))]
}
