package node

import (
	"time"

	"github.com/apex/log"
	"golang.org/x/sys/unix"

	"github.com/jacinthstall/jacinthstall/events"
)

// pauseThreshold is the time between two ticks of stepInterval beyond which the
// process counts as paused. A loaded machine delays them by some hundred
// milliseconds.
const pauseThreshold = time.Second

// bootClock is a clock that goes on while the machine is suspended, unlike the
// one by which timers run.
func bootClock() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		return 0 // No pauses are found then; every write has its own condition.
	}
	return time.Duration(t.Nano())
}

// pauseDetector finds pauses of the process by ticks that should come regularly.
type pauseDetector struct{ lastTick time.Duration }

func newPauseDetector(now time.Duration) *pauseDetector { return &pauseDetector{now} }

// tick returns how long the process was paused before this tick, or 0.
func (w *pauseDetector) tick(now time.Duration) time.Duration {
	gap := now - w.lastTick
	w.lastTick = now
	if gap < pauseThreshold {
		return 0
	}
	return gap
}

// handlePause gives up what may have run out while the process was paused: that the
// store hears this instance, on which its decisions for others rest, and the age
// of idle connections.
func (n *Node) handlePause(paused time.Duration) {
	n.mirror.ClearStoreReachable()
	n.forwarder.CloseIdle()
	n.relayForwarder.CloseIdle()
	n.events.Emit(events.InstancePaused, log.Fields{"pausedMs": paused.Milliseconds()})
}
