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
	// utilizationTimeConstant is the time over which utilization is averaged.
	// It is longer than a request and shorter than a burst.
	utilizationTimeConstant = 2 * time.Second
	// maxSampledUtilization limits the effect of a queue on the average.
	maxSampledUtilization = 2.0
	// busyUtilization is the utilization above which requests begin to wait.
	// Targets below it keep their objects.
	busyUtilization = 0.5
	// maxMoveUtilization is the highest utilization of the destination after a
	// move. Above it requests would wait there as well.
	maxMoveUtilization = 1.2
	// minUtilizationGap is the smallest difference in utilization that
	// justifies a move. Each move costs an execution at a target that is cold
	// for the object.
	minUtilizationGap = 0.3
	// minUtilizationGain is how much the maximum utilization of the two
	// targets must drop through a move.
	minUtilizationGain = 0.1
	// hotObjectUtilization is the utilization caused by one object above which
	// it gets an additional home target. Such an object fills any single home
	// target.
	hotObjectUtilization = 0.5
	// moveCooldown is how long a target is excluded from rebalancing after a
	// move, until its utilization reflects the change.
	moveCooldown = 3 * time.Second
	// maxMoveShare is the share of a service's targets in a region that may
	// give away an object in one run.
	maxMoveShare = 0.5
	// maxHomeTableEntries limits the size of a region's home table. A record
	// of the store has room for several times as many entries.
	maxHomeTableEntries = 8192
)

// HomeMove is the decision to move an object to another home target or to add
// a home target, with the utilizations that led to it.
type HomeMove struct {
	Service           string
	From, To          string  // Target IDs.
	FromUtilization   float64 // Average of requests in flight divided by slots.
	ToUtilization     float64
	ObjectUtilization float64 // Share of FromUtilization caused by the object.
	AddsHome          bool    // The object also keeps its other home targets.
}

// updateUtilization updates the average utilization of all targets. It is
// called once per weightInterval.
func (balancer *Balancer) updateUtilization(now time.Time) {
	weight := weightInterval.Seconds() / utilizationTimeConstant.Seconds()
	for _, t := range balancer.targets {
		utilization := min(maxSampledUtilization, float64(balancer.load(now, t))/balancer.capacity(now, t))
		t.utilization += weight * (utilization - t.utilization)
	}
}

// Rebalance returns a home table for this instance's region in which objects
// have moved from busy to idle targets. Without moves the table needs no
// update.
//
// One instance of each region decides, so that all instances use the same
// table. It needs only the load of the targets, which instances report to each
// other, and its own requests as a sample of the objects.
func (balancer *Balancer) Rebalance(now time.Time) (*steering.HomeTable, []HomeMove) {
	balancer.mu.Lock()
	defer balancer.mu.Unlock()
	table := &steering.HomeTable{Objects: map[uint32]uint32{}}
	if old := balancer.state.HomeTables[balancer.options.Region]; old != nil {
		table.Revision, table.Era, table.Objects = old.Revision, old.Era, maps.Clone(old.Objects)
	}
	var moves []HomeMove
	for _, name := range slices.Sorted(maps.Keys(balancer.services)) {
		moves = append(moves, balancer.rebalanceService(now, balancer.services[name], table)...)
	}
	if len(moves) > 0 {
		balancer.pruneHomeTable(table)
	}
	return table, moves
}

// rebalanceService moves objects of one service.
func (balancer *Balancer) rebalanceService(now time.Time, svc *service, table *steering.HomeTable) []HomeMove {
	candidates := balancer.rebalanceCandidates(now, svc)
	if len(candidates) < 2 {
		return nil
	}
	objects := balancer.objectsByHome(svc)
	balancer.dropIdleExtraHomes(svc, table)
	var moves []HomeMove
	for range int(math.Ceil(maxMoveShare * float64(len(candidates)))) {
		if len(candidates) < 2 {
			break
		}
		slices.SortFunc(candidates, func(a, c *target) int {
			return cmp.Or(cmp.Compare(a.utilization, c.utilization), cmp.Compare(a.hash, c.hash))
		})
		to, from := candidates[0], candidates[len(candidates)-1]
		if from.utilization < busyUtilization || from.utilization-to.utilization < minUtilizationGap {
			break
		}
		candidates = candidates[:len(candidates)-1]
		move := HomeMove{Service: svc.name, From: from.record.ID, To: to.record.ID, FromUtilization: from.utilization, ToUtilization: to.utilization}
		object, number := uint64(0), 0
		if object, move.ObjectUtilization = balancer.bestMove(now, from, to, objects[from]); move.ObjectUtilization == 0 {
			object, move.ObjectUtilization = hottestObject(from, objects[from])
			number = balancer.freeHomeNumber(svc, object, to)
			if move.ObjectUtilization < hotObjectUtilization || number == 0 {
				continue
			}
			move.AddsHome = true
		}
		table.Objects[homeTableKey(svc.name, object, number)] = shortHash(to.hash)
		moves = append(moves, move)
		from.rebalanceAfter, to.rebalanceAfter = now.Add(moveCooldown), now.Add(moveCooldown)
		candidates = candidates[1:]
	}
	return moves
}

