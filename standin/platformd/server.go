package platformd

import (
	"context"
	"errors"
	"strconv"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/app/server"

	"github.com/jacinthstall/jacinthstall/platform"
)

// maxWatch bounds one waiting watch.
const maxWatch = 60 * time.Second

// Register adds the platform's routes to a server.
func Register(h *server.Hertz, s *Store) {
	h.GET("/v1/kv", func(_ context.Context, c *app.RequestContext) {
		v, err := s.Get(c.Query("key"))
		answer(c, v, err)
	})
	h.PUT("/v1/kv", func(_ context.Context, c *app.RequestContext) {
		handlePut(c, s)
	})
	h.GET("/v1/watch", func(_ context.Context, c *app.RequestContext) {
		handleWatch(c, s)
	})
	h.GET("/v1/instances", func(_ context.Context, c *app.RequestContext) {
		c.JSON(200, s.Instances())
	})
}

func handlePut(c *app.RequestContext, s *Store) {
	revision, err := strconv.ParseUint(c.Query("revision"), 10, 64)
	if err != nil {
		c.JSON(400, map[string]string{"error": "revision must be a number"})
		return
	}
	body := append([]byte(nil), c.Request.Body()...)
	if len(body) > platform.MaxValueBytes {
		c.JSON(413, map[string]string{"error": "value too large"})
		return
	}
	revision, err = s.Put(c.Query("key"), body, revision)
	answer(c, platform.Value{Revision: revision}, err)
}

func handleWatch(c *app.RequestContext, s *Store) {
	after, err1 := strconv.ParseUint(c.Query("after"), 10, 64)
	waitMs, err2 := strconv.ParseUint(c.Query("waitMs"), 10, 32)
	if err1 != nil || err2 != nil {
		c.JSON(400, map[string]string{"error": "after and waitMs must be numbers"})
		return
	}
	wait := min(time.Duration(waitMs)*time.Millisecond, maxWatch)
	v, err := s.Watch(c.Query("key"), after, wait)
	answer(c, v, err)
}

func answer(c *app.RequestContext, v platform.Value, err error) {
	switch {
	case err == nil:
		c.JSON(200, v)
	case errors.Is(err, platform.ErrNotFound):
		c.JSON(404, map[string]string{"error": "not found"})
	case errors.Is(err, platform.ErrConflict):
		c.JSON(409, map[string]string{"error": "revision conflict"})
	default:
		c.JSON(503, map[string]string{"error": err.Error()})
	}
}
