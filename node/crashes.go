package node

import (
	"context"
	"errors"
	"slices"
	"time"

	"github.com/apex/log"

	"github.com/jacinthstall/jacinthstall/events"
	"github.com/jacinthstall/jacinthstall/kv"
	"github.com/jacinthstall/jacinthstall/steering"
)

const (
	// crashTableInterval is the interval between comparisons of the crash table
	// with what this instance knows. A difference is written if it still exists
	// one turn later, and by the first instance alone as long as it does so: the
	// one after it waits for two turns, and so on.
	crashTableInterval = time.Second
	// minCrashTableWriteInterval is the shortest interval between writes of an
	// instance.
	minCrashTableWriteInterval = 5 * time.Second
	// maxCrashTableTurns limits the turns that an instance waits.
	maxCrashTableTurns = 30
)

// keepCrashTable keeps the requests that are refused in the store, where they
// outlast the restart of all instances.
func (node *Node) keepCrashTable(ctx context.Context) {
	differences := 0 // Successive comparisons that found a difference.
	for ctx.Err() == nil {
		sleep(ctx, crashTableInterval)
		refused := node.suspects.Refused(time.Now())
		if !node.storeReachable() || !crashTableDiffers(node.mirror.State().CrashTable, refused, node.mirror.Position().Era) {
			differences = 0
			continue
		}
		if differences++; differences <= node.crashTableTurns() {
			continue
		}
		differences = 0
		if err := node.writeCrashTable(ctx, refused); err != nil && !errors.Is(err, kv.ErrConflict) {
			node.events.Emit(events.CrashesNotWritten, log.Fields{"requests": len(refused), "error": err.Error()})
		}
		sleep(ctx, minCrashTableWriteInterval)
	}
}

// crashTableTurns returns for how many comparisons this instance leaves the write
// to those before it.
func (node *Node) crashTableTurns() int {
	position := slices.IndexFunc(node.exchange.Live(), func(in steering.Instance) bool { return in.Name == node.self.Name })
	if position < 0 {
		return maxCrashTableTurns
	}
	return min(1+position, maxCrashTableTurns)
}

// crashTableDiffers reports whether the table in an era of the store holds other
// counts than those given. A table of an older era is not in the store any more.
func crashTableDiffers(table *steering.CrashTable, refused map[uint64]steering.Suspicion, era uint64) bool {
	if table == nil || table.Era != era {
		return len(refused) > 0
	}
	if len(table.Requests) != len(refused) {
		return true
	}
	for fingerprint, suspicion := range refused {
		if written, ok := table.Requests[fingerprint]; !ok || written.CrashCount != suspicion.CrashCount {
			return true
		}
	}
	return false
}

func (node *Node) writeCrashTable(ctx context.Context, refused map[uint64]steering.Suspicion) error {
	value, err := node.options.Platform.CrashesValue(&steering.CrashTable{Requests: refused})
	if err != nil {
		return err
	}
	key, revision := node.options.Platform.CrashesKey(), kv.Revision{}
	if table := node.mirror.State().CrashTable; table != nil {
		revision = kv.Revision{Era: table.Era, Number: table.Revision}
	}
	return node.options.Store.Swap(ctx, key, value, node.expectedRevision(key, revision))
}

// applyCrashTable takes over the counts of a table that was read.
func (node *Node) applyCrashTable(before, after *steering.CrashTable) {
	if after != nil && after != before {
		node.suspects.ApplyReport(time.Now(), after.Requests)
	}
}
