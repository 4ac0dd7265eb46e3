package capacity

import (
	"encoding/binary"
	"fmt"
	"io"
	"math/rand/v2"
	"net/netip"
	"time"

	"github.com/apex/log"

	"github.com/jacinthstall/jacinthstall/events"
	"github.com/jacinthstall/jacinthstall/internal/figures"
	"github.com/jacinthstall/jacinthstall/lookup"
	"github.com/jacinthstall/jacinthstall/policy"
)

const (
	// Sizes of the largest system in the design.
	designBlocks     = 570_000
	designSites      = 1_200
	designInstances  = 8_000
	designLookupRate = 2_800_000 // Look-ups per second at all instances together.

	timedCalls   = 200_000 // Look-ups and decisions per measurement.
	timedChanges = 200     // Table changes per measurement.
)

// randomBlocks returns distinct client blocks from a fixed seed: 70% IPv4, mostly
// /24, and 30% IPv6, mostly /48.
func randomBlocks(count int) []lookup.Block {
	random := rand.New(rand.NewPCG(1, 1))
	seen := make(map[netip.Prefix]bool, count)
	blocks := make([]lookup.Block, 0, count)
	for len(blocks) < count {
		prefix := randomPrefix(random)
		if !seen[prefix] {
			seen[prefix] = true
			blocks = append(blocks, lookup.Block{Prefix: prefix, Site: lookup.Site(random.IntN(designSites))})
		}
	}
	return blocks
}

func randomPrefix(random *rand.Rand) netip.Prefix {
	if random.IntN(10) < 7 {
		var address [4]byte
		binary.BigEndian.PutUint32(address[:], random.Uint32())
		address[0] = 1 + address[0]%96
		bits := 24
		if random.IntN(10) >= 6 {
			bits = 12 + random.IntN(13)
		}
		return netip.PrefixFrom(netip.AddrFrom4(address), bits).Masked()
	}
	var address [16]byte
	binary.BigEndian.PutUint64(address[:], random.Uint64())
	address[0], address[1], address[2] = 0x2a, address[1]&0x0f, address[2]&0x0f
	bits := 48
	if random.IntN(2) == 0 {
		bits = 29 + random.IntN(28)
	}
	return netip.PrefixFrom(netip.AddrFrom16(address), bits).Masked()
}

// callerAddresses returns the first addresses of randomly chosen blocks.
func callerAddresses(blocks []lookup.Block) []netip.Addr {
	random := rand.New(rand.NewPCG(2, 2))
	addresses := make([]netip.Addr, 1<<16)
	for i := range addresses {
		addresses[i] = blocks[random.IntN(len(blocks))].Prefix.Addr()
	}
	return addresses
}

// meanCallTime runs call the given number of times and returns the mean duration.
func meanCallTime(calls int, call func(int)) time.Duration {
	start := time.Now()
	for i := range calls {
		call(i)
	}
	return time.Since(start) / time.Duration(calls)
}

// lookupFixture is a look-up server for a fleet of 143 instances in each of 6
// failure domains.
type lookupFixture struct {
	steering *lookup.SteeringPolicy
	fleet    *lookup.Fleet
	callers  []netip.Addr
}

func newLookupFixture(blocks []lookup.Block) (*lookupFixture, error) {
	document := &policy.Document{Version: 1, Services: []policy.Service{{Name: "reads"}}}
	var instances []lookup.Instance
	for r := range 3 {
		region := fmt.Sprint("region-", r)
		domains := []string{region + "-a", region + "-b"}
		document.Regions = append(document.Regions, policy.Region{Name: region, Domains: domains})
		for _, domain := range domains {
			document.Targets = append(document.Targets, policy.Target{Service: "reads", Domain: domain})
			for i := range 143 {
				instances = append(instances, lookup.Instance{Name: fmt.Sprint(domain, i), Address: "192.0.2.1:7200", Domain: domain, Region: region})
			}
		}
	}
	for i := range designSites {
		r := document.Regions[i%3]
		document.Sites = append(document.Sites, policy.Site{Name: fmt.Sprint("site-", i), Domain: r.Domains[0], Regions: []string{r.Name}})
	}
	base, _, err := lookup.NewSteeringPolicy(document, "region-0-a", nil)
	if err != nil {
		return nil, err
	}
	steering, err := base.WithAllBlocks(2, blocks)
	if err != nil {
		return nil, err
	}
	return &lookupFixture{steering: steering, fleet: lookup.NewFleet(instances), callers: callerAddresses(blocks)}, nil
}

// decideAndLog makes and logs the decision for the i-th caller address.
func (fixture *lookupFixture) decideAndLog(logger *events.Log, decision *lookup.Decision, i int) {
	query := lookup.Query{Caller: fixture.callers[i&(1<<16-1)], Service: "reads"}
	_ = fixture.steering.Decide(fixture.fleet, query.Service, query.Caller, decision)
	lookup.LogDecision(logger, query, fixture.steering, decision, false)
}

// decisionTime returns the mean time of a decision, including its log line.
func (fixture *lookupFixture) decisionTime() time.Duration {
	handler := events.NewHandler(io.Discard)
	defer func() { _ = handler.Close() }()
	logger := events.New(&log.Logger{Handler: handler, Level: log.DebugLevel})
	var decision lookup.Decision
	return meanCallTime(timedCalls, func(i int) { fixture.decideAndLog(logger, &decision, i) })
}

// MeasureLookupServer measures the look-up table, and decisions at the rate of one
// instance: designLookupRate divided by designInstances.
func MeasureLookupServer() ([]Row, error) {
	var rows []Row
	for _, size := range []int{10_000, 100_000, designBlocks} {
		blocks := randomBlocks(size)
		table, bytes := stateBytes(func() *lookup.Table { t, _ := lookup.NewTable(blocks); return t })
		fixture, err := newLookupFixture(blocks)
		if err != nil {
			return nil, err
		}
		rate := time.Duration(designLookupRate / designInstances)
		rows = append(rows, Row{Role: "look-up server", Size: table.Len(), SizeUnit: "blocks", StateBytes: bytes,
			CPUPerSecond: rate * fixture.decisionTime(), Note: "350 decisions/s with log lines"})
	}
	return rows, nil
}

// lookupFigures measures the look-up table and decisions at designBlocks.
func lookupFigures() ([]figures.Figure, error) {
	blocks := randomBlocks(designBlocks)
	table, bytes := stateBytes(func() *lookup.Table { t, _ := lookup.NewTable(blocks); return t })
	addresses := callerAddresses(blocks)
	search := meanCallTime(timedCalls, func(i int) { table.Lookup(addresses[i&(1<<16-1)]) })
	change := meanCallTime(timedChanges, func(i int) {
		delta := lookup.Delta{Set: []lookup.Block{{Prefix: blocks[i].Prefix, Site: lookup.Site(i)}}}
		table, _ = table.Apply(delta)
	})
	fixture, err := newLookupFixture(blocks)
	if err != nil {
		return nil, err
	}
	return []figures.Figure{
		{Name: "look-up table, 570,000 blocks", Value: float64(bytes) / 1e6, Unit: "MB", Bound: 24, Command: command},
		{Name: "look-up of a client block", Value: float64(search), Unit: "ns", Bound: 300, WallClock: true, Command: command},
		{Name: "one-block change of the look-up table", Value: change.Seconds() * 1e3, Unit: "ms", Bound: 1, WallClock: true, Command: command},
		{Name: "look-up decision with its log line", Value: float64(fixture.decisionTime()) / 1e3, Unit: "us", Bound: 3, WallClock: true, Command: command},
	}, nil
}
