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
	pageItems = 500
	maxWatch  = 30 * time.Second
	// silence is how long a call without an answer is held.
	silence = 20 * time.Second
)

// NewServer returns a server for a listener.
func NewServer(s *Store, l net.Listener) *server.Hertz {
	h := server.New(server.WithListener(l), server.WithTransport(standard.NewTransporter),
		server.WithExitWaitTime(0), server.WithDisablePrintRoute(true))
	h.GET("/-/kv-key", s.guarded(countRead, s.handleKey))
	h.GET("/-/kv-range", s.guarded(countRead, s.handleRange))
	h.GET("/-/kv-watch", s.guarded(countWatch, s.handleWatch))
	h.POST("/-/kv-txn", s.guarded(countWrite, s.handleTxn))
	h.POST("/-/kv-lease", s.guarded(countWrite, s.handleLease))
	h.POST("/-/kv-keep/:id", s.guarded(countRenewal, s.handleKeep))
	h.DELETE("/-/kv-lease-end/:id", s.guarded(countWrite, s.handleEnd))
	return h
}

type count int

const (
	countRead count = iota
	countWatch
	countWrite
	countRenewal
)

// admit counts a call and checks its rate.
func (s *Store) admit(kind count) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire(time.Now())
	ok := true
	switch kind {
	case countRead:
		s.calls.Reads++
		ok = s.reads.Allow()
	case countWatch:
		s.calls.Watches++
		ok = s.reads.Allow()
	case countWrite:
		s.calls.Writes++
		ok = s.writes.Allow()
	case countRenewal:
		s.calls.Renewals++
	}
	if !ok {
		s.calls.Refused++
	}
	return ok
}

// guarded applies rates and faults to a call.
func (s *Store) guarded(kind count, next app.HandlerFunc) app.HandlerFunc {
	return func(ctx context.Context, c *app.RequestContext) {
		f := s.currentFaults()
		from, _, _ := net.SplitHostPort(c.RemoteAddr().String())
		allowed := s.admit(kind)
		time.Sleep(f.Delay)
		switch {
		case f.Silent:
			time.Sleep(silence)
			_ = c.GetConn().Close()
		case f.Down || slices.Contains(f.Refuse, from):
			c.SetStatusCode(503)
		case !allowed:
			c.SetStatusCode(429)
		default:
			next(ctx, c)
		}
	}
}

func (s *Store) handleKey(_ context.Context, c *app.RequestContext) {
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
	for _, key := range s.keys(c.Query("prefix")) {
		if key <= c.Query("after") {
			continue
		}
		if len(items) == pageItems {
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
	end := time.NewTimer(min(maxWatch, time.Duration(waitMs)*time.Millisecond))
	defer end.Stop()
	for {
		s.mu.Lock()
		s.expire(time.Now())
		events, ok := s.since(c.Query("prefix"), after)
		changed, revision, down := s.changed, s.revision, s.faults.Down
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

func (s *Store) handleTxn(_ context.Context, c *app.RequestContext) {
	var t transaction
	if err := json.Unmarshal(c.Request.Body(), &t); err != nil {
		c.SetStatusCode(400)
		return
	}
	if late, by := s.late(); late {
		time.AfterFunc(by, func() { s.commit(t) })
		_ = c.GetConn().Close()
		return
	}
	status, body := s.commit(t)
	if s.lose() {
		_ = c.GetConn().Close()
		return
	}
	c.JSON(status, body)
}

// commit carries out a conditional write, wholly or not at all.
func (s *Store) commit(t transaction) (int, any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire(time.Now())
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

func (s *Store) late() (bool, time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faults.LateWrites == 0 {
		return false, 0
	}
	s.faults.LateWrites--
	return true, s.faults.LateBy
}

func (s *Store) lose() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faults.LoseWrites == 0 {
		return false
	}
	s.faults.LoseWrites--
	return true
}

func (s *Store) handleLease(_ context.Context, c *app.RequestContext) {
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
	s.leases[s.revision] = &lease{ttl: ttl, end: time.Now().Add(ttl)}
	c.JSON(200, map[string]any{"lease": s.revision, "ttl_time": body.TTL})
}

func (s *Store) handleKeep(_ context.Context, c *app.RequestContext) {
	s.withLease(c, func(_ uint64, l *lease) {
		l.end = time.Now().Add(l.ttl)
		c.JSON(200, map[string]any{"ttl_time": strconv.FormatInt(l.ttl.Milliseconds(), 10) + "ms"})
	})
}

func (s *Store) handleEnd(_ context.Context, c *app.RequestContext) {
	s.withLease(c, func(id uint64, _ *lease) {
		s.endLease(id)
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
