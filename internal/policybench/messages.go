package policybench

// messageSampleRequests is the number of requests over which messages are counted.
const messageSampleRequests = 20_000

// MessagesPerRequest returns the scheduler messages of each kind for one
// request, at 90% load with even arrivals over a number of instances from 6.
func MessagesPerRequest(instances int) map[string]float64 {
	c := Case{Network: Consorzio, Instances: instances, Utilization: 0.9, Requests: messageSampleRequests, Seed: 1, Deadline: steadyDeadline}
	r := c.runScheduler(nil)
	counts := map[string]float64{}
	for kind, n := range r.Messages {
		counts[kind] = float64(n) / messageSampleRequests
	}
	return counts
}
