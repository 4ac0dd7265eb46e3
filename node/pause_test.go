package node

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// Guards against a process that was paused for seconds and decides for others
// on what held before, and against one that counts a loaded machine as a pause.
func TestPausesAreDetectedWithTheBootClock(t *testing.T) {
	now := bootClock()
	assert.Positive(t, now)
	w := newPauseDetector(now)
	for range 10 {
		now += 2 * maintenanceInterval
		assert.Zero(t, w.tick(now))
	}
	now += 3 * time.Second
	assert.Equal(t, 3*time.Second, w.tick(now))
	now += maintenanceInterval
	assert.Zero(t, w.tick(now))
}
