package once

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// finishWithLongestBodies finishes count requests with bodies of the maximum size
// and returns how many of the bodies were kept.
func finishWithLongestBodies(t *testing.T, registry *Registry, count int, epoch uint64, now time.Time) int {
	t.Helper()
	body := strings.Repeat("x", MaxBodyBytes)
	for i := range count {
		decision := registry.Begin(now, newTestKey(issuerA, epoch, fmt.Sprint(i)), fingerprint)
		require.Equal(t, Run, decision.Verdict)
		decision.Ticket.Finish(executedResult(body))
	}
	kept := 0
	for i := range count {
		decision := registry.Begin(now, newTestKey(issuerA, epoch, fmt.Sprint(i)), fingerprint)
		require.Equal(t, Replay, decision.Verdict, "a record without a body is still a record")
		if len(decision.Result.Body) > 0 {
			kept++
		} else {
			assert.True(t, decision.Result.BodyDropped)
		}
	}
	return kept
}

// Guards against bodies that exceed MaxTotalBodyBytes, and against bodies of
// expired records that still count towards it.
func TestBodiesOfAllRecordsAreBounded(t *testing.T) {
	const maxBodies = MaxTotalBodyBytes / MaxBodyBytes
	registry := newTestRegistry(t, issuerA)
	assert.Equal(t, maxBodies, finishWithLongestBodies(t, registry, maxBodies+50, 0, start))
	later := start.Add(EpochLength + Retention + time.Second)
	assert.Equal(t, maxBodies, finishWithLongestBodies(t, registry, maxBodies+50, uint64(later.Sub(start)/EpochLength), later))
}
