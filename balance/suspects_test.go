package balance_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/jacinthstall/jacinthstall/balance"
	"github.com/jacinthstall/jacinthstall/quarantine"
)

// Pattern: a request that crashes each target, sent again by its caller through
// all instances in turn.
func TestCrashingRequestIsRefusedByAllInstances(t *testing.T) {
	fleet := []*balance.Suspects{balance.NewSuspects(), balance.NewSuspects(), balance.NewSuspects()}
	poison, other := quarantine.Fingerprint{1}, quarantine.Fingerprint{2}
	reached := 0
	for i := range 30 {
		now := start.Add(time.Duration(i) * 500 * time.Millisecond)
		s := fleet[i%len(fleet)]
		if _, refused := s.Refused(now, poison); !refused {
			reached++
			s.RecordCrash(now, poison)
		}
		for j, from := range fleet {
			for k, to := range fleet {
				if j != k {
					to.ApplyReport(now, fmt.Sprint("n", j), from.Report(now))
				}
			}
		}
	}
	assert.Equal(t, 3, reached)
	for _, s := range fleet {
		_, refused := s.Refused(start.Add(16*time.Second), other)
		assert.False(t, refused)
		_, refused = s.Refused(start.Add(5*time.Minute), poison)
		assert.False(t, refused, "it is tried again some time")
	}
}

// Guards against a popular request that is refused because answers were lost.
func TestSuccessClearsSuspectRequest(t *testing.T) {
	s := balance.NewSuspects()
	f := quarantine.Fingerprint{1}
	for i := range 20 {
		now := start.Add(time.Duration(i) * time.Second)
		s.RecordCrash(now, f)
		_, refused := s.Refused(now, f)
		assert.False(t, refused)
		s.RecordCrash(now, f)
		s.Clear(f)
	}
}

// Guards against memory that grows with the number of requests.
func TestNumberOfSuspectsIsLimited(t *testing.T) {
	s := balance.NewSuspects()
	for i := range 5000 {
		now := start.Add(time.Duration(i) * time.Millisecond)
		for range 3 {
			s.RecordCrash(now, quarantine.Fingerprint{byte(i), byte(i >> 8)})
		}
	}
	now := start.Add(5 * time.Second)
	known := 0
	for i := range 5000 {
		if _, refused := s.Refused(now, quarantine.Fingerprint{byte(i), byte(i >> 8)}); refused {
			known++
		}
	}
	assert.LessOrEqual(t, known, 257)
	assert.Len(t, s.Report(now), 16)
	_, refused := s.Refused(now, quarantine.Fingerprint{4999 & 0xff, 4999 >> 8})
	assert.True(t, refused, "the latest is known")
}

// Guards against requests that are hashed although no crash is known.
func TestAnyReportsRememberedCrashes(t *testing.T) {
	s := balance.NewSuspects()
	assert.False(t, s.Any())
	s.RecordCrash(start, quarantine.Fingerprint{1})
	assert.True(t, s.Any())
	s.Clear(quarantine.Fingerprint{1})
	assert.False(t, s.Any())
	s.ApplyReport(start, "n2", map[uint64]int{5: 1})
	assert.True(t, s.Any())
	s.ApplyReport(start, "n2", nil)
	assert.False(t, s.Any())
}
