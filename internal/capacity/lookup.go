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
	designBlocks    = 570_000
	designSites     = 1_200
	designInstances = 8_000
	// designLookupRate is the number of look-ups a second of all nodes.
	designLookupRate = 2_800_000

	timedCalls   = 200_000
	timedChanges = 200
)

// randomBlocks returns different random client blocks: 70% IPv4, most of them /24,
// and 30% IPv6, most of them /48.
func randomBlocks(count int) []lookup.Block {
	r := rand.New(rand.NewPCG(1, 1))
	seen := make(map[netip.Prefix]bool, count)
	list := make([]lookup.Block, 0, count)
	for len(list) < count {
		p := randomPrefix(r)
		if !seen[p] {
			seen[p] = true
			list = append(list, lookup.Block{Prefix: p, Site: lookup.Site(r.IntN(designSites))})
		}
	}
	return list
}

func randomPrefix(r *rand.Rand) netip.Prefix {
	if r.IntN(10) < 7 {
		var a [4]byte
		binary.BigEndian.PutUint32(a[:], r.Uint32())
		a[0] = 1 + a[0]%96
		bits := 24
		if r.IntN(10) >= 6 {
			bits = 12 + r.IntN(13)
		}
		return netip.PrefixFrom(netip.AddrFrom4(a), bits).Masked()
	}
	var a [16]byte
	binary.BigEndian.PutUint64(a[:], r.Uint64())
	a[0], a[1], a[2] = 0x2a, a[1]&0x0f, a[2]&0x0f
	bits := 48
	if r.IntN(2) == 0 {
		bits = 29 + r.IntN(28)
	}
	return netip.PrefixFrom(netip.AddrFrom16(a), bits).Masked()
}

// callerAddresses returns first addresses of random blocks.
func callerAddresses(list []lookup.Block) []netip.Addr {
	r := rand.New(rand.NewPCG(2, 2))
	addresses := make([]netip.Addr, 1<<16)
	for i := range addresses {
		addresses[i] = list[r.IntN(len(list))].Prefix.Addr()
	}
	return addresses
}

// meanCallTime returns the mean time of a call.
func meanCallTime(calls int, call func(int)) time.Duration {
	start := time.Now()
	for i := range calls {
		call(i)
	}
	return time.Since(start) / time.Duration(calls)
}

// lookupFixture is a look-up server with 143 instances in each of 6 domains.
type lookupFixture struct {
	steering *lookup.Steering
	fleet    *lookup.Fleet
	callers  []netip.Addr
}

func newLookupFixture(list []lookup.Block) (*lookupFixture, error) {
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
	base, _, err := lookup.NewSteering(document, "region-0-a", nil)
	if err != nil {
		return nil, err
	}
	steering, err := base.WithTable(2, list)
	if err != nil {
		return nil, err
	}
	return &lookupFixture{steering: steering, fleet: lookup.NewFleet(instances), callers: callerAddresses(list)}, nil
}

func (fixture *lookupFixture) decideAndLog(l *events.Log, answer *lookup.Answer, i int) {
	query := lookup.Query{Caller: fixture.callers[i&(1<<16-1)], Service: "reads"}
	_ = fixture.steering.Decide(fixture.fleet, query.Service, query.Caller, answer)
	lookup.LogDecision(l, query, fixture.steering, answer, false)
}

// decisionTime returns the mean time of a decision with its log line.
func (fixture *lookupFixture) decisionTime() time.Duration {
	h := events.NewHandler(io.Discard)
	defer func() { _ = h.Close() }()
	l := events.New(&log.Logger{Handler: h, Level: log.DebugLevel})
	var answer lookup.Answer
	return meanCallTime(timedCalls, func(i int) { fixture.decideAndLog(l, &answer, i) })
}

// LookupServer measures the look-up table and decisions at the rate of one of
// 8,000 nodes.
func LookupServer() ([]Row, error) {
	var rows []Row
	for _, size := range []int{10_000, 100_000, designBlocks} {
		list := randomBlocks(size)
		table, bytes := stateBytes(func() *lookup.Table { t, _ := lookup.NewTable(list); return t })
		fixture, err := newLookupFixture(list)
		if err != nil {
			return nil, err
		}
		rate := time.Duration(designLookupRate / designInstances)
		rows = append(rows, Row{Role: "look-up server", Size: table.Len(), SizeUnit: "blocks", StateBytes: bytes,
			CPU: rate * fixture.decisionTime(), Note: "350 decisions/s with log lines"})
	}
	return rows, nil
}

// lookupFigures measures the table at the design's size.
func lookupFigures() ([]figures.Figure, error) {
	list := randomBlocks(designBlocks)
	table, bytes := stateBytes(func() *lookup.Table { t, _ := lookup.NewTable(list); return t })
	addresses := callerAddresses(list)
	search := meanCallTime(timedCalls, func(i int) { table.Lookup(addresses[i&(1<<16-1)]) })
	change := meanCallTime(timedChanges, func(i int) {
		d := lookup.Delta{Set: []lookup.Block{{Prefix: list[i].Prefix, Site: lookup.Site(i)}}}
		table, _ = table.Apply(d)
	})
	fixture, err := newLookupFixture(list)
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
