package targetd

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/cloudwego/hertz/pkg/common/hlog"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/jacinthstall/jacinthstall/outcome"
)

// testTimeout only ends a test that hangs.
const testTimeout = time.Minute

func TestMain(m *testing.M) {
	hlog.SetOutput(io.Discard)
	m.Run()
}

func startTarget(t *testing.T, o Options, connections int) (*Target, string) {
	t.Helper()
	l, err := Listen("127.0.0.1:0", connections)
	require.NoError(t, err)
	target, h := NewServer(o, l)
	go func() { _ = h.Run() }()
	t.Cleanup(func() {
		ctx, cancel := context.WithTimeout(context.Background(), 10*time.Millisecond)
		defer cancel()
		_ = h.Shutdown(ctx)
		_ = l.Close()
	})
	return target, "http://" + l.Addr().String()
}

// send gives the status, the header and the body; an error of the transfer is
// returned too.
func send(t *testing.T, method, url string, header map[string]string, body string) (int, http.Header, string, error) {
	t.Helper()
	r, err := http.NewRequest(method, url, bytes.NewReader([]byte(body)))
	require.NoError(t, err)
	for name, value := range header {
		r.Header.Set(name, value)
	}
	client := &http.Client{Timeout: testTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	answer, err := client.Do(r)
	if err != nil {
		return 0, nil, "", err
	}
	defer func() { _ = answer.Body.Close() }()
	content, err := io.ReadAll(answer.Body)
	return answer.StatusCode, answer.Header, string(content), err
}

// Guards against a stand-in that executes beyond its slots, or whose shedding
// proves too much or too little.
func TestSlotsAndShedding(t *testing.T) {
	for _, withoutProof := range []bool{false, true} {
		faults := DefaultFaults()
		faults.ShedWithoutProof = withoutProof
		target, url := startTarget(t, Options{Slots: 2, ServiceTime: testTimeout, Faults: faults}, 0)
		ctx, cancel := context.WithCancel(context.Background())
		for i := range 2 {
			r, err := http.NewRequestWithContext(ctx, "GET", url+"/x", nil)
			require.NoError(t, err)
			r.Header.Set(outcome.HeaderIdempotencyKey, fmt.Sprint(i))
			go func() { _, _ = (&http.Client{Transport: &http.Transport{}}).Do(r) }()
		}
		require.Eventually(t, func() bool { return target.Report().Total == 2 }, testTimeout, time.Millisecond)
		status, header, _, err := send(t, "GET", url+"/x", nil, "")
		require.NoError(t, err)
		assert.Equal(t, 503, status)
		assert.Equal(t, withoutProof, header.Get(outcome.HeaderExecuted) == "")
		cancel()
		require.Eventually(t, func() bool { return target.Report().Unfinished == 2 }, testTimeout, time.Millisecond, "cancelled work is partial")
		assert.Equal(t, map[string]int{"0": 1, "1": 1}, target.Report().Executions)
	}
}

// Guards against a crash that leaves connections open or answers anything, and
// against a target that never comes back.
func TestCrash(t *testing.T) {
	faults := DefaultFaults()
	faults.DownMs = 200
	target, url := startTarget(t, Options{Slots: 10, ServiceTime: testTimeout, Faults: faults}, 0)
	other := make(chan error, 1)
	go func() {
		_, _, _, err := send(t, "GET", url+"/x", nil, "")
		other <- err
	}()
	require.Eventually(t, func() bool { return target.Report().Total == 1 }, testTimeout, time.Millisecond)
	_, _, _, err := send(t, "POST", url+"/x", map[string]string{HeaderFault: "crash", outcome.HeaderIdempotencyKey: "k"}, "")
	assert.Error(t, err)
	assert.Error(t, <-other, "other requests in flight are cut")
	require.Eventually(t, func() bool {
		status, _, _, err := send(t, "GET", url+"/-/health", nil, "")
		return err == nil && status == 200
	}, testTimeout, time.Millisecond)
	report := target.Report()
	assert.Equal(t, 1, report.Crashes)
	assert.Equal(t, 1, report.Executions["k"], "an execution that crashed counts")
}

func TestTruncatedResponses(t *testing.T) {
	_, url := startTarget(t, Options{Slots: 1}, 0)
	for _, fault := range []string{"truncate", "truncate-chunks"} {
		status, _, body, err := send(t, "GET", url+"/x", map[string]string{HeaderFault: fault}, "")
		assert.Equal(t, 200, status, fault)
		assert.Equal(t, "part", body, fault)
		assert.ErrorIs(t, err, io.ErrUnexpectedEOF, fault)
	}
}

func TestDeadlineAbortsExecution(t *testing.T) {
	target, url := startTarget(t, Options{Slots: 1, ServiceTime: testTimeout}, 0)
	status, _, _, err := send(t, "GET", url+"/x", map[string]string{outcome.HeaderDeadline: "10"}, "")
	require.NoError(t, err)
	assert.Equal(t, 504, status)
	assert.Equal(t, 1, target.Report().Unfinished)
}

func TestConnectionLimit(t *testing.T) {
	_, url := startTarget(t, Options{Slots: 1}, 1)
	address := url[len("http://"):]
	held, err := net.Dial("tcp", address)
	require.NoError(t, err)
	_, err = io.WriteString(held, "GET /-/health HTTP/1.1\r\nHost: h\r\n\r\n")
	require.NoError(t, err)
	_, err = held.Read(make([]byte, 1))
	require.NoError(t, err)
	_, _, _, err = send(t, "GET", url+"/x", nil, "")
	assert.Error(t, err)
	require.NoError(t, held.Close())
}

// Guards against a health report that is true when it should be false.
func TestFalseHealthReportAndFaultRoutes(t *testing.T) {
	target, url := startTarget(t, Options{Slots: 4}, 0)
	health := func() (state map[string]string, leaving string) {
		_, header, body, err := send(t, "GET", url+"/-/health", nil, "")
		require.NoError(t, err)
		require.NoError(t, json.Unmarshal([]byte(body), &state))
		return state, header.Get(outcome.HeaderTargetState)
	}
	state, _ := health()
	assert.Equal(t, map[string]string{"state": "ready", "busy": "0", "slots": "4"}, state)

	_, _, _, err := send(t, "POST", url+"/-/leave", nil, "")
	require.NoError(t, err)
	state, leaving := health()
	assert.Equal(t, "leaving", state["state"])
	assert.Equal(t, "leaving", leaving)
	_, header, _, err := send(t, "GET", url+"/x", nil, "")
	require.NoError(t, err)
	assert.Equal(t, "leaving", header.Get(outcome.HeaderTargetState), "any answer tells")

	status, _, _, err := send(t, "POST", url+"/-/faults", nil, `{"healthState":"ready","busy":3}`)
	require.NoError(t, err)
	assert.Equal(t, 200, status)
	state, leaving = health()
	assert.Equal(t, map[string]string{"state": "ready", "busy": "3", "slots": "4"}, state)
	assert.Empty(t, leaving)
	assert.Equal(t, 1000, target.currentFaults().DownMs, "faults that are not named stay")

	status, _, _, err = send(t, "POST", url+"/-/faults", nil, `{"busy":"x"}`)
	require.NoError(t, err)
	assert.Equal(t, 400, status)
}

func TestReportedLoadLag(t *testing.T) {
	target := New(Options{Slots: 4})
	now := time.Now()
	target.faults.LoadLagMs = 100
	target.loadHistory = []loadSample{{at: now.Add(-300 * time.Millisecond), busy: 2}, {at: now.Add(-50 * time.Millisecond), busy: 4}}
	assert.Equal(t, 2, target.reportedBusy(now))
	assert.Equal(t, 4, target.reportedBusy(now.Add(50*time.Millisecond)))
}

func TestColdStart(t *testing.T) {
	target := New(Options{Slots: 10, ServiceTime: time.Second, ColdRequests: 2, ColdFactor: 5})
	for _, want := range []time.Duration{5 * time.Second, 5 * time.Second, time.Second} {
		got, ok := target.beginExecution("")
		require.True(t, ok)
		assert.Equal(t, want, got)
	}
}
