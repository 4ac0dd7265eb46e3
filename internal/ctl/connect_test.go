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

// platformFixture runs jacinthctl against a stand-in of the platform over TCP.
type platformFixture struct {
	t       *testing.T
	store   *platformd.Store
	address string
	dir     string
	key     string
}

// newPlatformFixture returns a fixture on whose platform the demo document is
// published as version 1.
func newPlatformFixture(t *testing.T) *platformFixture {
	t.Helper()
	f := newEmptyPlatformFixture(t)
	code, _, errOut := f.run("publish", "--key", f.key, f.file("first.json", encode(t, demoDocument(t), 0)))
	require.Equal(t, ctl.ExitOK, code, errOut)
	return f
}

// newEmptyPlatformFixture returns a fixture on whose platform nothing is published.
func newEmptyPlatformFixture(t *testing.T) *platformFixture {
	t.Helper()
	hlog.SetLevel(hlog.LevelFatal)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	f := &platformFixture{t: t, store: platformd.NewStore(nil), address: listener.Addr().String(), dir: t.TempDir()}
	h := server.New(
		server.WithListener(listener),
		server.WithTransport(standard.NewTransporter),
		server.WithExitWaitTime(time.Millisecond),
		server.WithDisablePrintRoute(true),
	)
	platformd.Register(h, f.store)
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		_ = h.Run()
	}()
	t.Cleanup(func() {
		_ = h.Shutdown(context.Background())
		<-ended
	})
	f.key = filepath.Join(f.dir, "operator.pem")
	_, err = ctl.CreateKey(f.key)
	require.NoError(t, err)
	return f
}

// run runs a subcommand of jacinthctl against the stand-in. It may be called
// concurrently.
func (f *platformFixture) run(command string, args ...string) (code int, out, errOut string) {
	var stdout, stderr bytes.Buffer
	app := &ctl.App{Out: &stdout, Err: &stderr, Connect: ctl.Connect, ReadBackInterval: time.Millisecond}
	code = app.Run(context.Background(), append([]string{command, "--platform", f.address}, args...))
	return code, stdout.String(), stderr.String()
}

func (f *platformFixture) file(name string, content []byte) string {
	f.t.Helper()
	file := filepath.Join(f.dir, name)
	require.NoError(f.t, os.WriteFile(file, content, 0o600))
	return file
}

func (f *platformFixture) publishedDocument() *policy.Document {
	f.t.Helper()
	code, out, errOut := f.run("show")
	require.Equal(f.t, ctl.ExitOK, code, errOut)
	d, err := policy.Parse("shown", []byte(out))
	require.NoError(f.t, err)
	return d
}

