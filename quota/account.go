package quota

import (
	"math"
	"time"

	"github.com/jacinthstall/jacinthstall/steering"
)

const (
	// levelHorizon is the time over which a positive level is used up: twice the
	// age of reports from other regions, which is up to 0.65 s. With 1 s, an
	// account at 8 times its usual rate exceeded the rule's bound by 2%.
	levelHorizon = 1400 * time.Millisecond
	// debtHorizon is the time constant with which a negative level is made good.
	// It is longer than the age of reports, so that the control does not
	// oscillate, and short enough to make most of it good within the window.
	debtHorizon = 1200 * time.Millisecond
	// maxDebt is the time at the limit that makes good the largest debt. Older
	// excess is outside of the window.
	maxDebt = 5 * time.Second
	// maxDebtGrowth limits by how much a debt grows when instances are heard again.
	// The debt of a few instances that have just started says little about all.
	maxDebtGrowth = 2
	// levelDecay is the time constant with which the level of an account over its
	// limit returns to 0. Without it, differences between the instances' levels
	// from lost reports would persist.
	levelDecay = 30 * time.Second
	// toleranceShare is the share of the rule's tolerance that the level may use:
	// of the slack in addition to the burst, and of the rest in place of a smaller
	// burst. It absorbs the noise of arrivals, which matters most for small
	// accounts. The other three quarters are left for the delay of reports.
	toleranceShare = 0.25
	// demandMargin is the part of the standard error of the demand that is
	// deducted. With more, surges of accounts of 30 requests/s exceed the rule's
	// bound; without, 3 of 109 requests of an account of 3 requests/s were refused
	// below its limit.
	demandMargin = 0.5
	// minDemand avoids divisions by zero, in requests per second.
	minDemand = 1e-6
	// minAdmissionShare limits how much demand one returned token takes back.
	minAdmissionShare = 0.1
	// maxReturnAge is the age of an admission up to which its token is returned.
	// When targets that have failed requests late execute them again, the tokens
	// under way come on top of the limit: of an account at three times its limit,
	// returns after 0.3 s would make a window 1.08 of the rule's bound, returns
	// after 2 s 1.63.
	maxReturnAge = 200 * time.Millisecond
	// maxDemandReturnAge is the same for the demand. Without the demand of the
	// failed requests, all that follow are admitted until it has been measured
	// again: with returns after 0.1 s, a window was 1.02 of the bound.
	maxDemandReturnAge = 15 * time.Millisecond
	// overLimitTime is how long an account counts as over its limit after its
	// last refusal.
	overLimitTime = 2 * time.Second
)

// account is the state of an account with a limit.
type account struct {
	name             string
	limit, burst     float64 // Of all instances together: requests per second, requests.
	highest          float64 // Highest level of all instances together.
	demand, admitted meanRate
	peers            Rates   // Sum of the reports.
	lostUse          float64 // Requests deducted for sources that expired since Limiter.lost.
	level            float64 // Requests that all instances known here may admit beyond the rate; negative for a debt.
	updated          time.Time
	share            float64 // Part of the limit for the instances known here.
	admissionShare   float64 // Share of requests admitted by the last decision.
	credit           float64 // Sum of the admission shares less the admitted requests; starts at random.
	refusedAt        time.Time
	refusedSince     time.Time // First refusal of the present excess; zero if there is none.
	refused          int       // Since refusedSince.
}

// set takes over the limit of a configuration. A level above the new burst is
// reduced at once.
func (a *account) set(now time.Time, record *steering.Account, options Options, share float64) {
	a.advance(now)
	a.limit, a.burst = record.RequestsPerSecond, max(0, record.Burst)
	tolerance := options.Over * (a.limit*options.Window.Seconds() + a.burst)
	a.highest = max(a.burst, toleranceShare*tolerance) + toleranceShare*options.Slack
	a.share = share
	a.bound()
}

// advance lets the level rise by the limit and fall by what peers admit.
func (a *account) advance(now time.Time) {
	elapsed := now.Sub(a.updated).Seconds()
	if elapsed <= 0 {
		return
	}
	a.updated = now
	a.level += (a.limit*a.share - a.peers.Admitted) * elapsed
	if a.admissionShare < 1 {
		a.level *= math.Exp(-elapsed / levelDecay.Seconds())
	}
	a.bound()
}

