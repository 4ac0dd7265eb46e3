package quota_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/jacinthstall/jacinthstall/quota"
	"github.com/jacinthstall/jacinthstall/steering"
)

const (
	window      = 5 * time.Second
	over        = 0.1
	slack       = 20.0
	tick        = 10 * time.Millisecond
	domainCount = 6
	regionCount = 3
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// fleet is a model of instances that share an account's limit, in virtual time:
// messages within a failure domain arrive every 0.1 s and are up to 0.15 s old,
// digests of another region every 0.5 s and up to 0.65 s.
type fleet struct {
	random    *rand.Rand
	now       time.Time
	instances []*instance
	account   steering.Account
	interval  time.Duration                          // Of messages in a domain and a region.
	remote    time.Duration                          // Of digests to other regions.
	loss      float64                                // Share of messages that get lost.
	demand    func(at time.Duration) float64         // Requests per second of all callers.
	choose    func(at time.Duration) int             // Instance of a request.
	events    map[time.Duration]func()               // Faults by the time at which they occur.
	pending   map[time.Time][]func()                 // Messages under way.
	admit     func(now time.Time, in *instance) bool // Replaces the limiter in comparisons of methods.
	arrivals  []time.Time                            // Admitted requests.
	ideal     []time.Time                            // Requests that one token bucket would admit.
	sent      int
}

type instance struct {
	*quota.Limiter
	index, domain int
	side          int // Instances with different numbers are disconnected.
	paused        bool
	sentReport    quota.Report
	sentAt        time.Time
	peers         map[int]time.Time
	domains       map[int]digest
}

type digest struct {
	expires time.Time
	members int
}

func newFleet(seed uint64, n int, perSecond float64) *fleet {
	f := &fleet{interval: 100 * time.Millisecond, remote: 500 * time.Millisecond, random: rand.New(rand.NewPCG(seed, 7)), now: start, events: map[time.Duration]func(){}, pending: map[time.Time][]func(){}}
	f.account = steering.Account{Name: "a", RequestsPerSecond: perSecond, Burst: perSecond}
	f.choose = func(time.Duration) int { return f.random.IntN(n) }
	for i := range n {
		f.instances = append(f.instances, &instance{index: i, domain: i % domainCount})
	}
	f.restart()
	return f
}

// peerTimeout and remoteTimeout are how long reports count, as in package gossip.
func (f *fleet) peerTimeout() time.Duration {
	return max(500*time.Millisecond, f.interval*7/2)
}

func (f *fleet) remoteTimeout() time.Duration {
	return max(1100*time.Millisecond, f.remote*11/5)
}

// restart starts all instances without state of an earlier run.
func (f *fleet) restart() {
	for _, in := range f.instances {
		in.Limiter = quota.New(quota.Options{Window: window, Over: over, Slack: slack, Random: f.random.Float64})
		in.peers, in.domains, in.sentReport, in.sentAt = map[int]time.Time{}, map[int]digest{}, nil, time.Time{}
		in.SetShare(f.now, 1/float64(len(f.instances)))
		f.configure(in)
	}
}

func (f *fleet) configure(in *instance) {
	record := f.account
	in.SetAccounts(f.now, map[string]*steering.Account{"a": &record})
}

func (f *fleet) deliver(to *instance, from int, delay time.Duration, receive func()) {
	if f.instances[from].side != to.side || f.random.Float64() < f.loss {
		return
	}
	at := f.now.Add(delay).Truncate(tick)
	f.pending[at] = append(f.pending[at], func() {
		if !to.paused {
			receive()
		}
	})
}

// exchange sends the messages and digests that are due.
func (f *fleet) exchange() {
	for _, in := range f.instances {
		phase := f.now.Sub(start) + time.Duration(in.index)*7*tick
		if in.paused {
			continue
		}
		if phase%f.interval == 0 {
			in.sentReport, in.sentAt = in.Report(f.now), f.now
			f.updateShare(in)
			in.Tick(f.now)
			f.sendState(in)
		}
		if in.index < domainCount {
			f.sendDigests(in, phase)
		}
	}
	for _, receive := range f.pending[f.now] {
		receive()
	}
	delete(f.pending, f.now)
}

func (f *fleet) sendState(in *instance) {
	report, name := in.sentReport, fmt.Sprint(in.index)
	for i := in.domain; i < len(f.instances); i += domainCount {
		if to := f.instances[i]; to != in {
			f.deliver(to, in.index, 50*time.Millisecond, func() {
				to.peers[in.index] = f.now
				to.ApplyReport(f.now, name, report, f.peerTimeout())
			})
		}
	}
}

// sendDigests sends the sum over a domain to the instances of other domains.
func (f *fleet) sendDigests(in *instance, phase time.Duration) {
	inRegion, remote := phase%f.interval == 0, phase%f.remote == 0
	if !inRegion && !remote {
		return
	}
	sum, members, name := quota.Report(nil), 0, fmt.Sprint("domain ", in.domain)
	for i := in.domain; i < len(f.instances); i += domainCount {
		if peer := f.instances[i]; peer.side == in.side && f.now.Sub(peer.sentAt) < f.peerTimeout() {
			sum, members = sum.Merge(peer.sentReport), members+1
		}
	}
	for _, to := range f.instances {
		sameRegion := to.domain%regionCount == in.domain%regionCount
		if to.domain == in.domain || sameRegion && !inRegion || !sameRegion && !remote {
			continue
		}
		delay, timeout := 150*time.Millisecond, f.remoteTimeout()
		if sameRegion {
			delay, timeout = 50*time.Millisecond, f.peerTimeout()
		}
		f.deliver(to, in.index, delay, func() {
			to.domains[in.domain] = digest{f.now.Add(timeout), members}
			to.ApplyReport(f.now, name, sum, timeout)
		})
	}
}

func (f *fleet) updateShare(in *instance) {
	live := 1
	for _, at := range in.peers {
		if f.now.Sub(at) < f.peerTimeout() {
			live++
		}
	}
	for _, d := range in.domains {
		if f.now.Before(d.expires) {
			live += d.members
		}
	}
	in.SetShare(f.now, float64(live)/float64(len(f.instances)))
}

// poisson returns a random number with the given mean.
func (f *fleet) poisson(mean float64) int {
	n, p := 0, f.random.Float64()
	for limit := math.Exp(-mean); p > limit; n++ {
		p *= f.random.Float64()
	}
	return n
}

// run runs the model and compares the requests with one token bucket.
func (f *fleet) run(duration time.Duration) {
	tokens := f.account.Burst
	for end := f.now.Add(duration); f.now.Before(end); f.now = f.now.Add(tick) {
		at := f.now.Sub(start)
		if fault := f.events[at]; fault != nil {
			fault()
		}
		f.exchange()
		tokens = min(tokens+f.account.RequestsPerSecond*tick.Seconds(), f.account.Burst)
		for range f.poisson(f.demand(at) * tick.Seconds()) {
			f.sent++
			if tokens > 0 {
				tokens--
				f.ideal = append(f.ideal, f.now)
			}
			if in := f.instances[f.choose(at)]; f.decide(in) {
				f.arrivals = append(f.arrivals, f.now)
			}
		}
	}
}

func (f *fleet) decide(in *instance) bool {
	switch {
	case in.paused:
		return false
	case f.admit != nil:
		return f.admit(f.now, in)
	}
	return in.Admit(f.now, "a").Admitted
}

// largestWindow returns the most requests in a window that starts at or after a
// time.
func (f *fleet) largestWindow(from time.Duration) int {
	largest, first := 0, 0
	for last, at := range f.arrivals {
		for at.Sub(f.arrivals[first]) >= window {
			first++
		}
		if f.arrivals[first].Sub(start) >= from {
			largest = max(largest, last-first+1)
		}
	}
	return largest
}

func countBetween(list []time.Time, from, to time.Duration) int {
	first, _ := slices.BinarySearchFunc(list, start.Add(from), time.Time.Compare)
	last, _ := slices.BinarySearchFunc(list, start.Add(to), time.Time.Compare)
	return last - first
}

// use is the share of the requests that one token bucket would admit.
func (f *fleet) use(from, to time.Duration) float64 {
	return float64(countBetween(f.arrivals, from, to)) / float64(countBetween(f.ideal, from, to))
}

func (f *fleet) bound() float64 {
	return (f.account.RequestsPerSecond*window.Seconds()+f.account.Burst)*(1+over) + slack
}

func constant(perSecond float64) func(time.Duration) float64 {
	return func(time.Duration) float64 { return perSecond }
}
