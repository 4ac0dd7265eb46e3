package ctl_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"sync"
	"testing"
	"time"

	"github.com/cloudwego/hertz/pkg/app/server"
	"github.com/cloudwego/hertz/pkg/common/hlog"
	"github.com/cloudwego/hertz/pkg/network/standard"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/jacinthstall/jacinthstall/internal/ctl"
	"github.com/jacinthstall/jacinthstall/kv"
	"github.com/jacinthstall/jacinthstall/policy"
	"github.com/jacinthstall/jacinthstall/standin/platformd"
)

// platformFixture is a jacinthctl that talks to a platform stand-in over TCP.
type platformFixture struct {
	t       *testing.T
	store   *platformd.Store
	address string
	dir     string
	key     string
}

// newPlatformFixture returns a stand-in on which the demo document is version 1.
func newPlatformFixture(t *testing.T) *platformFixture {
	t.Helper()
	l := newEmptyPlatformFixture(t)
	code, _, errOut := l.run("publish", "--key", l.key, l.file("first.json", encode(t, demoDocument(t), 0)))
	require.Equal(t, ctl.ExitOK, code, errOut)
	return l
}

// newEmptyPlatformFixture returns a stand-in without a document.
func newEmptyPlatformFixture(t *testing.T) *platformFixture {
	t.Helper()
	hlog.SetLevel(hlog.LevelFatal)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	l := &platformFixture{t: t, store: platformd.NewStore(nil), address: listener.Addr().String(), dir: t.TempDir()}
	h := server.New(
		server.WithListener(listener),
		server.WithTransport(standard.NewTransporter),
		server.WithExitWaitTime(time.Millisecond),
		server.WithDisablePrintRoute(true),
	)
	platformd.Register(h, l.store)
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		_ = h.Run()
	}()
	t.Cleanup(func() {
		_ = h.Shutdown(context.Background())
		<-ended
	})
	l.key = filepath.Join(l.dir, "operator.pem")
	_, err = ctl.CreateKey(l.key)
	require.NoError(t, err)
	return l
}

// run runs a command on the stand-in. It may be called concurrently.
func (l *platformFixture) run(command string, args ...string) (code int, out, errOut string) {
	var stdout, stderr bytes.Buffer
	app := &ctl.App{Out: &stdout, Err: &stderr, Connect: ctl.Connect, ReadBackInterval: time.Millisecond}
	code = app.Run(context.Background(), append([]string{command, "--platform", l.address}, args...))
	return code, stdout.String(), stderr.String()
}

func (l *platformFixture) file(name string, content []byte) string {
	l.t.Helper()
	file := filepath.Join(l.dir, name)
	require.NoError(l.t, os.WriteFile(file, content, 0o600))
	return file
}

func (l *platformFixture) publishedDocument() *policy.Document {
	l.t.Helper()
	code, out, errOut := l.run("show")
	require.Equal(l.t, ctl.ExitOK, code, errOut)
	d, err := policy.Parse("shown", []byte(out))
	require.NoError(l.t, err)
	return d
}

// Two operators that drain targets at the same time must not undo each other.
// An operator that loses too many races is told so and tries again.
func TestConcurrentDrainsOverLoopback(t *testing.T) {
	l := newPlatformFixture(t)
	const edits = 3 // Of each operator.
	var group sync.WaitGroup
	for operator := range 2 {
		group.Go(func() {
			for i := range edits {
				target := l.targetName(operator*edits + i)
				for {
					code, _, errOut := l.run("drain", "--key", l.key, "--target", target)
					if code == ctl.ExitOK {
						break
					}
					if !assert.Contains(t, errOut, "races in a row", "a refusal must be a lost race") {
						return
					}
				}
			}
		})
	}
	group.Wait()
	d := l.publishedDocument()
	assert.Equal(t, uint64(1+2*edits), d.Version)
	for i, target := range d.Targets {
		assert.Equal(t, i < 2*edits, target.Leaving, target.Name)
	}
}

func (l *platformFixture) targetName(i int) string { return demoDocument(l.t).Targets[i].Name }

// A file that is based on an outdated version must not replace what another
// operator published since.
func TestOutdatedFileOverLoopback(t *testing.T) {
	l := newPlatformFixture(t)
	base := l.file("base.json", encode(t, demoDocument(t), 1))
	mine := demoDocument(t)
	mine.Targets[0].Leaving = true
	edited := l.file("mine.json", encode(t, mine, 1))
	code, _, errOut := l.run("drain", "--key", l.key, "--target", l.targetName(1))
	require.Equal(t, ctl.ExitOK, code, errOut)

	code, _, errOut = l.run("publish", "--key", l.key, edited)
	assert.Equal(t, ctl.ExitLostRace, code)
	assert.Contains(t, errOut, l.targetName(1))
	code, _, errOut = l.run("publish", "--key", l.key, "--base", base, edited)
	assert.Equal(t, ctl.ExitLostRace, code)
	assert.Contains(t, errOut, "--merge")
	assert.Equal(t, uint64(2), l.publishedDocument().Version)

	code, _, errOut = l.run("publish", "--key", l.key, "--base", base, "--merge", edited)
	require.Equal(t, ctl.ExitOK, code, errOut)
	d := l.publishedDocument()
	assert.True(t, d.Targets[0].Leaving && d.Targets[1].Leaving)
}