// Guards against two operators who drain targets concurrently undoing each other's
// changes. An operator who loses too many races in a row gets an error that says
// so, and runs the command again.
func TestConcurrentDrainsOverLoopback(t *testing.T) {
	f := newPlatformFixture(t)
	const edits = 3 // Per operator.
	var group sync.WaitGroup
	for operator := range 2 {
		group.Go(func() {
			for i := range edits {
				target := f.targetName(operator*edits + i)
				for {
					code, _, errOut := f.run("drain", "--key", f.key, "--target", target)
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
	d := f.publishedDocument()
	assert.Equal(t, uint64(1+2*edits), d.Version)
	for i, target := range d.Targets {
		assert.Equal(t, i < 2*edits, target.Leaving, target.Name)
	}
}

func (f *platformFixture) targetName(i int) string { return demoDocument(f.t).Targets[i].Name }

// A file that is based on an outdated version must not replace what another
// operator has published since.
func TestOutdatedFileOverLoopback(t *testing.T) {
	f := newPlatformFixture(t)
	base := f.file("base.json", encode(t, demoDocument(t), 1))
	mine := demoDocument(t)
	mine.Targets[0].Leaving = true
	edited := f.file("mine.json", encode(t, mine, 1))
	code, _, errOut := f.run("drain", "--key", f.key, "--target", f.targetName(1))
	require.Equal(t, ctl.ExitOK, code, errOut)

	code, _, errOut = f.run("publish", "--key", f.key, edited)
	assert.Equal(t, ctl.ExitLostRace, code)
	assert.Contains(t, errOut, f.targetName(1))
	code, _, errOut = f.run("publish", "--key", f.key, "--base", base, edited)
	assert.Equal(t, ctl.ExitLostRace, code)
	assert.Contains(t, errOut, "--merge")
	assert.Equal(t, uint64(2), f.publishedDocument().Version)

	code, _, errOut = f.run("publish", "--key", f.key, "--base", base, "--merge", edited)
	require.Equal(t, ctl.ExitOK, code, errOut)
	d := f.publishedDocument()
	assert.True(t, d.Targets[0].Leaving && d.Targets[1].Leaving)
}

// If a write takes effect but its response is lost, the command must report the
// version as published and must not write it twice. During an outage, a read must
// be reported as unavailable.
func TestLostResponseOverLoopback(t *testing.T) {
	f := newPlatformFixture(t)
	writes := f.store.Calls().Writes
	f.store.SetFaults(platformd.Faults{LoseResponses: 3})
	code, out, errOut := f.run("drain", "--key", f.key, "--target", f.targetName(0))
	require.Equal(t, ctl.ExitOK, code, errOut)
	assert.Contains(t, out, "version 2 is published")
	assert.Zero(t, f.store.Faults().LoseResponses, "the responses to the writes were lost")
	d := f.publishedDocument()
	assert.Equal(t, uint64(2), d.Version)
	assert.True(t, d.Targets[0].Leaving)
	// Five writes: segment and manifest are each repeated, which is safe because
	// of their keys; the head record is written once.
	assert.Equal(t, uint64(5), f.store.Calls().Writes-writes)

	f.store.SetFaults(platformd.Faults{Outage: true})
	code, _, _ = f.run("show")
	assert.Equal(t, ctl.ExitUnavailable, code)
}

// Guards against edits of a platform that was restored from a backup while an
// instance has a later version in force. Such an edit would be based on stale
// state.
func TestRestoredPlatformIsRefused(t *testing.T) {
	f := newPlatformFixture(t)
	f.store.Checkpoint("backup")
	code, _, errOut := f.run("drain", "--key", f.key, "--target", f.targetName(0))
	require.Equal(t, ctl.ExitOK, code, errOut)
	instance := f.serveInstanceStatus(2)
	code, _, errOut = f.run("drain", "--key", f.key, "--in-force-at", instance, "--target", f.targetName(1))
	require.Equal(t, ctl.ExitOK, code, errOut)

	require.True(t, f.store.Restore("backup"))
	writes := f.store.Calls().Writes
	edited := f.file("edited.json", encode(t, func() *policy.Document { d := demoDocument(t); d.LogLevel = "debug"; return d }(), 1))
	for _, args := range [][]string{{"drain", "--target", f.targetName(2)}, {"publish", edited}} {
		code, _, errOut = f.run(args[0], append([]string{"--key", f.key, "--in-force-at", instance}, args[1:]...)...)
		assert.Equal(t, ctl.ExitStale, code, args)
		assert.Contains(t, errOut, "holds version 1, but version 2 is in force")
	}
	base := f.file("later.json", encode(t, demoDocument(t), 3))
	code, _, errOut = f.run("publish", "--key", f.key, "--base", base, edited)
	assert.Equal(t, ctl.ExitStale, code, "the version of the base shows that the platform is behind: "+errOut)
	assert.Equal(t, writes, f.store.Calls().Writes)

	code, _, errOut = f.run("drain", "--key", f.key, "--in-force-at", "127.0.0.1:1", "--target", f.targetName(2))
	assert.Equal(t, ctl.ExitNotInForce, code, errOut)
	code, _, _ = f.run("drain", "--key", f.key, "--in-force-at", "localhost", "--target", f.targetName(2))
	assert.Equal(t, ctl.ExitUsage, code)
}

// serveInstanceStatus starts an operators' listener that reports the given version
// as in force, and returns its address.
func (f *platformFixture) serveInstanceStatus(version uint64) string {
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		fmt.Fprintf(w, `{"name": "i", "version": %d}`, version)
	}))
	f.t.Cleanup(s.Close)
	return s.Listener.Addr().String()
}

// All errors in a document must be reported at once, each with its position, and
// nothing may be written.
func TestAllFindingsAreReportedOverLoopback(t *testing.T) {
	f := newPlatformFixture(t)
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
	wrong := f.file("wrong.json", encode(t, d, 1))
	writes := f.store.Calls().Writes
	code, out, _ := f.run("publish", "--output", "json", "--key", f.key, wrong)
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
	assert.Equal(t, writes, f.store.Calls().Writes)
}

// An outage and a missing key must be reported as such, and not as a write of
// unknown outcome or a damaged record.
func TestPlatformErrorsAreTyped(t *testing.T) {
	f := newPlatformFixture(t)
	f.store.SetFaults(platformd.Faults{Outage: true})
	p, err := ctl.Connect(t.Context(), ctl.Connection{Platform: f.address})
	require.NoError(t, err)
	_, _, err = p.Current(t.Context())
	var unavailable *ctl.UnavailableError
	require.ErrorAs(t, err, &unavailable)
	require.ErrorIs(t, err, kv.ErrUnavailable)
	f.store.SetFaults(platformd.Faults{})
	_, err = p.Publish(t.Context(), encode(t, demoDocument(t), 2), 1)
	var noKey *ctl.NoKeyError
	require.ErrorAs(t, err, &noKey, "a connection without a key cannot publish")
}
