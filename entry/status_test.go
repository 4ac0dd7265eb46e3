package entry

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/jacinthstall/jacinthstall/once"
	"github.com/jacinthstall/jacinthstall/outcome"
	"github.com/jacinthstall/jacinthstall/peer/peerpb"
)

// invalidStatuses are status codes that no HTTP response may have.
var invalidStatuses = []string{"000", "001", "099", "600", "999", "20", "2000", "+20", "-20", "2x0", "abc"}

// Guards against passing on an invalid status, also through a peer, against a lost
// retry of an idempotent request, and against stating that a request was not executed
// that a target may have executed.
func TestInvalidStatusOfTarget(t *testing.T) {
	for _, status := range invalidStatuses {
		var arrivals atomic.Int32
		target := startScriptedTarget(t, func(r *http.Request, _ []byte, c net.Conn) bool {
			if arrivals.Add(1) > 1 {
				return write(c, httpResponse("200 OK", "", "ok"))
			}
			return write(c, "HTTP/1.1 103 Early Hints\r\n\r\n"+httpResponse(status+" X", outcome.HeaderExecuted+": no\r\n", "wrong"))
		})
		a, b := startInstance(t, "a-1", target, target), startInstance(t, "b-1", target, target)
		connectPeers(t, a, b)
		assert.Equal(t, "200 answered yes", call(t, a, "GET", "/reads/x", "", nil).String(), status)
		assert.EqualValues(t, 2, arrivals.Load(), status)
		for _, key := range []string{"", a.keyPrefix() + ".k"} { // With the key, through the peer.
			arrivals.Store(0)
			got := call(t, b, "POST", "/writes/x", key, strings.NewReader("x"))
			assert.Equal(t, "502", fmt.Sprint(got.status), status)
			assert.Equal(t, "unknown", got.header.Get(outcome.HeaderExecuted), status)
			assert.EqualValues(t, 1, arrivals.Load(), status)
		}
	}
}

// Guards against an invalid status in a peer's response that reaches the caller.
func TestInvalidStatusOfPeer(t *testing.T) {
	for _, status := range []uint32{0, 1, 99, 100, 103, 199, 600, 999, 2000, 1<<32 - 56} {
		got := relayedResponse(&peerpb.RelayHead{Status: status, Executed: string(outcome.No)}, nil, func() {})
		assert.Equal(t, 502, got.Status, status)
		assert.Equal(t, outcome.Unknown, got.Executed, status)
	}
}

// Guards against replaying a recorded response with an invalid status that a stopping
// peer has handed over.
func TestInvalidStatusInHandedOverRecord(t *testing.T) {
	prefix := startInstance(t, "a-1").keyPrefix()
	for _, status := range []uint32{0, 1, 99, 103, 600, 999, 2000, 1<<32 - 56} {
		message := recordToProto(once.Record{Result: once.Result{Executed: outcome.Yes, Status: 200, Reason: outcome.ReasonResponded, Body: []byte("x")}})
		message.Key, message.Status = prefix+".k", status
		record, ok := recordFromProto(message)
		require.True(t, ok)
		got := replayResult(record.Result)
		assert.Equal(t, "409 issuer-gone unknown", fmt.Sprintf("%d %s %s", got.Status, got.Reason, got.Executed), status)
		assert.Nil(t, got.body)
	}
}
