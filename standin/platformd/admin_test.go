package platformd_test

import (
	"bytes"
	"testing"

	"github.com/cloudwego/hertz/pkg/app/server"
	"github.com/cloudwego/hertz/pkg/common/ut"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/jacinthstall/jacinthstall/kv"
	"github.com/jacinthstall/jacinthstall/standin/platformd"
)

// Admin routes must change the state that clients see, and must keep working
// while an outage is injected.
func TestAdminRoutes(t *testing.T) {
	store := platformd.NewStore(nil)
	httpServer := server.New()
	platformd.RegisterAdmin(httpServer, store)
	send := func(method, path, body string) int {
		content := ut.Body{Body: bytes.NewBufferString(body), Len: len(body)}
		return ut.PerformRequest(httpServer.Engine, method, path, &content).Result().StatusCode()
	}
	_, err := store.Put("k", []byte("old"), 0)
	require.NoError(t, err)
	require.Equal(t, 200, send("POST", "/admin/checkpoint?name=c", ""))
	_, err = store.Put("k", []byte("new"), 1)
	require.NoError(t, err)

	require.Equal(t, 200, send("PUT", "/admin/faults", `{"outage":true,"delayMs":1}`))
	assert.Equal(t, platformd.Faults{Outage: true, DelayMs: 1}, store.Faults())
	_, err = store.Get("k")
	require.ErrorIs(t, err, kv.ErrUnavailable)
	require.Equal(t, 200, send("PUT", "/admin/faults", `{}`))

	require.Equal(t, 200, send("POST", "/admin/restore?name=c", ""))
	require.Equal(t, 404, send("POST", "/admin/restore?name=unknown", ""))
	v, err := store.Get("k")
	require.NoError(t, err)
	assert.Equal(t, "old", string(v.Data))

	require.Equal(t, 200, send("PUT", "/admin/instances", `[{"name":"a","state":"leaving"}]`))
	list, err := store.Instances()
	require.NoError(t, err)
	assert.Equal(t, []kv.Instance{{Name: "a", State: kv.InstanceLeaving}}, list)

	require.Equal(t, 200, send("PUT", "/admin/limits", `{"readsPerSecond":1}`))
	require.Equal(t, 400, send("PUT", "/admin/limits", `{`))
	_, err = store.Get("k")
	require.NoError(t, err)
	_, err = store.Get("k")
	require.ErrorIs(t, err, kv.ErrRateLimited)
	require.Equal(t, 200, send("GET", "/admin/calls", ""))
}
