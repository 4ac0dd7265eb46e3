package balance

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"github.com/jacinthstall/jacinthstall/steering"
)

const (
	// utilizationTimeConstant is the time over which a target's load is averaged. It is
	// longer than a request and shorter than a burst.
	utilizationTimeConstant = 2 * time.Second
	// maxSampledUtilization bounds what a queue adds to an average.
	maxSampledUtilization = 2.0
	// busyUtilization is the part of a target's slots from which on requests begin to
	// wait. Targets below keep their objects.
	busyUtilization = 0.5
	// maxMoveUtilization is the highest level that a move may lead to. Above it requests
	// wait there as well.
	maxMoveUtilization = 1.2
	// minUtilizationGap is the difference of two targets' levels that is worth a move.
	// Each move costs a run at a target that does not know the object.
	minUtilizationGap = 0.3
	// minUtilizationGain is how much lower the higher of two levels must be after a move.
	minUtilizationGain = 0.1
	// hotObjectUtilization is the part of a target's slots that one object must keep busy to
	// get another home. It fills its home alone, wherever that is.
	hotObjectUtilization = 0.5
	// moveCooldown is how long a target keeps its objects after a move, until its
	// load shows what the move has changed.
	moveCooldown = 3 * time.Second
	// maxMoveShare is the part of a service's targets in a region that may give
	// away an object at one time.
	maxMoveShare = 0.5
	// maxHomeTableEntries bounds a region's table of homes. A record of the store holds
	// several times as many.
	maxHomeTableEntries = 8192
)

// HomeMove is the decision to give an object another home, or one more, with the
// levels that led to it.
type HomeMove struct {
	Service           string
	From, To          string  // IDs of targets.
	FromUtilization   float64 // Requests in flight by slots, averaged.
	ToUtilization     float64
	ObjectUtilization float64 // The object's part of FromLevel.
	AddsHome          bool    // The object keeps its other homes.
}

// updateUtilization averages the loads of all targets. It is called every weightStep.
func (b *Balancer) updateUtilization(now time.Time) {
	weight := weightInterval.Seconds() / utilizationTimeConstant.Seconds()
	for _, t := range b.targets {
		level := min(maxSampledUtilization, float64(b.load(now, t))/float64(t.record.Slots))
		t.utilization += weight * (level - t.utilization)
	}
}

// Rebalance returns a table of homes for this instance's region in which
// objects have moved from targets with much load to some with little. Without
// moves there is nothing to change.
//
// One instance of a region decides for all, so all agree. It needs to know
// only the load of the targets, which instances tell each other, and the
// requests that it got itself as a sample of the objects.
func (b *Balancer) Rebalance(now time.Time) (*steering.HomeTable, []HomeMove) {
	b.mu.Lock()
	defer b.mu.Unlock()
	table := &steering.HomeTable{Objects: map[uint32]uint32{}}
	if old := b.state.HomeTables[b.options.Region]; old != nil {
		table.Revision, table.Objects = old.Revision, maps.Clone(old.Objects)
	}
	var moves []HomeMove
	for _, name := range slices.Sorted(maps.Keys(b.services)) {
		moves = append(moves, b.rebalanceService(now, b.services[name], table)...)
	}
	if len(moves) > 0 {
		b.pruneHomeTable(table)
	}
	return table, moves
}

// rebalanceService moves objects of one service.
func (b *Balancer) rebalanceService(now time.Time, s *service, table *steering.HomeTable) []HomeMove {
	list := b.rebalanceCandidates(now, s)
	if len(list) < 2 {
		return nil
	}
	objects := b.objectsByHome(s)
	b.dropIdleExtraHomes(s, table)
	var moves []HomeMove
	for range int(math.Ceil(maxMoveShare * float64(len(list)))) {
		if len(list) < 2 {
			break
		}
		slices.SortFunc(list, func(a, c *target) int {
			return cmp.Or(cmp.Compare(a.utilization, c.utilization), cmp.Compare(a.hash, c.hash))
		})
		to, from := list[0], list[len(list)-1]
		if from.utilization < busyUtilization || from.utilization-to.utilization < minUtilizationGap {
			break
		}
		list = list[:len(list)-1]
		move := HomeMove{Service: s.name, From: from.record.ID, To: to.record.ID, FromUtilization: from.utilization, ToUtilization: to.utilization}
		object, number := uint64(0), 0
		if object, move.ObjectUtilization = bestMove(from, to, objects[from]); move.ObjectUtilization == 0 {
			object, move.ObjectUtilization = hottestObject(from, objects[from])
			number = b.freeHomeNumber(s, object, to)
			if move.ObjectUtilization < hotObjectUtilization || number == 0 {
				continue
			}
			move.AddsHome = true
		}
		table.Objects[homeTableKey(s.name, object, number)] = shortHash(to.hash)
		moves = append(moves, move)
		from.rebalanceAfter, to.rebalanceAfter = now.Add(moveCooldown), now.Add(moveCooldown)
		list = list[1:]
	}
	return moves
}

