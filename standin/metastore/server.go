package metastore

import (
	"context"
	"encoding/json"
	"net"
	"slices"
	"strconv"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/app/server"
	"github.com/cloudwego/hertz/pkg/network/standard"
)

const (
	maxPageItems = 500
	// maxPageBytes is the size of values after which a page ends.
	maxPageBytes = 1 << 20
	maxWatchWait = 30 * time.Second
	// hangDuration is how long a call is held open under the Silent fault before
	// its connection is closed.
	hangDuration = 20 * time.Second
)

// NewServer returns an HTTP server that serves the store on a listener.
func NewServer(store *Store, listener net.Listener) *server.Hertz {
	httpServer := server.New(server.WithListener(listener), server.WithTransport(standard.NewTransporter),
		server.WithExitWaitTime(0), server.WithDisablePrintRoute(true))
	httpServer.GET("/-/kv-key", store.withFaults(readCall, store.handleGet))
	httpServer.GET("/-/kv-range", store.withFaults(readCall, store.handleRange))
	httpServer.GET("/-/kv-watch", store.withFaults(watchCall, store.handleWatch))
	httpServer.POST("/-/kv-txn", store.withFaults(writeCall, store.handleTransaction))
	httpServer.POST("/-/kv-lease", store.withFaults(writeCall, store.handleGrantLease))
	httpServer.POST("/-/kv-keep/:id", store.withFaults(renewalCall, store.handleRenewLease))
	httpServer.DELETE("/-/kv-lease-end/:id", store.withFaults(writeCall, store.handleRevokeLease))
	return httpServer
}

type callKind int

const (
	readCall callKind = iota
	watchCall
	writeCall
	renewalCall
)

// allowCall counts a call and returns whether the rate limit permits it. Lease
// renewals are not rate limited.
func (store *Store) allowCall(kind callKind) bool {
	store.mu.Lock()
	defer store.mu.Unlock()
	store.expireLeases(time.Now())
	ok := true
	switch kind {
	case readCall:
		store.calls.Reads++
		ok = store.readLimiter.Allow()
	case watchCall:
		store.calls.Watches++
		ok = store.readLimiter.Allow()
	case writeCall:
		store.calls.Writes++
		ok = store.writeLimiter.Allow()
	case renewalCall:
		store.calls.Renewals++
	}
	if !ok {
		store.calls.Refused++
	}
	return ok
}

// withFaults wraps a handler with rate limits and fault injection.
func (store *Store) withFaults(kind callKind, next app.HandlerFunc) app.HandlerFunc {
	return func(ctx context.Context, c *app.RequestContext) {
		faults := store.currentFaults()
		clientIP, _, _ := net.SplitHostPort(c.RemoteAddr().String())
		allowed := store.allowCall(kind)
		store.mu.Lock()
		stateEra(c, store.era)
		store.mu.Unlock()
		time.Sleep(faults.Delay)
		switch {
		case faults.Silent:
			time.Sleep(hangDuration)
			_ = c.GetConn().Close()
		case faults.Down || slices.Contains(faults.RefuseClients, clientIP):
			c.SetStatusCode(503)
		case !allowed:
			c.SetStatusCode(429)
		default:
			next(ctx, c)
		}
	}
}

func (store *Store) handleGet(_ context.Context, c *app.RequestContext) {
	store.mu.Lock()
	defer store.mu.Unlock()
	stateEra(c, store.era)
	item, ok := store.items[c.Query("key")]
	if !ok {
		c.SetStatusCode(404)
		return
	}
	c.JSON(200, struct {
		Item
		AtRev uint64 `json:"atRev"`
	}{item, store.revision})
}

func (store *Store) handleRange(_ context.Context, c *app.RequestContext) {
	store.mu.Lock()
	defer store.mu.Unlock()
	stateEra(c, store.era)
	items, size, hasMore := []Item{}, 0, false
	for _, key := range store.keysWithPrefix(c.Query("prefix")) {
		if key <= c.Query("after") {
			continue
		}
		if len(items) == maxPageItems || size >= maxPageBytes {
			hasMore = true
			break
		}
		items = append(items, store.items[key])
		size += len(store.items[key].Value)
	}
	c.JSON(200, map[string]any{"items": items, "hasMore": hasMore, "atRev": store.revision})
}

func (store *Store) handleWatch(_ context.Context, c *app.RequestContext) {
	after, err1 := strconv.ParseUint(c.Query("after"), 10, 64)
	waitMs, err2 := strconv.ParseUint(c.Query("waitMs"), 10, 32)
	if err1 != nil || err2 != nil {
		c.SetStatusCode(400)
		return
	}
	timeout := time.NewTimer(min(maxWatchWait, time.Duration(waitMs)*time.Millisecond))
	defer timeout.Stop()
	for {
		store.mu.Lock()
		store.expireLeases(time.Now())
		stateEra(c, store.era)
		events, ok := store.eventsSince(c.Query("prefix"), after)
		changed, revision, down := store.changeSignal, store.revision, store.faults.Down
		store.mu.Unlock()
		switch {
		case down:
			c.SetStatusCode(503)
			return
		case !ok:
			c.SetStatusCode(410)
			return
		case len(events) > 0:
			c.JSON(200, map[string]any{"events": events, "atRev": revision})
			return
		}
		select {
		case <-changed:
		case <-timeout.C:
			c.JSON(200, map[string]any{"events": []Item{}, "atRev": revision})
			return
		}
	}
}

