package balance_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/jacinthstall/jacinthstall/balance"
	"github.com/jacinthstall/jacinthstall/quarantine"
	"github.com/jacinthstall/jacinthstall/steering"
)

// reportInterval is the interval between the reports of two instances.
const reportInterval = 100 * time.Millisecond

// exchangeReports delivers a report of each tracker to all others.
func exchangeReports(now time.Time, fleet []*balance.Suspects) {
	for j, from := range fleet {
		for k, to := range fleet {
			if j != k {
				to.ApplyReport(now, from.Report(now, reportInterval))
			}
		}
	}
}

func newSuspectsFleet(n int) []*balance.Suspects {
	fleet := make([]*balance.Suspects, n)
	for i := range fleet {
		fleet[i] = balance.NewSuspects()
	}
	return fleet
}

// recordCrash counts a crash of an attempt that was sent with the count of the
// tracker.
func recordCrash(s *balance.Suspects, now time.Time, f quarantine.Fingerprint) {
	sent, _ := s.Check(now, f)
	s.RecordCrash(now, f, sent)
}

func isRefused(s *balance.Suspects, now time.Time, f quarantine.Fingerprint) bool {
	_, refused := s.Check(now, f)
	return refused
}

// A request crashes every target, and its caller retries it through all
// instances in turn.
func TestCrashingRequestIsRefusedByAllInstances(t *testing.T) {
	fleet := newSuspectsFleet(3)
	poison, other := quarantine.Fingerprint{1}, quarantine.Fingerprint{2}
	reached := 0
	for i := range 30 {
		now := start.Add(time.Duration(i) * 500 * time.Millisecond)
		s := fleet[i%len(fleet)]
		if !isRefused(s, now, poison) {
			reached++
			recordCrash(s, now, poison)
		}
		exchangeReports(now, fleet)
	}
	assert.Equal(t, 3, reached)
	for _, s := range fleet {
		assert.False(t, isRefused(s, start.Add(16*time.Second), other))
		assert.False(t, isRefused(s, start.Add(25*time.Hour), poison), "the request is allowed again after the last crash expires")
	}
}

// Guards against letting a crashing request through again when instances that have
// counted its crashes are restarted.
func TestRefusedRequestStaysRefusedWhileInstancesRestart(t *testing.T) {
	for name, lastReport := range map[string]bool{"planned": true, "killed": false} {
		t.Run(name, func(t *testing.T) {
			fleet := newSuspectsFleet(6)
			poison := quarantine.Fingerprint{1}
			reached := 0
			for i := range 600 {
				now := start.Add(time.Duration(i) * reportInterval)
				if s := fleet[i%len(fleet)]; i%2 == 0 && !isRefused(s, now, poison) {
					reached++
					recordCrash(s, now, poison)
				}
				if i%25 == 24 { // One instance after the other.
					if lastReport {
						exchangeReports(now, fleet)
					}
					restarted := i / 25 % len(fleet)
					fleet[restarted] = balance.NewSuspects()
					peer := fleet[(restarted+1)%len(fleet)] // Hears of the new instance first.
					fleet[restarted].ApplyReport(now, peer.ReportAll(now))
				}
				exchangeReports(now, fleet)
			}
			assert.Equal(t, 3, reached)
		})
	}
}

// playRepeats sends a request that crashes every target to a fleet at intervals, and
// returns how often it reached a target. Reports take some time.
func playRepeats(fleet []*balance.Suspects, from, until, interval time.Duration, crashes func(time.Duration) bool) (reached int) {
	f := quarantine.Fingerprint{1}
	const reportDelay = 500 * time.Millisecond
	nextReport := from
	for at, i := from, 0; at < until; at, i = at+interval, i+1 {
		now := start.Add(at)
		if admission := fleet[i%len(fleet)].Admit(now, f); !admission.Refused {
			reached++
			if crashes(at) {
				fleet[i%len(fleet)].RecordCrash(now.Add(interval/2), f, admission.Count)
			} else {
				fleet[i%len(fleet)].Clear(now.Add(interval/2), f)
			}
		}
		for ; nextReport <= at; nextReport += max(reportDelay, interval) {
			exchangeReports(now, fleet)
		}
	}
	return reached
}

func newNamedSuspectsFleet(n int) []*balance.Suspects {
	var live []steering.Instance
	for i := range n {
		live = append(live, steering.Instance{Name: fmt.Sprint("n", i)})
	}
	fleet := newSuspectsFleet(n)
	for i, s := range fleet {
		s.SetInstances(live[i].Name, live)
	}
	return fleet
}

