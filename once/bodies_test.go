package once

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// finishWithLongestBodies finishes n requests with the longest bodies at a time and returns
// how many bodies were kept.
func finishWithLongestBodies(t *testing.T, r *Registry, n int, epoch uint64, now time.Time) int {
	t.Helper()
	body := strings.Repeat("x", MaxBodyBytes)
	for i := range n {
		d := r.Begin(now, newTestKey(issuerA, epoch, fmt.Sprint(i)), fingerprint)
		require.Equal(t, Run, d.Verdict)
		d.Ticket.Finish(executedResult(body))
	}
	kept := 0
	for i := range n {
		d := r.Begin(now, newTestKey(issuerA, epoch, fmt.Sprint(i)), fingerprint)
		require.Equal(t, Replay, d.Verdict, "a record without a body is still a record")
		if len(d.Result.Body) > 0 {
			kept++
		} else {
			assert.True(t, d.Result.BodyDropped)
		}
	}
	return kept
}

// Guards against records whose bodies outgrow the memory of an instance, and
// against a bound that never frees its room again.
func TestBodiesOfAllRecordsAreBounded(t *testing.T) {
	const most = MaxTotalBodyBytes / MaxBodyBytes
	r := newTestRegistry(t, issuerA)
	assert.Equal(t, most, finishWithLongestBodies(t, r, most+50, 0, start))
	later := start.Add(EpochLength + Retention + time.Second)
	assert.Equal(t, most, finishWithLongestBodies(t, r, most+50, uint64(later.Sub(start)/EpochLength), later))
}
