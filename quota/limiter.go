package quota

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/jacinthstall/jacinthstall/steering"
)

// maxTickGap is the time between two calls of Tick from which the process counts
// as paused. Reports of that time have been missed.
const maxTickGap = time.Second

// maxShareDelay is how long after the expiry of a report the share may change
// because of it. Reports of instances that have shut down expire without a change
// of the share, and must not reduce what is deducted in a later partition.
const maxShareDelay = time.Second

// Options configure a Limiter.
type Options struct {
	Window time.Duration  // Window in which requests are counted against a limit.
	Over   float64        // Tolerated excess as a fraction of the limit.
	Slack  float64        // Tolerated excess in requests per window, in addition to Over.
	Random func() float64 // Returns values in [0, 1); nil for the default.
}

// Decision is the decision on a request.
type Decision struct {
	Admitted   bool
	RetryAfter time.Duration // If not admitted.
	Demand     float64       // Requests per second of the account, as far as known here.
	Limit      float64       // Requests per second that the known instances may admit.
	Level      float64       // Requests that they may admit beyond that; negative for a debt.
}

// Restored describes an account whose requests are no longer refused.
type Restored struct {
	Account string
	Refused int           // Requests that this instance has refused.
	Over    time.Duration // Time from the first to the last refusal.
}

// Limiter decides which requests of accounts with a limit are admitted.
type Limiter struct {
	options Options

	mu       sync.Mutex
	accounts map[string]*account // Those with a limit.
	byHash   map[uint32][]*account
	sources  map[string]*source
	share    float64
	silence  time.Duration // Longest silence of the sources that expired since lost.
	lost     time.Time     // When the first source expired since the last change of share; zero if none did.
	lastTick time.Time
}

// New returns a limiter without accounts.
func New(options Options) *Limiter {
	if options.Random == nil {
		options.Random = rand.Float64
	}
	return &Limiter{options: options, accounts: map[string]*account{}, byHash: map[uint32][]*account{}, sources: map[string]*source{}, share: 1}
}

// SetAccounts replaces the accounts. Those without a limit are ignored. Accounts
// that remain keep their level. It returns the accounts that had refused requests
// and have no limit any more.
func (limiter *Limiter) SetAccounts(now time.Time, accounts map[string]*steering.Account) []Restored {
	limiter.mu.Lock()
	defer limiter.mu.Unlock()
	before := limiter.accounts
	limiter.accounts, limiter.byHash = map[string]*account{}, map[uint32][]*account{}
	for name, record := range accounts {
		if !(record.RequestsPerSecond > 0) {
			continue
		}
		a := before[name]
		if a == nil {
			a = limiter.newAccount(now, name)
		}
		a.set(now, record, limiter.options, limiter.share)
		limiter.accounts[name] = a
		limiter.byHash[Hash(name)] = append(limiter.byHash[Hash(name)], a)
	}
	if len(limiter.accounts) == 0 {
		limiter.lastTick = time.Time{}
	}
	var restored []Restored
	for name, a := range before {
		if limiter.accounts[name] == nil && !a.refusedSince.IsZero() {
			restored = append(restored, a.restored())
		}
	}
	return restored
}

func (limiter *Limiter) newAccount(now time.Time, name string) *account {
	a := &account{name: name, updated: now, share: limiter.share, admissionShare: 1, credit: limiter.options.Random()}
	for _, s := range limiter.sources {
		a.peers = a.peers.add(s.report[Hash(name)], 1)
	}
	return a
}

// SetShare sets the part of each limit that the instances known here may use:
// those that are live, divided by those that are registered. The others may be
// cut off and use the rest.
func (limiter *Limiter) SetShare(now time.Time, share float64) {
	limiter.mu.Lock()
	defer limiter.mu.Unlock()
	if !limiter.lost.IsZero() && now.Sub(limiter.lost) > maxShareDelay {
		limiter.forgetLost()
	}
	limiter.expire(now)
	if share == limiter.share || !(share > 0) {
		return
	}
	for _, a := range limiter.accounts {
		a.setShare(now, share, limiter.silence)
	}
	limiter.share = share
	limiter.forgetLost()
}

// forgetLost forgets the sources that have expired.
func (limiter *Limiter) forgetLost() {
	limiter.silence, limiter.lost = 0, time.Time{}
	for _, a := range limiter.accounts {
		a.lostUse = 0
	}
}

// Admit decides whether a request of a caller is admitted. Requests of accounts
// without a limit always are.
func (limiter *Limiter) Admit(now time.Time, name string) Decision {
	limiter.mu.Lock()
	defer limiter.mu.Unlock()
	a := limiter.accounts[name]
	if a == nil {
		return Decision{Admitted: true}
	}
	limiter.detectPause(now)
	a.demand.add(now, 1)
	if a.decide(now) {
		return Decision{Admitted: true}
	}
	return Decision{RetryAfter: a.retryAfter(now, limiter.options.Random()), Demand: a.totalDemand(now), Limit: a.limit * a.share, Level: a.level}
}