// rebalanceCandidates returns the targets of the local region whose
// utilization reflects the cost of their objects. That of a limited target
// reflects its limit.
func (balancer *Balancer) rebalanceCandidates(now time.Time, svc *service) []*target {
	var candidates []*target
	for _, t := range svc.targetsByRegion[balancer.options.Region] {
		if now.Before(t.rebalanceAfter) || now.Before(t.coldUntil) || now.Before(t.avoidUntil) || t.down || t.limit.Active || balancer.pauseWait(now, t) > 0 {
			continue
		}
		candidates = append(candidates, t)
	}
	return candidates
}

// objectRequests counts the requests for an object at one of its home targets.
type objectRequests struct {
	requests      float64
	multipleHomes bool // Objects with several home targets are not moved.
}

// objectsByHome returns the requests per object, grouped by home target.
func (balancer *Balancer) objectsByHome(svc *service) map[*target]map[uint64]objectRequests {
	byHome := map[*target]map[uint64]objectRequests{}
	for object, n := range svc.demand.counts() {
		homes := balancer.homeTargets(svc, balancer.options.Region, object)
		for _, home := range homes {
			if byHome[home] == nil {
				byHome[home] = map[uint64]objectRequests{}
			}
			byHome[home][object] = objectRequests{float64(n) / float64(len(homes)), len(homes) > 1}
		}
	}
	return byHome
}

// freeHomeNumber returns the number for an additional home target of an
// object; 0 if the object has maxHomesPerObject home targets or the target is
// one of them already.
func (balancer *Balancer) freeHomeNumber(svc *service, objectHash uint64, to *target) int {
	if slices.Contains(balancer.homeTargets(svc, balancer.options.Region, objectHash), to) {
		return 0
	}
	for number := 1; number < maxHomesPerObject; number++ {
		if balancer.tableHome(svc, balancer.options.Region, objectHash, number) == nil {
			return number
		}
	}
	return 0
}

// dropIdleExtraHomes removes the additional home targets of objects whose home
// targets are all idle. The table is written with the next move.
func (balancer *Balancer) dropIdleExtraHomes(svc *service, table *steering.HomeTable) {
	for object := range svc.demand.counts() {
		homes := balancer.homeTargets(svc, balancer.options.Region, object)
		busy := func(t *target) bool { return t.utilization >= busyUtilization/2 }
		if len(homes) < 2 || slices.ContainsFunc(homes, busy) {
			continue
		}
		for number := 1; number < maxHomesPerObject; number++ {
			delete(table.Objects, homeTableKey(svc.name, object, number))
		}
	}
}

// hottestObject returns the object that causes the largest share of a target's
// utilization, and that share.
func hottestObject(from *target, objects map[uint64]objectRequests) (uint64, float64) {
	total, maxRequests := 0.0, 0.0
	var best uint64
	for object, load := range objects {
		total += load.requests
		if load.requests > maxRequests || load.requests == maxRequests && object < best {
			best, maxRequests = object, load.requests
		}
	}
	if total == 0 {
		return 0, 0
	}
	return best, from.utilization * maxRequests / total
}

// bestMove returns the object whose move minimizes the higher utilization of
// the two targets, and the utilization it causes; 0 if no move gains enough.
func (balancer *Balancer) bestMove(now time.Time, from, to *target, objects map[uint64]objectRequests) (uint64, float64) {
	total := 0.0
	for _, load := range objects {
		total += load.requests
	}
	var best uint64
	bestUtilization, lowest := 0.0, from.utilization-minUtilizationGain
	relativeCapacity := balancer.usableSlots(now, from.record) / balancer.usableSlots(now, to.record)
	for object, load := range objects {
		if load.multipleHomes {
			continue
		}
		utilization := from.utilization * load.requests / total
		toUtilization := to.utilization + utilization*relativeCapacity
		if toUtilization > maxMoveUtilization {
			continue
		}
		if higher := max(from.utilization-utilization, toUtilization); higher < lowest || higher == lowest && object < best {
			best, bestUtilization, lowest = object, utilization, higher
		}
	}
	return best, bestUtilization
}

// pruneHomeTable removes entries of targets that no longer exist and limits
// the size of the table.
func (balancer *Balancer) pruneHomeTable(table *steering.HomeTable) {
	known := map[uint32]bool{}
	for _, t := range balancer.targets {
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
