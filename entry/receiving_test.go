package entry

import (
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// Guards against a caller whose slow bodies take all requests that an instance
// serves at a time: its oldest ones are cut, and others are served.
func TestTooManySlowBodies(t *testing.T) {
	target := startScriptedTarget(t, func(_ *http.Request, _ []byte, c net.Conn) bool {
		return write(c, httpResponse("200 OK", "", "x"))
	})
	in := startInstance(t, "a-1", target)
	for range maxInFlight + 50 {
		c, err := net.Dial("tcp", in.settings.CallerAddress)
		require.NoError(t, err)
		defer func() { _ = c.Close() }()
		write(c, "POST /writes/x HTTP/1.1\r\nHost: h\r\nContent-Length: 10000\r\n\r\n"+strings.Repeat("x", 5000))
	}
	for range 5 {
		assert.Equal(t, "200 answered yes", call(t, in, "POST", "/writes/x", "", strings.NewReader("b")).String())
	}
}

type fakeConn struct{ limits []time.Time }

func (f *fakeConn) SetReadDeadline(t time.Time) error {
	f.limits = append(f.limits, t)
	return nil
}

// Guards against a body that arrives byte by byte for the whole deadline.
func TestMinimumBodyRate(t *testing.T) {
	start := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	for _, c := range []struct {
		name     string
		pieces   []int
		gap      time.Duration
		deadline time.Duration
		fails    bool
	}{
		{"at once", []int{100}, 0, time.Minute, false},
		{"steady", []int{16 << 10, 16 << 10, 16 << 10, 16 << 10, 16 << 10}, time.Second, time.Minute, false},
		{"dripping", []int{1, 1, 1, 1, 1}, time.Second, time.Minute, true},
		{"after the deadline", []int{16 << 10, 16 << 10, 16 << 10}, time.Second, 2 * time.Second, true},
	} {
		now := start
		conn := &fakeConn{}
		b := &pacedBody{conn: conn, now: func() time.Time { return now }, started: start, deadline: start.Add(c.deadline)}
		var err error
		for _, size := range c.pieces {
			b.source = strings.NewReader(strings.Repeat("x", size))
			if _, err = b.Read(make([]byte, size)); err != nil {
				break
			}
			now = now.Add(c.gap)
		}
		assert.Equal(t, c.fails, err != nil, c.name)
		for _, limit := range conn.limits {
			assert.False(t, limit.After(b.deadline), c.name)
		}
	}
}
