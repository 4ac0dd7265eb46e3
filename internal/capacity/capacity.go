package capacity

import (
	"fmt"
	"io"
	"runtime"
	"time"
)

// Row is the measured cost of a role at one size, and a row of the printed table.
type Row struct {
	Role              string
	Size              int
	SizeUnit          string        // What Size counts, for example "members".
	StateBytes        int64         // Live heap that the role's state uses.
	MessagesPerSecond float64       // Messages sent.
	BytesPerSecond    float64       // Bytes sent, with DRPC, TCP and IP headers.
	CPUPerSecond      time.Duration // Processor time per second at the rate in Note.
	Note              string        // Assumptions behind the rates.
}

// MeasureFunc measures one role and returns a row for each size.
type MeasureFunc func() ([]Row, error)

// Roles are the measured roles in the order in which Run prints them.
var Roles = []MeasureFunc{MeasureLookupServer, MeasureHeartbeats, MeasureMembershipTable, MeasureLoadReports,
	MeasureRequestMessages, MeasureScheduler, MeasureConfiguration, MeasureMemberTable, MeasureOnceRecords,
	MeasureQuarantine, MeasureDraft, MeasurePlatformList}

// Run measures all roles and prints their rows and slopes.
func Run(w io.Writer) error {
	fmt.Fprintf(w, "%-18s %18s %12s %12s %12s %12s  %s\n", "role", "size", "state B", "messages/s", "bytes/s", "CPU us/s", "assumes")
	for _, measure := range Roles {
		rows, err := measure()
		if err != nil {
			return err
		}
		for _, r := range rows {
			fmt.Fprintf(w, "%-18s %10d %-7s %12d %12.1f %12.0f %12.1f  %s\n", r.Role, r.Size, r.SizeUnit, r.StateBytes,
				r.MessagesPerSecond, r.BytesPerSecond, float64(r.CPUPerSecond)/float64(time.Microsecond), r.Note)
		}
		printSlope(w, rows)
	}
	return nil
}

// printSlope prints the cost for each unit of size, from the smallest and largest size.
func printSlope(w io.Writer, rows []Row) {
	first, last := rows[0], rows[len(rows)-1]
	sizes := float64(last.Size - first.Size)
	if sizes <= 0 {
		return
	}
	fmt.Fprintf(w, "%-18s slope for each of %s: %.1f B state, %.4f messages/s, %.4f bytes/s, %.4f us/s CPU\n", first.Role,
		first.SizeUnit, float64(last.StateBytes-first.StateBytes)/sizes, (last.MessagesPerSecond-first.MessagesPerSecond)/sizes,
		(last.BytesPerSecond-first.BytesPerSecond)/sizes, float64(last.CPUPerSecond-first.CPUPerSecond)/sizes/float64(time.Microsecond))
}

// liveHeap returns the size of the reachable heap objects in bytes. The second
// collection frees what finalizers and pools kept alive during the first one.
func liveHeap() int64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}

// stateBytes returns the result of build and the live heap that build added. The
// result stays reachable during the measurement.
func stateBytes[T any](build func() T) (T, int64) {
	before := liveHeap()
	state := build()
	after := liveHeap()
	return state, after - before
}