// Return takes back a request that was admitted at the given time and refused later
// without having been executed.
func (limiter *Limiter) Return(now time.Time, name string, admitted time.Time) {
	limiter.mu.Lock()
	defer limiter.mu.Unlock()
	if a := limiter.accounts[name]; a != nil {
		a.restore(now, now.Sub(admitted))
	}
}

// Report returns the report of this instance, nil if there is nothing to report.
func (limiter *Limiter) Report(now time.Time) Report {
	limiter.mu.Lock()
	defer limiter.mu.Unlock()
	var report Report
	for name, a := range limiter.accounts {
		if rates := a.rates(now); rates.Demand >= minReportedRate {
			if report == nil {
				report = Report{}
			}
			report[Hash(name)] = report[Hash(name)].add(rates, 1)
		}
	}
	return report.Limited()
}

// ApplyReport replaces the report of a peer or a failure domain. It expires after
// ttl.
func (limiter *Limiter) ApplyReport(now time.Time, name string, report Report, ttl time.Duration) {
	limiter.mu.Lock()
	defer limiter.mu.Unlock()
	limiter.removeSource(now, name)
	if len(report) == 0 {
		return
	}
	limiter.sources[name] = &source{report, now, now.Add(ttl)}
	limiter.count(now, report, 1)
}

func (limiter *Limiter) removeSource(now time.Time, name string) {
	if s := limiter.sources[name]; s != nil {
		limiter.count(now, s.report, -1)
		delete(limiter.sources, name)
	}
}

// count adds a report to the sums of all sources, or subtracts it.
func (limiter *Limiter) count(now time.Time, report Report, sign float64) {
	for hash, rates := range report {
		for _, a := range limiter.byHash[hash] {
			a.advance(now)
			a.peers = a.peers.add(rates, sign)
		}
	}
}

// Tick drops reports that have expired, detects pauses of the process, and returns
// the accounts whose requests are no longer refused. It is called several times a
// second.
func (limiter *Limiter) Tick(now time.Time) []Restored {
	limiter.mu.Lock()
	defer limiter.mu.Unlock()
	limiter.detectPause(now)
	if len(limiter.accounts) > 0 {
		limiter.lastTick = now
	}
	limiter.expire(now)
	var restored []Restored
	for _, a := range limiter.accounts {
		if !a.refusedSince.IsZero() && now.Sub(a.refusedAt) > overLimitTime {
			restored = append(restored, a.restored())
			a.refusedSince = time.Time{}
		}
	}
	return restored
}

// expire drops the reports that have expired.
func (limiter *Limiter) expire(now time.Time) {
	for name, s := range limiter.sources {
		if now.Before(s.expires) {
			continue
		}
		if limiter.lost.IsZero() {
			limiter.lost = now
		}
		silence := now.Sub(s.received)
		limiter.silence = max(limiter.silence, silence)
		for hash, rates := range s.report {
			for _, a := range limiter.byHash[hash] {
				a.lostUse += rates.Admitted * silence.Seconds()
			}
		}
		limiter.removeSource(now, name)
	}
}

// OverLimit returns the number of accounts of which requests are refused.
func (limiter *Limiter) OverLimit() int {
	limiter.mu.Lock()
	defer limiter.mu.Unlock()
	over := 0
	for _, a := range limiter.accounts {
		if !a.refusedSince.IsZero() {
			over++
		}
	}
	return over
}

// detectPause treats the process as restarted if Tick is overdue. The first
// request after a pause may precede the first Tick.
func (limiter *Limiter) detectPause(now time.Time) {
	if limiter.tickOverdue(now) {
		limiter.restart(now)
	}
}

func (limiter *Limiter) tickOverdue(now time.Time) bool {
	return !limiter.lastTick.IsZero() && now.Sub(limiter.lastTick) > maxTickGap
}

// Restarted discards the levels after a pause of the process.
func (limiter *Limiter) Restarted(now time.Time) {
	limiter.mu.Lock()
	defer limiter.mu.Unlock()
	limiter.restart(now)
}

// restart keeps the reports for the time in which new ones arrive: they are the
// best estimate of what the others admit.
func (limiter *Limiter) restart(now time.Time) {
	if !limiter.lastTick.IsZero() {
		limiter.lastTick = now
	}
	for _, a := range limiter.accounts {
		a.reset(now)
	}
	for _, s := range limiter.sources {
		if s.expires.Before(now.Add(maxTickGap)) {
			s.expires = now.Add(maxTickGap)
		}
	}
}