func always(time.Duration) bool { return true }

// Guards against a request that crashes targets and is let through again and again:
// while it goes on, and after it has not come for a minute or an hour.
func TestCrashingRequestStaysRefusedAfterAPause(t *testing.T) {
	for name, pauses := range map[string][]time.Duration{
		"none":       {0},
		"a minute":   {time.Minute, time.Minute, time.Minute},
		"2 minutes":  {2 * time.Minute, 2 * time.Minute},
		"10 minutes": {10 * time.Minute, 10 * time.Minute, 10 * time.Minute},
		"an hour":    {time.Hour, time.Hour, time.Hour},
	} {
		for _, interval := range []time.Duration{50 * time.Millisecond, 300 * time.Millisecond, time.Second} {
			t.Run(fmt.Sprint(name, " ", interval), func(t *testing.T) {
				fleet := newNamedSuspectsFleet(8)
				// Until the third crash is known everywhere, more may reach targets.
				playRepeats(fleet, 0, 5*time.Second, interval, always)
				at, late := 5*time.Second, 0
				for _, pause := range pauses {
					late += playRepeats(fleet, at+pause, at+pause+100*time.Second, interval, always)
					at += pause + 100*time.Second
				}
				assert.LessOrEqual(t, late, 3)
			})
		}
	}
}

// Guards against refusing a request for long after its targets were replaced by ones
// that it does not crash.
func TestRequestIsServedAgainAfterItsTargetsWereReplaced(t *testing.T) {
	fleet := newNamedSuspectsFleet(8)
	repaired := 90 * time.Second
	crashes := func(at time.Duration) bool { return at < repaired }
	playRepeats(fleet, 0, repaired, 100*time.Millisecond, crashes)
	playRepeats(fleet, repaired, 4*time.Minute, 100*time.Millisecond, crashes)
	reached := playRepeats(fleet, 4*time.Minute, 5*time.Minute, 100*time.Millisecond, crashes)
	assert.Equal(t, 600, reached, "all are served")
}

// Guards against refusing a request for hours because its trials found no target
// with room and counted as crashes.
func TestTrialThatReachesNoTargetIsNotCounted(t *testing.T) {
	s := balance.NewSuspects()
	f := quarantine.Fingerprint{1}
	for range 3 {
		recordCrash(s, start, f)
	}
	at := start
	for range 10 {
		at = at.Add(3*time.Minute + time.Second)
		admission := s.Admit(at, f)
		assert.True(t, admission.Trial)
		assert.True(t, s.Admit(at, f).Refused, "one at a time")
		s.AbortTrial(at.Add(time.Millisecond), f, admission)
	}
	count, refused := s.Check(at, f)
	assert.True(t, refused)
	assert.Equal(t, 3, count.Crashes)
}

// Guards against refusing a popular request because of lost responses.
func TestSuccessClearsSuspectRequest(t *testing.T) {
	s := balance.NewSuspects()
	f := quarantine.Fingerprint{1}
	for i := range 20 {
		now := start.Add(time.Duration(i) * time.Second)
		recordCrash(s, now, f)
		assert.False(t, isRefused(s, now, f))
		recordCrash(s, now, f)
		s.Clear(now, f)
	}
}

// Guards against refusing a request at all instances although it succeeds at one:
// the crashes were counted elsewhere.
func TestSuccessClearsTheRequestAtAllInstances(t *testing.T) {
	fleet := newSuspectsFleet(4)
	f := quarantine.Fingerprint{1}
	for i, s := range fleet[:3] {
		recordCrash(s, start.Add(time.Duration(i)*time.Millisecond), f)
		exchangeReports(start.Add(time.Duration(i)*time.Millisecond), fleet)
	}
	for _, s := range fleet {
		assert.True(t, isRefused(s, start.Add(time.Second), f))
	}
	late := fleet[0].Report(start.Add(time.Second), time.Second)
	fleet[3].Clear(start.Add(time.Second), f) // A response to a request that was in flight.
	exchangeReports(start.Add(time.Second), fleet)
	fleet[2].ApplyReport(start.Add(2*time.Second), late) // From before the success.
	exchangeReports(start.Add(2*time.Second), fleet)
	for i, s := range fleet {
		assert.False(t, isRefused(s, start.Add(2*time.Second), f), "instance %d", i)
		assert.False(t, s.Any(), "instance %d", i)
	}
}

