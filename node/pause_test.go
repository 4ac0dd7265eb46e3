package node

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// Guards against a process that was paused for seconds and decides for other
// instances on outdated state, and against a loaded machine that counts as a
// pause.
func TestPausesAreDetectedWithTheBootClock(t *testing.T) {
	now := bootClock()
	assert.Positive(t, now)
	detector := newPauseDetector(now)
	for range 10 {
		now += 2 * maintenanceInterval
		assert.Zero(t, detector.tick(now))
	}
	now += 3 * time.Second
	assert.Equal(t, 3*time.Second, detector.tick(now))
	now += maintenanceInterval
	assert.Zero(t, detector.tick(now))
}
