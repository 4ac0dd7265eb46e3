package mirror

import "time"

const (
	// storeCallShare is the time for each instance of the deployment that
	// passes between two calls of one follower whose fetches fail. When the
	// fetches of all instances fail, they make about 50 calls a second
	// together, or 200 with 8,000 instances.
	storeCallShare = 20 * time.Millisecond
	// Bounds of the time between two calls of one follower whose fetches fail.
	minStoreCallInterval = 3 * time.Second
	maxStoreCallInterval = 40 * time.Second
)

// storeFallback decides when an instance that follows peers calls the store
// itself, because its fetches keep failing.
type storeFallback struct {
	next time.Time // When the store is called next; zero while fetches don't fail.
}

// fetchFailed records a failed fetch and reports whether to call the store now.
// random is a number from 0 to 1 that spreads the calls of instances whose
// fetches begin to fail together.
func (fallback *storeFallback) fetchFailed(now time.Time, instances int, random float64) bool {
	due := !fallback.next.IsZero() && !now.Before(fallback.next)
	if due || fallback.next.IsZero() {
		interval := min(max(minStoreCallInterval, time.Duration(instances)*storeCallShare), maxStoreCallInterval)
		fallback.next = now.Add(interval + time.Duration(random*float64(interval)))
	}
	return due
}

// clear records that the instance isn't behind its peers.
func (fallback *storeFallback) clear() { fallback.next = time.Time{} }
