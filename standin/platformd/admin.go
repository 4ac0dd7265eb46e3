package platformd

import (
	"context"
	"encoding/json"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/app/server"

	"github.com/jacinthstall/jacinthstall/kv"
)

// RegisterAdmin adds the routes that control fault injection and limits. They
// are not part of the platform's protocol, and no faults are injected into them:
//
//	GET, PUT /admin/faults       Faults
//	PUT      /admin/limits       Limits
//	PUT      /admin/instances    list of kv.Instance
//	GET      /admin/calls        Calls
//	POST     /admin/checkpoint   ?name=, saves all values
//	POST     /admin/restore      ?name=, restores a checkpoint
func RegisterAdmin(httpServer *server.Hertz, store *Store) {
	httpServer.GET("/admin/faults", func(_ context.Context, c *app.RequestContext) { c.JSON(200, store.Faults()) })
	httpServer.GET("/admin/calls", func(_ context.Context, c *app.RequestContext) { c.JSON(200, store.Calls()) })
	httpServer.PUT("/admin/faults", putHandler(store.SetFaults))
	httpServer.PUT("/admin/limits", putHandler(store.SetLimits))
	httpServer.PUT("/admin/instances", putHandler(func(list []kv.Instance) { store.SetInstances(list) }))
	httpServer.POST("/admin/checkpoint", func(_ context.Context, c *app.RequestContext) {
		store.Checkpoint(c.Query("name"))
		c.JSON(200, map[string]string{})
	})
	httpServer.POST("/admin/restore", func(_ context.Context, c *app.RequestContext) {
		if !store.Restore(c.Query("name")) {
			c.JSON(404, map[string]string{"error": "no such checkpoint"})
			return
		}
		c.JSON(200, map[string]string{})
	})
}

// putHandler returns a handler that decodes the request body and passes it to
// set.
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