// bound limits the level and the debt.
func (a *account) bound() {
	a.level = max(min(a.level, a.highest*a.share), -a.limit*a.share*maxDebt.Seconds())
}

// setShare divides level and limit when instances are lost: the others may
// continue with their part. What the instances known here have admitted beyond
// their part since the lost ones were heard, silence ago, is deducted. When
// instances return, only a debt grows, because what they have left is unknown.
func (a *account) setShare(now time.Time, share float64, silence time.Duration) {
	a.advance(now)
	kept := share / a.share
	if share < a.share {
		excess := (1-kept)*(a.admitted.at(now)+a.peers.Admitted)*silence.Seconds() - kept*a.lostUse
		a.level = kept*a.level - max(0, excess)
	} else if a.level < 0 {
		a.level *= min(kept, maxDebtGrowth)
	}
	a.share = share
	a.bound()
}

// allowance is the rate that all instances known here may admit now.
func (a *account) allowance() float64 {
	horizon := levelHorizon
	if a.level < 0 {
		horizon = debtHorizon
	}
	return max(0, a.limit*a.share+a.level/horizon.Seconds())
}

// totalDemand is the demand at all instances known here.
func (a *account) totalDemand(now time.Time) float64 {
	return max(minDemand, a.demand.at(now)+a.peers.Demand)
}

// certainDemand is the demand less a part of its standard error: the average
// covers demand times rateTimeConstant requests. Without this, a few requests of a
// small account that arrive together would look like a surge.
func (a *account) certainDemand(now time.Time) float64 {
	demand := a.totalDemand(now)
	return max(minDemand, demand-demandMargin*math.Sqrt(demand/rateTimeConstant.Seconds()))
}

// decide decides on a request that is already part of the demand. Admissions are
// spaced evenly instead of drawn at random: in a window of a middle-sized account,
// a binomial variation alone would take up half of the rule's tolerance.
func (a *account) decide(now time.Time) bool {
	a.advance(now)
	a.admissionShare = min(1, a.allowance()/a.certainDemand(now))
	if a.credit += a.admissionShare; a.credit >= 1 {
		a.credit--
		a.admitted.add(now, 1)
		a.level--
		return true
	}
	if a.refusedSince.IsZero() {
		a.refusedSince, a.refused = now, 0
	}
	a.refusedAt = now
	a.refused++
	return false
}

// restore takes back a request that was admitted some time ago and, if this is a
// short time, the part of the demand for which it stands. The average of the demand
// has decayed otherwise, and below zero it would hide later requests.
func (a *account) restore(now time.Time, age time.Duration) {
	if age > maxReturnAge {
		return
	}
	a.advance(now)
	a.level++
	a.bound()
	a.admitted.add(now, -1)
	if age <= maxDemandReturnAge {
		a.demand.add(now, -1/max(minAdmissionShare, a.admissionShare))
		a.demand.perSecond = max(0, a.demand.perSecond)
	}
}

func (a *account) restored() Restored {
	return Restored{a.name, a.refused, a.refusedAt.Sub(a.refusedSince)}
}

// retryAfter returns the time after which a refused request may be sent again:
// when the debt and a second's excess are made good at the limit, multiplied by a
// factor between 0.75 and 1.25 so that callers don't return together.
func (a *account) retryAfter(now time.Time, chance float64) time.Duration {
	rate := max(minDemand, a.limit*a.share)
	seconds := (max(0, -a.level) + max(0, a.totalDemand(now)-rate)) / rate
	seconds = min(max(seconds, minRetryAfter.Seconds()), maxRetryAfter.Seconds())
	return time.Duration(seconds * (0.75 + chance/2) * float64(time.Second))
}

const (
	minRetryAfter = time.Second
	maxRetryAfter = 10 * time.Second
)

// rates returns what this instance reports about the account.
func (a *account) rates(now time.Time) Rates {
	admitted := max(0, a.admitted.at(now))
	return Rates{Demand: max(admitted, a.demand.at(now)), Admitted: admitted}
}

// reset forgets what this instance assumed before it was started or resumed.
func (a *account) reset(now time.Time) {
	a.level, a.updated = min(a.level, 0), now
}