// transaction is the body of a conditional write.
type transaction struct {
	Expect []struct {
		Key      string `json:"key"`
		Revision uint64 `json:"revision"`
	} `json:"expectRev"`
	Puts []struct {
		Key   string `json:"key"`
		Value []byte `json:"value"`
		Lease uint64 `json:"lease"`
	} `json:"puts"`
	Deletes []string `json:"deletes"`
}

func (store *Store) handleTransaction(_ context.Context, c *app.RequestContext) {
	var txn transaction
	if err := json.Unmarshal(c.Request.Body(), &txn); err != nil {
		c.SetStatusCode(400)
		return
	}
	if delayed, delay := store.takeDelayedWrite(); delayed {
		time.AfterFunc(delay, func() { store.commit(txn) })
		_ = c.GetConn().Close()
		return
	}
	status, body, era := store.commit(txn)
	if store.takeLostResponse() {
		_ = c.GetConn().Close()
		return
	}
	stateEra(c, era)
	c.JSON(status, body)
}

// commit applies a conditional write atomically and returns the status, body and era
// of the response.
func (store *Store) commit(txn transaction) (status int, body any, era uint64) {
	store.mu.Lock()
	defer store.mu.Unlock()
	status, body = store.apply(txn)
	return status, body, store.era
}

// apply is commit for a caller that holds the lock.
func (store *Store) apply(txn transaction) (int, any) {
	store.expireLeases(time.Now())
	var current []Item
	conflict := false
	for _, expected := range txn.Expect {
		current = append(current, store.items[expected.Key])
		conflict = conflict || store.items[expected.Key].Revision != expected.Revision
	}
	if conflict {
		return 412, map[string]any{"items": current}
	}
	for _, put := range txn.Puts {
		if put.Lease != 0 && store.leases[put.Lease] == nil {
			return 404, map[string]any{}
		}
	}
	for _, put := range txn.Puts {
		store.put(put.Key, put.Value, put.Lease)
	}
	for _, key := range txn.Deletes {
		store.remove(key)
	}
	return 200, map[string]any{"revision": store.revision}
}

// takeDelayedWrite returns whether the DelayWrites fault applies to the current
// write, and its delay. It decrements the count of writes to delay.
func (store *Store) takeDelayedWrite() (bool, time.Duration) {
	store.mu.Lock()
	defer store.mu.Unlock()
	if store.faults.DelayWrites == 0 {
		return false, 0
	}
	store.faults.DelayWrites--
	return true, store.faults.WriteDelay
}

// takeLostResponse returns whether the LoseWriteResponses fault applies to the
// current write, and decrements its count.
func (store *Store) takeLostResponse() bool {
	store.mu.Lock()
	defer store.mu.Unlock()
	if store.faults.LoseWriteResponses == 0 {
		return false
	}
	store.faults.LoseWriteResponses--
	return true
}

func (store *Store) handleGrantLease(_ context.Context, c *app.RequestContext) {
	var body struct {
		TTL string `json:"ttl_time"`
	}
	if err := json.Unmarshal(c.Request.Body(), &body); err != nil {
		c.SetStatusCode(400)
		return
	}
	ttl, err := time.ParseDuration(body.TTL)
	if err != nil {
		c.SetStatusCode(400)
		return
	}
	store.mu.Lock()
	defer store.mu.Unlock()
	stateEra(c, store.era)
	store.recordRevision()
	store.revision++
	store.recordLease(store.revision)
	store.leases[store.revision] = &lease{ttl: ttl, expires: time.Now().Add(ttl)}
	c.JSON(200, map[string]any{"lease": store.revision, "ttl_time": body.TTL})
}

func (store *Store) handleRenewLease(_ context.Context, c *app.RequestContext) {
	store.withLease(c, func(id uint64, l *lease) {
		store.recordLease(id)
		l.expires = time.Now().Add(l.ttl)
		c.JSON(200, map[string]any{"ttl_time": strconv.FormatInt(l.ttl.Milliseconds(), 10) + "ms"})
	})
}

func (store *Store) handleRevokeLease(_ context.Context, c *app.RequestContext) {
	store.withLease(c, func(id uint64, _ *lease) {
		store.revokeLease(id)
		c.JSON(200, map[string]any{})
	})
}

// withLease calls do with the lease of the request path while holding the lock.
// It responds with 404 when the lease does not exist.
func (store *Store) withLease(c *app.RequestContext, do func(uint64, *lease)) {
	id, err := strconv.ParseUint(c.Param("id"), 10, 64)
	store.mu.Lock()
	defer store.mu.Unlock()
	stateEra(c, store.era)
	found := store.leases[id]
	if err != nil || found == nil {
		c.SetStatusCode(404)
		return
	}
	do(id, found)
}