// Load pattern: copies of a popular request are in flight, through several instances,
// at targets that crash at the same moment. Guards against counting each copy, and
// refusing the request: another one crashes the targets.
func TestCopiesInFlightAtTheSameTimeCountOnce(t *testing.T) {
	popular := quarantine.Fingerprint{1}
	fleet := newSuspectsFleet(4)
	for crash := range 2 {
		now := start.Add(time.Duration(crash) * time.Second)
		sent := make([]balance.CrashCount, len(fleet))
		for i, s := range fleet {
			sent[i], _ = s.Check(now, popular)
		}
		for i, s := range fleet {
			for copies := range 5 {
				s.RecordCrash(now.Add(time.Duration(i*20+copies)*time.Millisecond), popular, sent[i])
			}
			exchangeReports(now.Add(time.Duration(i)*20*time.Millisecond), fleet)
		}
		for i, s := range fleet {
			count, refused := s.Check(now.Add(200*time.Millisecond), popular)
			assert.Equal(t, crash+1, count.Crashes, "instance %d", i)
			assert.False(t, refused)
		}
	}
	for i, s := range fleet { // A third crash of the same kind, after which the request would be refused.
		sent, _ := s.Check(start.Add(2*time.Second), popular)
		s.Clear(start.Add(3*time.Second), popular)
		s.RecordCrash(start.Add(3*time.Second), popular, sent)
		exchangeReports(start.Add(3*time.Second), fleet)
		assert.False(t, isRefused(s, start.Add(3*time.Second), popular), "instance %d", i)
	}
}

// Guards against memory use that grows with the number of requests.
func TestNumberOfSuspectsIsLimited(t *testing.T) {
	s := balance.NewSuspects()
	for i := range 5000 {
		now := start.Add(time.Duration(i) * time.Millisecond)
		for range 3 {
			recordCrash(s, now, quarantine.Fingerprint{byte(i), byte(i >> 8)})
		}
	}
	now := start.Add(5 * time.Second)
	known := 0
	for i := range 5000 {
		if isRefused(s, now, quarantine.Fingerprint{byte(i), byte(i >> 8)}) {
			known++
		}
	}
	assert.LessOrEqual(t, known, 1024)
	assert.Len(t, s.ReportAll(now), 32)
	assert.True(t, isRefused(s, now, quarantine.Fingerprint{4999 & 0xff, 4999 >> 8}), "the most recent suspect is kept")
}

// Load pattern: many requests are in flight when targets crash. Guards against
// forgetting a request that is refused, and against reports that leave it out.
func TestManySuspectsDoNotHideARefusedRequest(t *testing.T) {
	fleet := newSuspectsFleet(2)
	poison := quarantine.Fingerprint{255}
	for range 3 {
		recordCrash(fleet[0], start, poison)
	}
	for i := range 5000 {
		now := start.Add(time.Duration(i) * time.Millisecond)
		recordCrash(fleet[0], now, quarantine.Fingerprint{1, byte(i), byte(i >> 8)})
	}
	assert.True(t, isRefused(fleet[0], start.Add(5*time.Second), poison))
	for i := range 30 {
		exchangeReports(start.Add(5*time.Second+time.Duration(i)*reportInterval), fleet)
	}
	assert.True(t, isRefused(fleet[1], start.Add(8*time.Second), poison), "reported")
}

// Guards against computing fingerprints while no crash is known.
func TestAnyReportsRememberedCrashes(t *testing.T) {
	s := balance.NewSuspects()
	assert.False(t, s.Any())
	recordCrash(s, start, quarantine.Fingerprint{1})
	assert.True(t, s.Any())
	s.Clear(start, quarantine.Fingerprint{1})
	assert.False(t, s.Any())
	s.ApplyReport(start, map[uint64]balance.Suspicion{5: {CrashCount: balance.CrashCount{Crashes: 1}}})
	assert.True(t, s.Any())
	s.ApplyReport(start, map[uint64]balance.Suspicion{5: {CrashCount: balance.CrashCount{Clearance: 1}}})
	assert.False(t, s.Any())
	recordCrash(s, start, quarantine.Fingerprint{1})
	s.Report(start.Add(time.Hour*48), reportInterval)
	assert.False(t, s.Any(), "forgotten")
}