// rebalanceCandidates returns the targets of the own region whose load tells what their
// objects cost.
func (b *Balancer) rebalanceCandidates(now time.Time, s *service) []*target {
	var list []*target
	for _, t := range s.targetsByRegion[b.options.Region] {
		if now.Before(t.rebalanceAfter) || now.Before(t.coldUntil) || now.Before(t.avoidUntil) || t.down {
			continue
		}
		list = append(list, t)
	}
	return list
}

// objectRequests is what is known of the requests for an object at one of its homes.
type objectRequests struct {
	requests      float64
	multipleHomes bool // The object has several homes, so none of them moves.
}

// objectsByHome returns the requests for each object, by the object's homes.
func (b *Balancer) objectsByHome(s *service) map[*target]map[uint64]objectRequests {
	byHome := map[*target]map[uint64]objectRequests{}
	for object, n := range s.demand.counts() {
		homes := b.homeTargets(s, b.options.Region, object)
		for _, home := range homes {
			if byHome[home] == nil {
				byHome[home] = map[uint64]objectRequests{}
			}
			byHome[home][object] = objectRequests{float64(n) / float64(len(homes)), len(homes) > 1}
		}
	}
	return byHome
}

// freeHomeNumber returns the number of a further home for an object; 0 when it has
// as many as it may have, or has one at the target already.
func (b *Balancer) freeHomeNumber(s *service, object uint64, to *target) int {
	if slices.Contains(b.homeTargets(s, b.options.Region, object), to) {
		return 0
	}
	for number := 1; number < maxHomesPerObject; number++ {
		if b.tableHome(s, b.options.Region, object, number) == nil {
			return number
		}
	}
	return 0
}

// dropIdleExtraHomes takes their further homes from objects of which all homes are
// idle. The table is written with the next move.
func (b *Balancer) dropIdleExtraHomes(s *service, table *steering.HomeTable) {
	for object := range s.demand.counts() {
		homes := b.homeTargets(s, b.options.Region, object)
		busy := func(t *target) bool { return t.utilization >= busyUtilization/2 }
		if len(homes) < 2 || slices.ContainsFunc(homes, busy) {
			continue
		}
		for number := 1; number < maxHomesPerObject; number++ {
			delete(table.Objects, homeTableKey(s.name, object, number))
		}
	}
}

// hottestObject returns the object that keeps most of a target's slots busy, and its
// part.
func hottestObject(from *target, objects map[uint64]objectRequests) (uint64, float64) {
	total, most := 0.0, 0.0
	var best uint64
	for object, n := range objects {
		total += n.requests
		if n.requests > most || n.requests == most && object < best {
			best, most = object, n.requests
		}
	}
	if total == 0 {
		return 0, 0
	}
	return best, from.utilization * most / total
}

// bestMove returns the object whose move makes the higher one of two levels
// lowest, and the object's part of the level; 0 when no move gains enough.
func bestMove(from, to *target, objects map[uint64]objectRequests) (uint64, float64) {
	total := 0.0
	for _, n := range objects {
		total += n.requests
	}
	var best uint64
	bestPart, lowest := 0.0, from.utilization-minUtilizationGain
	for object, n := range objects {
		if n.multipleHomes {
			continue
		}
		part := from.utilization * n.requests / total
		after := to.utilization + part*float64(from.record.Slots)/float64(to.record.Slots)
		if after > maxMoveUtilization {
			continue
		}
		if high := max(from.utilization-part, after); high < lowest || high == lowest && object < best {
			best, bestPart, lowest = object, part, high
		}
	}
	return best, bestPart
}

// pruneHomeTable drops the entries of targets that have gone, and bounds the table.
func (b *Balancer) pruneHomeTable(table *steering.HomeTable) {
	known := map[uint32]bool{}
	for _, t := range b.targets {
		known[shortHash(t.hash)] = true
	}
	maps.DeleteFunc(table.Objects, func(_, target uint32) bool { return !known[target] })
	for _, object := range slices.Sorted(maps.Keys(table.Objects)) {
		if len(table.Objects) <= maxHomeTableEntries {
			break
		}
		delete(table.Objects, object)
	}
}
