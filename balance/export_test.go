package balance

// RetainedStatements returns the number of incarnations whose statements are known.
func (balancer *Balancer) RetainedStatements() int {
	balancer.mu.Lock()
	defer balancer.mu.Unlock()
	return len(balancer.availabilities)
}
