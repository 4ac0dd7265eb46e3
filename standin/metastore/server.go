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
	maxWatchWait = 30 * time.Second
	// hangDuration is how long a call without an answer is held.
	hangDuration = 20 * time.Second
)

// NewServer returns a server for a listener.
func NewServer(s *Store, l net.Listener) *server.Hertz {
	h := server.New(server.WithListener(l), server.WithTransport(standard.NewTransporter),
		server.WithExitWaitTime(0), server.WithDisablePrintRoute(true))
	h.GET("/-/kv-key", s.withFaults(readCall, s.handleGet))
	h.GET("/-/kv-range", s.withFaults(readCall, s.handleRange))
	h.GET("/-/kv-watch", s.withFaults(watchCall, s.handleWatch))
	h.POST("/-/kv-txn", s.withFaults(writeCall, s.handleTransaction))
	h.POST("/-/kv-lease", s.withFaults(writeCall, s.handleGrantLease))
	h.POST("/-/kv-keep/:id", s.withFaults(renewalCall, s.handleRenewLease))
	h.DELETE("/-/kv-lease-end/:id", s.withFaults(writeCall, s.handleRevokeLease))
	return h
}

type callKind int

const (
	readCall callKind = iota
	watchCall
	writeCall
	renewalCall
)

// allowCall counts a call and checks its rate.
func (s *Store) allowCall(kind callKind) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expireLeases(time.Now())
	ok := true
	switch kind {
	case readCall:
		s.calls.Reads++
		ok = s.readLimiter.Allow()
	case watchCall:
		s.calls.Watches++
		ok = s.readLimiter.Allow()
	case writeCall:
		s.calls.Writes++
		ok = s.writeLimiter.Allow()
	case renewalCall:
		s.calls.Renewals++
	}
	if !ok {
		s.calls.Refused++
	}
	return ok
}

// withFaults applies rates and faults to a call.
func (s *Store) withFaults(kind callKind, next app.HandlerFunc) app.HandlerFunc {
	return func(ctx context.Context, c *app.RequestContext) {
		f := s.currentFaults()
		from, _, _ := net.SplitHostPort(c.RemoteAddr().String())
		allowed := s.allowCall(kind)
		time.Sleep(f.Delay)
		switch {
		case f.Silent:
			time.Sleep(hangDuration)
			_ = c.GetConn().Close()
		case f.Down || slices.Contains(f.RefuseClients, from):
			c.SetStatusCode(503)
		case !allowed:
			c.SetStatusCode(429)
		default:
			next(ctx, c)
		}
	}
}

func (s *Store) handleGet(_ context.Context, c *app.RequestContext) {
	s.mu.Lock()
	defer s.mu.Unlock()
	item, ok := s.items[c.Query("key")]
	if !ok {
		c.SetStatusCode(404)
		return
	}
	c.JSON(200, struct {
		Item
		AtRev uint64 `json:"atRev"`
	}{item, s.revision})
}

func (s *Store) handleRange(_ context.Context, c *app.RequestContext) {
	s.mu.Lock()
	defer s.mu.Unlock()
	items, more := []Item{}, false
	for _, key := range s.keysWithPrefix(c.Query("prefix")) {
		if key <= c.Query("after") {
			continue
		}
		if len(items) == maxPageItems {
			more = true
			break
		}
		items = append(items, s.items[key])
	}
	c.JSON(200, map[string]any{"items": items, "hasMore": more, "atRev": s.revision})
}

func (s *Store) handleWatch(_ context.Context, c *app.RequestContext) {
	after, err1 := strconv.ParseUint(c.Query("after"), 10, 64)
	waitMs, err2 := strconv.ParseUint(c.Query("waitMs"), 10, 32)
	if err1 != nil || err2 != nil {
		c.SetStatusCode(400)
		return
	}
	end := time.NewTimer(min(maxWatchWait, time.Duration(waitMs)*time.Millisecond))
	defer end.Stop()
	for {
		s.mu.Lock()
		s.expireLeases(time.Now())
		events, ok := s.eventsSince(c.Query("prefix"), after)
		changed, revision, down := s.changeSignal, s.revision, s.faults.Down
		s.mu.Unlock()
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
		case <-end.C:
			c.JSON(200, map[string]any{"events": []Item{}, "atRev": revision})
			return
		}
	}
}

// transaction is a conditional write.
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

func (s *Store) handleTransaction(_ context.Context, c *app.RequestContext) {
	var t transaction
	if err := json.Unmarshal(c.Request.Body(), &t); err != nil {
		c.SetStatusCode(400)
		return
	}
	if late, by := s.takeDelayedWrite(); late {
		time.AfterFunc(by, func() { s.commit(t) })
		_ = c.GetConn().Close()
		return
	}
	status, body := s.commit(t)
	if s.takeLostResponse() {
		_ = c.GetConn().Close()
		return
	}
	c.JSON(status, body)
}

// commit carries out a conditional write, wholly or not at all.
func (s *Store) commit(t transaction) (int, any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expireLeases(time.Now())
	var current []Item
	conflict := false
	for _, e := range t.Expect {
		current = append(current, s.items[e.Key])
		conflict = conflict || s.items[e.Key].Revision != e.Revision
	}
	if conflict {
		return 412, map[string]any{"items": current}
	}
	for _, p := range t.Puts {
		if p.Lease != 0 && s.leases[p.Lease] == nil {
			return 404, map[string]any{}
		}
	}
	for _, p := range t.Puts {
		s.put(p.Key, p.Value, p.Lease)
	}
	for _, key := range t.Deletes {
		s.remove(key)
	}
	return 200, map[string]any{"revision": s.revision}
}

func (s *Store) takeDelayedWrite() (bool, time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faults.DelayWrites == 0 {
		return false, 0
	}
	s.faults.DelayWrites--
	return true, s.faults.WriteDelay
}

func (s *Store) takeLostResponse() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faults.LoseWriteResponses == 0 {
		return false
	}
	s.faults.LoseWriteResponses--
	return true
}

func (s *Store) handleGrantLease(_ context.Context, c *app.RequestContext) {
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
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.leases[s.revision] = &lease{ttl: ttl, expires: time.Now().Add(ttl)}
	c.JSON(200, map[string]any{"lease": s.revision, "ttl_time": body.TTL})
}

func (s *Store) handleRenewLease(_ context.Context, c *app.RequestContext) {
	s.withLease(c, func(_ uint64, l *lease) {
		l.expires = time.Now().Add(l.ttl)
		c.JSON(200, map[string]any{"ttl_time": strconv.FormatInt(l.ttl.Milliseconds(), 10) + "ms"})
	})
}

func (s *Store) handleRevokeLease(_ context.Context, c *app.RequestContext) {
	s.withLease(c, func(id uint64, _ *lease) {
		s.revokeLease(id)
		c.JSON(200, map[string]any{})
	})
}

func (s *Store) withLease(c *app.RequestContext, do func(uint64, *lease)) {
	id, err := strconv.ParseUint(c.Param("id"), 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.leases[id]
	if err != nil || l == nil {
		c.SetStatusCode(404)
		return
	}
	do(id, l)
}
