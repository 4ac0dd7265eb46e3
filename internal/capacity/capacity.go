package capacity

import (
	"fmt"
	"io"
	"runtime"
	"time"
)

// Row is the cost of a role at one size.
type Row struct {
	Role       string
	Size       int
	SizeUnit   string        // What Size counts, for example "members".
	StateBytes int64         // Live heap of the role's state.
	Messages   float64       // Messages sent a second.
	Bytes      float64       // Bytes sent a second, with DRPC, TCP and IP headers.
	CPU        time.Duration // Processor time for each second at the design's rate.
	Note       string        // What the rates assume.
}

// MeasureFunc returns the rows of one role at all its sizes.
type MeasureFunc func() ([]Row, error)

// Roles are the measured roles in the order of printing.
var Roles = []MeasureFunc{LookupServer, Heartbeats, MembershipTable, LoadReports, RequestMessages, Scheduler,
	Configuration, MemberTable, OnceRecords, Quarantine, Draft, PlatformList}

// Run measures all roles and prints their rows.
func Run(w io.Writer) error {
	fmt.Fprintf(w, "%-18s %18s %12s %12s %12s %12s  %s\n", "role", "size", "state B", "messages/s", "bytes/s", "CPU us/s", "assumes")
	for _, measure := range Roles {
		rows, err := measure()
		if err != nil {
			return err
		}
		for _, r := range rows {
			fmt.Fprintf(w, "%-18s %10d %-7s %12d %12.1f %12.0f %12.1f  %s\n", r.Role, r.Size, r.SizeUnit, r.StateBytes,
				r.Messages, r.Bytes, float64(r.CPU)/float64(time.Microsecond), r.Note)
		}
		printSlope(w, rows)
	}
	return nil
}

// printSlope prints how the costs grow from the smallest to the largest size.
func printSlope(w io.Writer, rows []Row) {
	first, last := rows[0], rows[len(rows)-1]
	sizes := float64(last.Size - first.Size)
	if sizes <= 0 {
		return
	}
	fmt.Fprintf(w, "%-18s slope for each of %s: %.1f B state, %.4f messages/s, %.4f bytes/s, %.4f us/s CPU\n", first.Role,
		first.SizeUnit, float64(last.StateBytes-first.StateBytes)/sizes, (last.Messages-first.Messages)/sizes,
		(last.Bytes-first.Bytes)/sizes, float64(last.CPU-first.CPU)/sizes/float64(time.Microsecond))
}

// liveHeap returns the bytes of reachable heap objects.
func liveHeap() int64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}

// stateBytes returns the live heap that build adds. The result of build is kept
// alive until it has been measured.
func stateBytes[T any](build func() T) (T, int64) {
	before := liveHeap()
	state := build()
	after := liveHeap()
	return state, after - before
}
