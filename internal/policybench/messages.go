package policybench

// messageSampleRequests is the number of requests that MessagesPerRequest simulates.
const messageSampleRequests = 20_000

// MessagesPerRequest returns the mean number of scheduler messages for a request,
// by kind, at 90% load with even arrivals. It needs at least 6 instances.
func MessagesPerRequest(instances int) map[string]float64 {
	c := Case{Network: Consorzio, Instances: instances, Utilization: 0.9, Requests: messageSampleRequests, Seed: 1, Deadline: steadyDeadline}
	r := c.runScheduler(nil)
	counts := map[string]float64{}
	for kind, n := range r.Messages {
		counts[kind] = float64(n) / messageSampleRequests
	}
	return counts
}
