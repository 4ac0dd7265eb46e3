package node

import (
	"time"

	"github.com/apex/log"
	"golang.org/x/sys/unix"

	"github.com/jacinthstall/jacinthstall/events"
)

// longestTick is the time between two ticks of stepInterval beyond which the
// process counts as paused. A loaded machine delays them by some hundred
// milliseconds.
const longestTick = time.Second

// bootTime is a clock that goes on while the machine is suspended, unlike the
// one by which timers run.
func bootTime() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		return 0 // No pauses are found then; every write has its own condition.
	}
	return time.Duration(t.Nano())
}

// pauseWatch finds pauses of the process by ticks that should come regularly.
type pauseWatch struct{ last time.Duration }

func newPauseWatch(now time.Duration) *pauseWatch { return &pauseWatch{now} }

// tick returns how long the process was paused before this tick, or 0.
func (w *pauseWatch) tick(now time.Duration) time.Duration {
	gap := now - w.last
	w.last = now
	if gap < longestTick {
		return 0
	}
	return gap
}

// resumed gives up what may have run out while the process was paused: that the
// store hears this instance, on which its decisions for others rest, and the age
// of idle connections.
func (n *Node) resumed(paused time.Duration) {
	n.mirror.Doubt()
	n.forward.CloseIdle()
	n.relays.CloseIdle()
	n.events.Emit(events.InstancePaused, log.Fields{"pausedMs": paused.Milliseconds()})
}
