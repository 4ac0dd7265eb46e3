package balance

import "math"

// slotsChangedAbruptly reports whether the slots of any region have changed by
// more than abruptSlotsChange.
func slotsChangedAbruptly(before, after map[string]float64) bool {
	for region, n := range after {
		if math.Abs(n-before[region]) > abruptSlotsChange*max(n, before[region]) {
			return true
		}
	}
	return false
}

// moveWeights moves weights towards a goal by at most maxShift in total. The
// weight of a region without slots becomes zero at once.
func moveWeights(weights, goal, slots map[string]float64, maxShift float64) {
	distance := 0.0
	for region := range goal {
		distance += max(0, goal[region]-weights[region])
	}
	fraction := 1.0
	if distance > maxShift {
		fraction = maxShift / distance
	}
	for region := range goal {
		weights[region] += fraction * (goal[region] - weights[region])
	}
	for region := range weights {
		if slots[region] == 0 {
			weights[region] = 0
		}
	}
}

// goalWeights returns the share of a region's load that each region should
// take. All regions compute the same utilization, so their weights are
// consistent: a region keeps the load that its slots hold at that utilization
// and distributes the rest in proportion to the free capacity of other
// regions.
func goalWeights(ownRegion string, load, slots map[string]float64) map[string]float64 {
	totalLoad, totalSlots := 0.0, 0.0
	for region, n := range slots {
		totalSlots += n
		totalLoad += load[region]
	}
	weights := map[string]float64{}
	for region := range slots {
		weights[region] = 0
	}
	if totalSlots == 0 || load[ownRegion] <= 0 {
		weights[ownRegion] = 1
		return weights
	}
	utilization := max(localUtilization, totalLoad/totalSlots)
	ownWeight := min(1, slots[ownRegion]*utilization/load[ownRegion])
	weights[ownRegion] = ownWeight
	freeCapacity := 0.0
	for region, n := range slots {
		if region != ownRegion {
			freeCapacity += max(0, n*utilization-load[region])
		}
	}
	if freeCapacity <= 0 {
		weights[ownRegion] = 1
		return weights
	}
	for region, n := range slots {
		if region != ownRegion {
			weights[region] = (1 - ownWeight) * max(0, n*utilization-load[region]) / freeCapacity
		}
	}
	return weights
}
