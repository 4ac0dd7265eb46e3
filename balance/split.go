package balance

import "math"

// slotsChangedAbruptly reports whether the slots of a region have changed much.
func slotsChangedAbruptly(before, now map[string]float64) bool {
	for region, n := range now {
		if math.Abs(n-before[region]) > abruptSlotsChange*max(n, before[region]) {
			return true
		}
	}
	return false
}

// moveWeights moves parts towards a goal by at most most in total. A region
// without slots loses its part at once.
func moveWeights(part, goal, slots map[string]float64, most float64) {
	distance := 0.0
	for region := range goal {
		distance += max(0, goal[region]-part[region])
	}
	fraction := 1.0
	if distance > most {
		fraction = most / distance
	}
	for region := range goal {
		part[region] += fraction * (goal[region] - part[region])
	}
	for region := range part {
		if slots[region] == 0 {
			part[region] = 0
		}
	}
}

// goalWeights returns the parts of a region's load that each region should take. All
// regions compute the same level, so the parts fit together: a region keeps
// what its slots hold at that level, and gives the rest to those with room, in
// proportion to it.
func goalWeights(own string, load, slots map[string]float64) map[string]float64 {
	totalLoad, totalSlots := 0.0, 0.0
	for region, n := range slots {
		totalSlots += n
		totalLoad += load[region]
	}
	part := map[string]float64{}
	for region := range slots {
		part[region] = 0
	}
	if totalSlots == 0 || load[own] <= 0 {
		part[own] = 1
		return part
	}
	level := max(localUtilization, totalLoad/totalSlots)
	keep := min(1, slots[own]*level/load[own])
	part[own] = keep
	room := 0.0
	for region, n := range slots {
		if region != own {
			room += max(0, n*level-load[region])
		}
	}
	if room <= 0 {
		part[own] = 1
		return part
	}
	for region, n := range slots {
		if region != own {
			part[region] = (1 - keep) * max(0, n*level-load[region]) / room
		}
	}
	return part
}
