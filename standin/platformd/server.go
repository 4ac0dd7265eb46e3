package platformd

import (
	"context"
	"errors"
	"strconv"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/app/server"

	"github.com/jacinthstall/jacinthstall/kv"
)

// maxWatchWait bounds one waiting watch.
const maxWatchWait = 60 * time.Second

// Register adds the platform's routes to a server.
func Register(h *server.Hertz, s *Store) {
	h.GET("/v1/kv", func(_ context.Context, c *app.RequestContext) {
		v, err := s.Get(c.Query("key"))
		respond(c, v, err)
	})
	h.PUT("/v1/kv", func(_ context.Context, c *app.RequestContext) {
		handlePut(c, s)
	})
	h.GET("/v1/watch", func(_ context.Context, c *app.RequestContext) {
		handleWatch(c, s)
	})
	h.GET("/v1/instances", func(_ context.Context, c *app.RequestContext) {
		list, err := s.Instances()
		respond(c, list, err)
	})
	registerLeaseRoutes(h, s)
}

func registerLeaseRoutes(h *server.Hertz, s *Store) {
	h.POST("/v1/lease/acquire", func(_ context.Context, c *app.RequestContext) {
		ttl, ok := uintParameter(c, "ttlMs")
		if !ok {
			return
		}
		lease, err := s.Acquire(c.Query("name"), c.Query("holder"), time.Duration(ttl)*time.Millisecond)
		respond(c, lease, err)
	})
	h.POST("/v1/lease/renew", func(_ context.Context, c *app.RequestContext) {
		ttl, ok1 := uintParameter(c, "ttlMs")
		token, ok2 := uintParameter(c, "token")
		if !ok1 || !ok2 {
			return
		}
		lease, err := s.Renew(c.Query("name"), token, time.Duration(ttl)*time.Millisecond)
		respond(c, lease, err)
	})
	h.POST("/v1/lease/release", func(_ context.Context, c *app.RequestContext) {
		token, ok := uintParameter(c, "token")
		if !ok {
			return
		}
		respond(c, kv.Lease{}, s.Release(c.Query("name"), token))
	})
}

// uintParameter reads a query parameter, or answers 400.
func uintParameter(c *app.RequestContext, name string) (uint64, bool) {
	n, err := strconv.ParseUint(c.Query(name), 10, 63)
	if err != nil {
		c.JSON(400, map[string]string{"error": name + " must be a number"})
	}
	return n, err == nil
}

func handlePut(c *app.RequestContext, s *Store) {
	revision, err := strconv.ParseUint(c.Query("revision"), 10, 64)
	if err != nil {
		c.JSON(400, map[string]string{"error": "revision must be a number"})
		return
	}
	body := append([]byte(nil), c.Request.Body()...)
	if len(body) > kv.MaxValueBytes {
		c.JSON(413, map[string]string{"error": "value too large"})
		return
	}
	revision, err = s.Put(c.Query("key"), body, revision)
	respond(c, kv.Value{Revision: revision}, err)
}

func handleWatch(c *app.RequestContext, s *Store) {
	after, err1 := strconv.ParseUint(c.Query("after"), 10, 64)
	waitMs, err2 := strconv.ParseUint(c.Query("waitMs"), 10, 32)
	if err1 != nil || err2 != nil {
		c.JSON(400, map[string]string{"error": "after and waitMs must be numbers"})
		return
	}
	wait := min(time.Duration(waitMs)*time.Millisecond, maxWatchWait)
	v, err := s.Watch(c.Query("key"), after, wait)
	respond(c, v, err)
}

func respond(c *app.RequestContext, v any, err error) {
	switch {
	case err == nil:
		c.JSON(200, v)
	case errors.Is(err, kv.ErrNotFound):
		c.JSON(404, map[string]string{"error": "not found"})
	case errors.Is(err, kv.ErrConflict):
		c.JSON(409, map[string]string{"error": "revision conflict"})
	case errors.Is(err, kv.ErrRateLimited):
		c.JSON(429, map[string]string{"error": "rate limited"})
	case errors.Is(err, kv.ErrUncertain):
		// The answer is lost: the connection closes without a response.
		_ = c.GetConn().Close()
	default:
		c.JSON(503, map[string]string{"error": err.Error()})
	}
}
