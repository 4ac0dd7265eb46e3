package node

import (
	"time"

	"github.com/apex/log"
	"golang.org/x/sys/unix"

	"github.com/jacinthstall/jacinthstall/events"
)

// pauseThreshold is the time between two ticks of maintenanceInterval from
// which the process counts as paused. On a loaded machine ticks may be delayed
// by some hundred milliseconds.
const pauseThreshold = time.Second

// bootClock returns the time since boot. Unlike the clock of timers it advances
// while the machine is suspended.
func bootClock() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		return 0 // No pauses are detected then; writes to the store are conditional anyway.
	}
	return time.Duration(t.Nano())
}

// pauseDetector detects pauses of the process from late ticks.
type pauseDetector struct{ lastTick time.Duration }

func newPauseDetector(now time.Duration) *pauseDetector { return &pauseDetector{now} }

// tick returns how long the process was paused before this tick, or 0.
func (detector *pauseDetector) tick(now time.Duration) time.Duration {
	gap := now - detector.lastTick
	detector.lastTick = now
	if gap < pauseThreshold {
		return 0
	}
	return gap
}

// handlePause discards state that may have become invalid while the process was
// paused: the assumption that the store responds, on which decisions for other
// instances depend, the levels of accounts' quotas, and idle connections.
func (node *Node) handlePause(paused time.Duration) {
	node.quotas.Restarted(time.Now())
	node.mirror.ClearStoreReachable()
	node.forwarder.CloseIdle()
	node.relayForwarder.CloseIdle()
	node.events.Emit(events.InstancePaused, log.Fields{"pausedMs": paused.Milliseconds()})
}
