package platformd

import (
	"context"
	"encoding/json"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/app/server"

	"github.com/jacinthstall/jacinthstall/kv"
)

// RegisterAdmin adds the routes that set faults and limits. They are not part
// of the platform's protocol and are themselves free of faults:
//
//	GET, PUT /admin/faults       Faults
//	PUT      /admin/limits       Limits
//	PUT      /admin/instances    list of kv.Instance
//	GET      /admin/calls        Calls
//	POST     /admin/checkpoint   ?name=, keeps all values
//	POST     /admin/restore      ?name=, returns to a checkpoint
func RegisterAdmin(h *server.Hertz, s *Store) {
	h.GET("/admin/faults", func(_ context.Context, c *app.RequestContext) { c.JSON(200, s.Faults()) })
	h.GET("/admin/calls", func(_ context.Context, c *app.RequestContext) { c.JSON(200, s.Calls()) })
	h.PUT("/admin/faults", putHandler(s.SetFaults))
	h.PUT("/admin/limits", putHandler(s.SetLimits))
	h.PUT("/admin/instances", putHandler(func(list []kv.Instance) { s.SetInstances(list) }))
	h.POST("/admin/checkpoint", func(_ context.Context, c *app.RequestContext) {
		s.Checkpoint(c.Query("name"))
		c.JSON(200, map[string]string{})
	})
	h.POST("/admin/restore", func(_ context.Context, c *app.RequestContext) {
		if !s.Restore(c.Query("name")) {
			c.JSON(404, map[string]string{"error": "no such checkpoint"})
			return
		}
		c.JSON(200, map[string]string{})
	})
}

func putHandler[T any](set func(T)) app.HandlerFunc {
	return func(_ context.Context, c *app.RequestContext) {
		var value T
		if err := json.Unmarshal(c.Request.Body(), &value); err != nil {
			c.JSON(400, map[string]string{"error": err.Error()})
			return
		}
		set(value)
		c.JSON(200, value)
	}
}
