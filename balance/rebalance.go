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
	// levelMemory is the time over which a target's load is averaged. It is
	// longer than a request and shorter than a burst.
	levelMemory = 2 * time.Second
	// mostLevel bounds what a queue adds to an average.
	mostLevel = 2.0
	// busyLevel is the part of a target's slots from which on requests begin to
	// wait. Targets below keep their objects.
	busyLevel = 0.5
	// fullLevel is the highest level that a move may lead to. Above it requests
	// wait there as well.
	fullLevel = 1.2
	// leastGap is the difference of two targets' levels that is worth a move.
	// Each move costs a run at a target that does not know the object.
	leastGap = 0.3
	// leastGain is how much lower the higher of two levels must be after a move.
	leastGain = 0.1
	// hotPart is the part of a target's slots that one object must keep busy to
	// get another home. It fills its home alone, wherever that is.
	hotPart = 0.5
	// moveRest is how long a target keeps its objects after a move, until its
	// load shows what the move has changed.
	moveRest = 3 * time.Second
	// movePart is the part of a service's targets in a region that may give
	// away an object at one time.
	movePart = 0.5
	// maxHomes bounds a region's table of homes. A record of the store holds
	// several times as many.
	maxHomes = 8192
)

// HomeMove is the decision to give an object another home, or one more, with the
// levels that led to it.
type HomeMove struct {
	Service   string
	From, To  string  // IDs of targets.
	FromLevel float64 // Requests in flight by slots, averaged.
	ToLevel   float64
	Object    float64 // The object's part of FromLevel.
	More      bool    // The object keeps its other homes.
}

// measureLevels averages the loads of all targets. It is called every weightStep.
func (b *Balancer) measureLevels(now time.Time) {
	weight := weightStep.Seconds() / levelMemory.Seconds()
	for _, t := range b.targets {
		level := min(mostLevel, float64(b.load(now, t))/float64(t.record.Slots))
		t.level += weight * (level - t.level)
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
	if old := b.world.Homes[b.options.Region]; old != nil {
		table.Revision, table.Objects = old.Revision, maps.Clone(old.Objects)
	}
	var moves []HomeMove
	for _, name := range slices.Sorted(maps.Keys(b.services)) {
		moves = append(moves, b.rebalance(now, b.services[name], table)...)
	}
	if len(moves) > 0 {
		b.prune(table)
	}
	return table, moves
}

// rebalance moves objects of one service.
func (b *Balancer) rebalance(now time.Time, s *service, table *steering.HomeTable) []HomeMove {
	list := b.movable(now, s)
	if len(list) < 2 {
		return nil
	}
	objects := b.objectsByHome(s)
	b.dropIdleHomes(s, table)
	var moves []HomeMove
	for range int(math.Ceil(movePart * float64(len(list)))) {
		if len(list) < 2 {
			break
		}
		slices.SortFunc(list, func(a, c *target) int { return cmp.Or(cmp.Compare(a.level, c.level), cmp.Compare(a.hash, c.hash)) })
		to, from := list[0], list[len(list)-1]
		if from.level < busyLevel || from.level-to.level < leastGap {
			break
		}
		list = list[:len(list)-1]
		move := HomeMove{Service: s.name, From: from.record.ID, To: to.record.ID, FromLevel: from.level, ToLevel: to.level}
		object, number := uint64(0), 0
		if object, move.Object = bestMove(from, to, objects[from]); move.Object == 0 {
			object, move.Object = hottest(from, objects[from])
			number = b.nextNumber(s, object, to)
			if move.Object < hotPart || number == 0 {
				continue
			}
			move.More = true
		}
		table.Objects[homeKey(s.name, object, number)] = short(to.hash)
		moves = append(moves, move)
		from.rest, to.rest = now.Add(moveRest), now.Add(moveRest)
		list = list[1:]
	}
	return moves
}

// movable returns the targets of the own region whose load tells what their
// objects cost.
func (b *Balancer) movable(now time.Time, s *service) []*target {
	var list []*target
	for _, t := range s.targets[b.options.Region] {
		if now.Before(t.rest) || now.Before(t.cold) || now.Before(t.avoid) || t.down {
			continue
		}
		list = append(list, t)
	}
	return list
}

// sample is what is known of the requests for an object at one of its homes.
type sample struct {
	requests float64
	several  bool // The object has several homes, so none of them moves.
}

// objectsByHome returns the requests for each object, by the object's homes.
func (b *Balancer) objectsByHome(s *service) map[*target]map[uint64]sample {
	byHome := map[*target]map[uint64]sample{}
	for object, n := range s.demand.counts() {
		homes := b.homesOf(s, b.options.Region, object)
		for _, home := range homes {
			if byHome[home] == nil {
				byHome[home] = map[uint64]sample{}
			}
			byHome[home][object] = sample{float64(n) / float64(len(homes)), len(homes) > 1}
		}
	}
	return byHome
}

// nextNumber returns the number of a further home for an object; 0 when it has
// as many as it may have, or has one at the target already.
func (b *Balancer) nextNumber(s *service, object uint64, to *target) int {
	if slices.Contains(b.homesOf(s, b.options.Region, object), to) {
		return 0
	}
	for number := 1; number < maxHomesOfObject; number++ {
		if b.movedTo(s, b.options.Region, object, number) == nil {
			return number
		}
	}
	return 0
}

// dropIdleHomes takes their further homes from objects of which all homes are
// idle. The table is written with the next move.
func (b *Balancer) dropIdleHomes(s *service, table *steering.HomeTable) {
	for object := range s.demand.counts() {
		homes := b.homesOf(s, b.options.Region, object)
		busy := func(t *target) bool { return t.level >= busyLevel/2 }
		if len(homes) < 2 || slices.ContainsFunc(homes, busy) {
			continue
		}
		for number := 1; number < maxHomesOfObject; number++ {
			delete(table.Objects, homeKey(s.name, object, number))
		}
	}
}

// hottest returns the object that keeps most of a target's slots busy, and its
// part.
func hottest(from *target, objects map[uint64]sample) (uint64, float64) {
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
	return best, from.level * most / total
}

// bestMove returns the object whose move makes the higher one of two levels
// lowest, and the object's part of the level; 0 when no move gains enough.
func bestMove(from, to *target, objects map[uint64]sample) (uint64, float64) {
	total := 0.0
	for _, n := range objects {
		total += n.requests
	}
	var best uint64
	bestPart, lowest := 0.0, from.level-leastGain
	for object, n := range objects {
		if n.several {
			continue
		}
		part := from.level * n.requests / total
		after := to.level + part*float64(from.record.Slots)/float64(to.record.Slots)
		if after > fullLevel {
			continue
		}
		if high := max(from.level-part, after); high < lowest || high == lowest && object < best {
			best, bestPart, lowest = object, part, high
		}
	}
	return best, bestPart
}

// prune drops the entries of targets that have gone, and bounds the table.
func (b *Balancer) prune(table *steering.HomeTable) {
	known := map[uint32]bool{}
	for _, t := range b.targets {
		known[short(t.hash)] = true
	}
	maps.DeleteFunc(table.Objects, func(_, target uint32) bool { return !known[target] })
	for _, object := range slices.Sorted(maps.Keys(table.Objects)) {
		if len(table.Objects) <= maxHomes {
			break
		}
		delete(table.Objects, object)
	}
}
