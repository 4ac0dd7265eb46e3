package wiretarget_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/jacinthstall/jacinthstall/internal/loopback"
	"github.com/jacinthstall/jacinthstall/platform"
	"github.com/jacinthstall/jacinthstall/standin/wiretarget"
)

// client is a connection to a target.
type client struct {
	net.Conn
	t      *testing.T
	reader *bufio.Reader
}

func start(t *testing.T, options wiretarget.Options) (*wiretarget.Target, func() *client) {
	t.Helper()
	listener, err := net.Listen("tcp", loopback.Host()+":8200")
	require.NoError(t, err)
	target := wiretarget.New(options)
	server := target.NewServer(listener)
	go func() { _ = server.Run() }()
	t.Cleanup(func() { _ = server.Close() })
	return target, func() *client {
		conn, err := net.Dial("tcp", listener.Addr().String())
		require.NoError(t, err)
		t.Cleanup(func() { _ = conn.Close() })
		return &client{Conn: conn, t: t, reader: bufio.NewReader(conn)}
	}
}

func (c *client) send(id, body string, headers ...string) {
	c.t.Helper()
	lines := append([]string{"POST /x HTTP/1.1", "Host: h", platform.HeaderRequestID + ": " + id, fmt.Sprint("Content-Length: ", len(body))}, headers...)
	_, err := io.WriteString(c, strings.Join(lines, "\r\n")+"\r\n\r\n"+body)
	require.NoError(c.t, err)
}

// receive returns the status and the request ID of the next response.
func (c *client) receive() (int, string) {
	c.t.Helper()
	require.NoError(c.t, c.SetReadDeadline(time.Now().Add(5*time.Second)))
	response, err := http.ReadResponse(c.reader, nil)
	require.NoError(c.t, err)
	_, err = io.Copy(io.Discard, response.Body)
	require.NoError(c.t, err)
	return response.StatusCode, response.Header.Get(platform.HeaderRequestID)
}

func TestKilledTargetExecutesNoWaitingRequest(t *testing.T) {
	target, dial := start(t, wiretarget.Options{ID: "t", Slots: 1, MaxQueued: 5, WarmTime: 200 * time.Millisecond})
	for _, id := range []string{"a", "b"} {
		dial().send(id, "")
		require.Eventually(t, func() bool { return target.Histories()[id].Arrivals == 1 }, time.Second, time.Millisecond)
	}
	target.Kill()
	time.Sleep(300 * time.Millisecond)
	assert.Equal(t, map[string]int{"a": 1}, target.Executions())
}

func TestFrozenTargetExecutesRequestsAfterwards(t *testing.T) {
	target, dial := start(t, wiretarget.Options{ID: "t", Slots: 1, MaxQueued: 5})
	thaw := target.Freeze()
	c := dial()
	c.send("a", "")
	time.Sleep(50 * time.Millisecond)
	assert.Empty(t, target.Executions())
	thaw()
	status, _ := c.receive()
	assert.Equal(t, 200, status)
}

func TestWaitingRequestIsDroppedAtItsDeadline(t *testing.T) {
	target, dial := start(t, wiretarget.Options{ID: "t", Slots: 1, MaxQueued: 5, WarmTime: 200 * time.Millisecond, DropsAbandoned: true})
	dial().send("a", "")
	require.Eventually(t, func() bool { return target.Executions()["a"] == 1 }, time.Second, time.Millisecond)
	c := dial()
	c.send("b", "", platform.HeaderDeadline+": 50")
	status, _ := c.receive()
	assert.Equal(t, 503, status)
	time.Sleep(300 * time.Millisecond)
	assert.Equal(t, map[string]int{"a": 1}, target.Executions())
}

func TestNoisyTargetSendsResponsesTooMany(t *testing.T) {
	target, dial := start(t, wiretarget.Options{ID: "t", Slots: 1, MaxQueued: 5})
	target.SetNoise(1)
	c := dial()
	earlier := map[string]int{}
	for i := range 20 {
		id := fmt.Sprint("r", i)
		c.send(id, "")
		_, extra := c.receive()
		_, own := c.receive()
		assert.Equal(t, id, own)
		switch extra {
		case "other-" + id:
			earlier["other"]++
		case fmt.Sprint("r", i-1):
			earlier["repeated"]++
		default:
			assert.Fail(t, "extra response", extra)
		}
	}
	assert.Positive(t, earlier["other"])
	assert.Positive(t, earlier["repeated"])
}

func TestWrongBodyIsRecorded(t *testing.T) {
	for _, startsAtHead := range []bool{false, true} {
		target, dial := start(t, wiretarget.Options{ID: "t", Slots: 1, MaxQueued: 5, StartsAtHead: startsAtHead})
		c := dial()
		c.send("right", "body", wiretarget.HeaderBodySum+": "+wiretarget.BodySum([]byte("body")))
		c.receive()
		c.send("wrong", "body", wiretarget.HeaderBodySum+": "+wiretarget.BodySum([]byte("other")))
		c.receive()
		assert.False(t, target.Histories()["right"].WrongBody)
		assert.True(t, target.Histories()["wrong"].WrongBody)
	}
}