// A write that took effect while its answer was lost must be reported as
// published, once; one that cannot be read back as undecided.
func TestLostResponseOverLoopback(t *testing.T) {
	l := newPlatformFixture(t)
	writes := l.store.Calls().Writes
	l.store.SetFaults(platformd.Faults{LoseResponses: 3})
	code, out, errOut := l.run("drain", "--key", l.key, "--target", l.targetName(0))
	require.Equal(t, ctl.ExitOK, code, errOut)
	assert.Contains(t, out, "version 2 is published")
	assert.Zero(t, l.store.Faults().LoseResponses, "the answers of the writes were lost")
	d := l.publishedDocument()
	assert.Equal(t, uint64(2), d.Version)
	assert.True(t, d.Targets[0].Leaving)
	// Segment and manifest are repeated, which their keys make safe; the head
	// record is written once.
	assert.Equal(t, uint64(5), l.store.Calls().Writes-writes)

	l.store.SetFaults(platformd.Faults{Outage: true})
	code, _, _ = l.run("show")
	assert.Equal(t, ctl.ExitUnavailable, code)
}

// A platform that was restored from a backup must not be edited while an
// instance has a later version in force, since that edit would be based on
// stale state.
func TestRestoredPlatformIsRefused(t *testing.T) {
	l := newPlatformFixture(t)
	l.store.Checkpoint("backup")
	code, _, errOut := l.run("drain", "--key", l.key, "--target", l.targetName(0))
	require.Equal(t, ctl.ExitOK, code, errOut)
	instance := l.serveInstanceStatus(2)
	code, _, errOut = l.run("drain", "--key", l.key, "--in-force-at", instance, "--target", l.targetName(1))
	require.Equal(t, ctl.ExitOK, code, errOut)

	require.True(t, l.store.Restore("backup"))
	writes := l.store.Calls().Writes
	edited := l.file("edited.json", encode(t, func() *policy.Document { d := demoDocument(t); d.LogLevel = "debug"; return d }(), 1))
	for _, args := range [][]string{{"drain", "--target", l.targetName(2)}, {"publish", edited}} {
		code, _, errOut = l.run(args[0], append([]string{"--key", l.key, "--in-force-at", instance}, args[1:]...)...)
		assert.Equal(t, ctl.ExitStale, code, args)
		assert.Contains(t, errOut, "holds version 1, but version 2 is in force")
	}
	base := l.file("later.json", encode(t, demoDocument(t), 3))
	code, _, errOut = l.run("publish", "--key", l.key, "--base", base, edited)
	assert.Equal(t, ctl.ExitStale, code, "the base itself shows that the platform is behind: "+errOut)
	assert.Equal(t, writes, l.store.Calls().Writes)

	code, _, errOut = l.run("drain", "--key", l.key, "--in-force-at", "127.0.0.1:1", "--target", l.targetName(2))
	assert.Equal(t, ctl.ExitNotInForce, code, errOut)
	code, _, _ = l.run("drain", "--key", l.key, "--in-force-at", "localhost", "--target", l.targetName(2))
	assert.Equal(t, ctl.ExitUsage, code)
}

// serveInstanceStatus returns the address of an operators' listener that reports a version.
func (l *platformFixture) serveInstanceStatus(version uint64) string {
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		fmt.Fprintf(w, `{"name": "i", "version": %d}`, version)
	}))
	l.t.Cleanup(s.Close)
	return s.Listener.Addr().String()
}

// An operator must see every mistake of a document at once and at its place,
// and nothing may be written.
func TestAllFindingsAreReportedOverLoopback(t *testing.T) {
	l := newPlatformFixture(t)
	d := demoDocument(t)
	d.LogLevel = "loud"
	d.Timing.LookupTTLMs = -1
	d.Regions[0].Domains = append(d.Regions[0].Domains, "")
	d.Sites[0].Domain = "nowhere"
	d.Services[0].PathPrefix = "no-slash"
	d.Services[1].MaxQueueMs = -1
	d.Targets[0].Slots = 0
	d.Targets[1].Address = "host:1"
	d.Targets[2].Service = "unknown"
	d.Targets[3].Connections = -1
	wrong := l.file("wrong.json", encode(t, d, 1))
	writes := l.store.Calls().Writes
	code, out, _ := l.run("publish", "--output", "json", "--key", l.key, wrong)
	assert.Equal(t, ctl.ExitInvalid, code)
	var report struct {
		Findings []struct {
			File, Pointer string
			Line, Column  int
		}
	}
	require.NoError(t, json.Unmarshal([]byte(out), &report))
	found := map[string]bool{}
	for _, f := range report.Findings {
		found[f.Pointer] = true
		assert.Equal(t, wrong, f.File)
		assert.Positive(t, f.Line)
		assert.Positive(t, f.Column)
	}
	for _, pointer := range []string{"/logLevel", "/timing/lookupTtlMs", "/regions/0/domains/2", "/sites/0/domain", "/services/0/pathPrefix",
		"/services/1/maxQueueMs", "/targets/0/slots", "/targets/1/address", "/targets/2/service", "/targets/3/connections"} {
		assert.True(t, found[pointer], "%s in %v", pointer, found)
	}
	assert.Len(t, report.Findings, 10, found)
	assert.Equal(t, writes, l.store.Calls().Writes)
}

// A refusal of the platform must not look like an unknown outcome or a damaged
// record to the operator.
func TestPlatformErrorsAreTyped(t *testing.T) {
	l := newPlatformFixture(t)
	l.store.SetFaults(platformd.Faults{Outage: true})
	p, err := ctl.Connect(t.Context(), ctl.Connection{Platform: l.address})
	require.NoError(t, err)
	_, _, err = p.Current(t.Context())
	var unavailable *ctl.UnavailableError
	require.ErrorAs(t, err, &unavailable)
	require.ErrorIs(t, err, kv.ErrUnavailable)
	l.store.SetFaults(platformd.Faults{})
	_, err = p.Publish(t.Context(), encode(t, demoDocument(t), 2), 1)
	var noKey *ctl.NoKeyError
	require.ErrorAs(t, err, &noKey, "a connection without a key cannot publish")
}
