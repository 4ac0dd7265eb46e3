package caller_test

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/jacinthstall/jacinthstall/caller"
	"github.com/jacinthstall/jacinthstall/outcome"
)

// lookupList is the list of addresses in the look-up responses of all instances.
type lookupList struct{ addresses atomic.Pointer[[]string] }

func (list *lookupList) set(addresses ...string) { list.addresses.Store(&addresses) }

func (list *lookupList) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != "/-/lookup" {
		w.Header().Set(outcome.HeaderExecuted, string(outcome.Yes))
		return
	}
	type instance struct {
		Name    string `json:"name"`
		Address string `json:"address"`
	}
	instances := []instance{}
	for _, address := range *list.addresses.Load() {
		instances = append(instances, instance{Name: address, Address: address})
	}
	_ = json.NewEncoder(w).Encode(map[string]any{"ttlMs": 0, "keyPrefix": "k", "instances": instances})
}

// serve responds at an address until the returned function is called, which closes
// all connections as the end of a process does.
func (list *lookupList) serve(t *testing.T, address string) (string, func()) {
	t.Helper()
	listener, err := net.Listen("tcp", address)
	require.NoError(t, err)
	server := &http.Server{Handler: list}
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(func() { _ = server.Close() })
	return listener.Addr().String(), func() { _ = server.Close() }
}

// An instance leaves the look-up responses, ends, and starts again at its address.
// Guards against sending it a request on a connection of its former process.
func TestConnectionOfFormerProcessIsNotUsed(t *testing.T) {
	list := &lookupList{}
	restarted, end := list.serve(t, "127.0.0.1:0")
	other, _ := list.serve(t, "127.0.0.1:0")
	list.set(restarted, other)
	client, err := caller.New(caller.Options{Bootstrap: []string{restarted, other}, Address: "10.0.0.1"})
	require.NoError(t, err)
	post := func() caller.Response {
		response, err := client.Do(context.Background(), caller.Request{Method: "POST", Path: "/x", Timeout: 5 * time.Second})
		require.NoError(t, err)
		assert.Equal(t, outcome.Yes, response.Executed)
		return response
	}
	post()
	list.set(other)
	post()
	end()
	list.serve(t, restarted)
	list.set(restarted, other)
	assert.Zero(t, post().BrokenAttempts)
}
