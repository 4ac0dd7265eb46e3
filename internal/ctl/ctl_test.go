package ctl_test

import (
	"bytes"
	"context"
	"crypto/ed25519"
	"encoding/base64"
	"encoding/hex"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/jacinthstall/jacinthstall/configsync"
	"github.com/jacinthstall/jacinthstall/internal/ctl"
	"github.com/jacinthstall/jacinthstall/internal/ctl/ctltest"
	"github.com/jacinthstall/jacinthstall/policy"
)

// fixture is a jacinthctl with a fake publisher and files in a directory.
type fixture struct {
	t              *testing.T
	publisher      *ctltest.Publisher
	dir            string
	key            string
	lastConnection ctl.Connection // Of the last command that connected.
}

func newFixture(t *testing.T) *fixture {
	t.Helper()
	b := &fixture{t: t, dir: t.TempDir()}
	b.key = filepath.Join(b.dir, "operator.pem")
	_, err := ctl.CreateKey(b.key)
	require.NoError(t, err)
	b.publisher = ctltest.New(encode(t, demoDocument(t), 1), 1)
	return b
}

// run returns the exit code, the output and the error output.
func (b *fixture) run(args ...string) (code int, out, errOut string) {
	b.t.Helper()
	var stdout, stderr bytes.Buffer
	app := &ctl.App{Out: &stdout, Err: &stderr, Connect: func(_ context.Context, c ctl.Connection) (ctl.Publisher, error) {
		b.lastConnection = c
		return b.publisher, nil
	}}
	code = app.Run(context.Background(), args)
	return code, stdout.String(), stderr.String()
}

func (b *fixture) file(name string, content []byte) string {
	b.t.Helper()
	file := filepath.Join(b.dir, name)
	require.NoError(b.t, os.WriteFile(file, content, 0o600))
	return file
}

// editedFile writes the demo document of version 1 with an edit to a file.
func (b *fixture) editedFile(edit func(*policy.Document)) string {
	b.t.Helper()
	d := demoDocument(b.t)
	edit(d)
	return b.file("edited.json", encode(b.t, d, 1))
}

// publishAsOther makes another operator publish version 2 before the next write.
func (b *fixture) publishAsOther(edit func(*policy.Document)) {
	d := demoDocument(b.t)
	edit(d)
	src := encode(b.t, d, 2)
	b.publisher.BeforeNextWrite(func() { b.publisher.SetDocument(src, 2) })
}

func (b *fixture) publishedDocument() (*policy.Document, uint64) {
	b.t.Helper()
	src, version, err := b.publisher.Current(context.Background())
	require.NoError(b.t, err)
	d, err := policy.Parse("current", src)
	require.NoError(b.t, err)
	return d, version
}

func demoDocument(t *testing.T) *policy.Document {
	t.Helper()
	src, err := os.ReadFile("../../demo/policy.json")
	require.NoError(t, err)
	d, err := policy.Parse("demo", src)
	require.NoError(t, err)
	return d
}

func encode(t *testing.T, d *policy.Document, version uint64) []byte {
	t.Helper()
	d.Version = version
	src, err := d.Encode()
	require.NoError(t, err)
	return src
}

func markLeaving(i int) func(*policy.Document) {
	return func(d *policy.Document) { d.Targets[i].Leaving = true }
}

// An operator must see all problems of a document, in both forms of output.
func TestValidate(t *testing.T) {
	b := newFixture(t)
	code, out, _ := b.run("validate", "../../demo/policy.json")
	assert.Equal(t, ctl.ExitOK, code)
	assert.Equal(t, "1 files are valid\n", out)

	code, _, _ = b.run("validate", "--kind", "settings", "../../demo/settings/palermo-a-1.json")
	assert.Equal(t, ctl.ExitOK, code)

	wrong := b.editedFile(func(d *policy.Document) { d.LogLevel = "loud"; d.Targets[0].Slots = 0 })
	code, _, errOut := b.run("validate", wrong)
	assert.Equal(t, ctl.ExitInvalid, code)
	assert.Contains(t, errOut, wrong+":3:15: /logLevel")
	assert.Contains(t, errOut, "/targets/0/slots: 0 is not between 1 and 10000")

	code, out, _ = b.run("validate", "--output", "json", wrong)
	assert.Equal(t, ctl.ExitInvalid, code)
	var report struct {
		ExitCode int
		Findings []struct {
			Line    int
			Pointer string
		}
	}
	require.NoError(t, json.Unmarshal([]byte(out), &report))
	assert.Equal(t, ctl.ExitInvalid, report.ExitCode)
	require.Len(t, report.Findings, 2)
	assert.Equal(t, "/logLevel", report.Findings[0].Pointer)
}

// Scripts rely on the exit codes of wrong calls.
func TestUsage(t *testing.T) {
	b := newFixture(t)
	for _, args := range [][]string{
		{}, {"unknown"}, {"validate"}, {"validate", "--kind", "x", "f"}, {"validate", "--nope", "f"}, {"diff"},
		{"show", "x"}, {"drain"}, {"drain", "--target", "a", "--instance", "b"}, {"sign"}, {"sign", "--digest", "zz"},
		{"keygen"}, {"status", "localhost:1"}, {"show", "--output", "xml"},
	} {
		code, out, _ := b.run(args...)
		assert.Equal(t, ctl.ExitUsage, code, args)
		assert.Empty(t, out, args)
	}
	code, _, _ := b.run("validate", filepath.Join(b.dir, "none"))
	assert.Equal(t, ctl.ExitFailure, code)
}

// Each command must explain itself and its exit codes.
func TestHelp(t *testing.T) {
	b := newFixture(t)
	for _, name := range []string{"validate", "diff", "publish", "show", "status", "drain", "sign", "keygen"} {
		code, _, help := b.run(name, "--help")
		assert.Equal(t, ctl.ExitOK, code, name)
		assert.Contains(t, help, "jacinthctl "+name)
		assert.Contains(t, help, "EXIT CODES")
		assert.Contains(t, help, "-output")
	}
}

func TestDiffAndShow(t *testing.T) {
	b := newFixture(t)
	edited := b.editedFile(markLeaving(0))
	code, out, _ := b.run("diff", "../../demo/policy.json", edited)
	assert.Equal(t, ctl.ExitOK, code)
	assert.Equal(t, "~ /targets/catalogue-a1/leaving: false -> true\n", out)

	_, out, _ = b.run("diff", "--output", "json", edited)
	assert.JSONEq(t, `{"changes": [{"kind": "changed", "path": "/targets/catalogue-a1/leaving", "old": false, "new": true}]}`, out)

	_, out, _ = b.run("diff", "../../demo/policy.json")
	assert.Equal(t, "no changes\n", out)

	code, out, _ = b.run("show")
	assert.Equal(t, ctl.ExitOK, code)
	shown, err := policy.Parse("shown", []byte(out))
	require.NoError(t, err)
	assert.Equal(t, uint64(1), shown.Version)
}

func TestPublish(t *testing.T) {
	b := newFixture(t)
	code, out, errOut := b.run("publish", "--key", b.key, "--platform", "127.0.0.1:9", b.editedFile(markLeaving(0)))
	require.Equal(t, ctl.ExitOK, code, errOut)
	assert.Equal(t, "version 2 is published; your changes:\n~ /targets/catalogue-a1/leaving: false -> true\n", out)
	d, version := b.publishedDocument()
	assert.True(t, d.Targets[0].Leaving)
	assert.Equal(t, uint64(2), version)
	assert.Equal(t, uint64(2), d.Version)
	assert.Equal(t, "127.0.0.1:9", b.lastConnection.Platform)
	assert.Len(t, b.lastConnection.Key, ed25519.PrivateKeySize)
}

// The first document has nothing to be compared with.
func TestPublishFirst(t *testing.T) {
	b := newFixture(t)
	b.publisher.SetDocument(nil, 0)
	code, out, errOut := b.run("publish", "--key", b.key, "../../demo/policy.json")
	require.Equal(t, ctl.ExitOK, code, errOut)
	assert.Contains(t, out, "version 1 is published")
	code, out, _ = b.run("publish", "--key", b.key, "../../demo/policy.json")
	assert.Equal(t, ctl.ExitOK, code)
	assert.Contains(t, out, "no changes; nothing was published")
	assert.Equal(t, 1, b.publisher.Writes())
}

// Publishing must fail without an acceptable key.
func TestPublishNeedsKey(t *testing.T) {
	b := newFixture(t)
	file := b.editedFile(markLeaving(0))
	key, err := os.ReadFile(b.key)
	require.NoError(t, err)
	readable := b.file("readable.pem", key)
	require.NoError(t, os.Chmod(readable, 0o644))
	for _, args := range [][]string{
		{"publish", file},
		{"publish", "--key", filepath.Join(b.dir, "none"), file},
		{"publish", "--key", b.file("wrong.pem", []byte("x")), file},
		{"publish", "--key", readable, file},
		{"drain", "--target", "catalogue-a1"},
	} {
		code, _, errOut := b.run(args...)
		assert.Equal(t, ctl.ExitNoKey, code, errOut)
	}
	b.publisher.SetFault(ctltest.KeyNotAllowed)
	code, _, _ := b.run("publish", "--key", b.key, file)
	assert.Equal(t, ctl.ExitNoKey, code)
	_, version := b.publishedDocument()
	assert.Equal(t, uint64(1), version)
}

// An invalid document must not reach the platform.
func TestPublishRejectsInvalid(t *testing.T) {
	b := newFixture(t)
	code, _, _ := b.run("publish", "--key", b.key, b.editedFile(func(d *policy.Document) { d.Targets[0].Service = "x" }))
	assert.Equal(t, ctl.ExitInvalid, code)
	assert.Zero(t, b.publisher.Writes())
}

func TestPublishUnavailable(t *testing.T) {
	b := newFixture(t)
	b.publisher.SetFault(ctltest.Unavailable)
	code, _, _ := b.run("publish", "--key", b.key, b.editedFile(markLeaving(0)))
	assert.Equal(t, ctl.ExitUnavailable, code)
}

// A lost race must show the other change and must not overwrite it.
func TestLostRaceIsShown(t *testing.T) {
	b := newFixture(t)
	file := b.editedFile(markLeaving(0))
	b.publishAsOther(markLeaving(1))
	code, _, errOut := b.run("publish", "--key", b.key, file)
	assert.Equal(t, ctl.ExitLostRace, code)
	assert.Contains(t, errOut, "version 2; its changes:\n~ /targets/catalogue-a2/leaving: false -> true\n")
	assert.Contains(t, errOut, "your changes, not published:\n~ /targets/catalogue-a1/leaving: false -> true\n")
	assert.Contains(t, errOut, "--merge")
	d, version := b.publishedDocument()
	assert.Equal(t, uint64(2), version)
	assert.False(t, d.Targets[0].Leaving)

	// The file is still there; with its base, both edits can be published.
	base := b.file("base.json", encode(t, demoDocument(t), 1))
	code, out, errOut := b.run("publish", "--key", b.key, "--base", base, "--merge", file)
	require.Equal(t, ctl.ExitOK, code, errOut)
	assert.Contains(t, out, "version 3 is published")
	d, _ = b.publishedDocument()
	assert.True(t, d.Targets[0].Leaving)
	assert.True(t, d.Targets[1].Leaving)
}

// Merging must keep both edits in one call.
func TestLostRaceIsMerged(t *testing.T) {
	b := newFixture(t)
	file := b.editedFile(markLeaving(0))
	b.publishAsOther(markLeaving(1))
	code, out, errOut := b.run("publish", "--key", b.key, "--merge", "--output", "json", file)
	require.Equal(t, ctl.ExitOK, code, errOut)
	var published ctl.Published
	require.NoError(t, json.Unmarshal([]byte(out), &published))
	assert.Equal(t, uint64(3), published.Version)
	require.Len(t, published.Theirs, 1)
	assert.Equal(t, "/targets/catalogue-a2/leaving", published.Theirs[0].Path)
	d, _ := b.publishedDocument()
	assert.True(t, d.Targets[0].Leaving && d.Targets[1].Leaving)
}

// Conflicting edits must be reported by object, even with --merge.
func TestLostRaceConflict(t *testing.T) {
	b := newFixture(t)
	file := b.editedFile(func(d *policy.Document) { d.Targets[0].Slots = 6 })
	b.publishAsOther(func(d *policy.Document) { d.Targets[0].Slots = 7 })
	code, out, _ := b.run("publish", "--key", b.key, "--merge", "--output", "json", file)
	assert.Equal(t, ctl.ExitLostRace, code)
	var report struct {
		LostRace struct {
			Version   uint64
			Mergeable bool
			Conflicts []policy.Conflict
		}
	}
	require.NoError(t, json.Unmarshal([]byte(out), &report))
	assert.Equal(t, uint64(2), report.LostRace.Version)
	assert.False(t, report.LostRace.Mergeable)
	require.Len(t, report.LostRace.Conflicts, 1)
	assert.Equal(t, "/targets/catalogue-a1", report.LostRace.Conflicts[0].Path)
	d, _ := b.publishedDocument()
	assert.Equal(t, 7, d.Targets[0].Slots)
}

// Two edits that are valid apart but not together must not be merged.
func TestLostRaceInvalidTogether(t *testing.T) {
	b := newFixture(t)
	file := b.editedFile(func(d *policy.Document) { d.Targets[0].Domain = "palermo-b" })
	b.publishAsOther(func(d *policy.Document) {
		d.Regions[0].Domains = []string{"palermo-a"}
		d.Sites, d.Blocks, d.Targets = d.Sites[:1], d.Blocks[:1], d.Targets[:4]
	})
	code, _, errOut := b.run("publish", "--key", b.key, "--merge", file)
	assert.Equal(t, ctl.ExitLostRace, code)
	assert.Contains(t, errOut, "both together are not valid")
	assert.Equal(t, 1, b.publisher.Writes())
}

// Without the base, an old file must not be published over a newer document.
func TestPublishStaleFile(t *testing.T) {
	b := newFixture(t)
	file := b.editedFile(markLeaving(0))
	d := demoDocument(t)
	markLeaving(1)(d)
	b.publisher.SetDocument(encode(t, d, 2), 2)
	code, _, errOut := b.run("publish", "--key", b.key, file)
	assert.Equal(t, ctl.ExitLostRace, code)
	assert.Contains(t, errOut, "based on version 1, but version 2 is published")
	assert.Contains(t, errOut, "--base")
	assert.Zero(t, b.publisher.Writes())
}

// An uncertain write must be settled by reading, never by a second write.
func TestUncertainWrite(t *testing.T) {
	for _, c := range []struct {
		name  string
		fault ctltest.Fault
		code  int
		text  string
	}{
		{"took effect", ctltest.LostResponse, ctl.ExitOK, "reading back showed that it took effect"},
		{"did not", ctltest.LostRequest, ctl.ExitUndecided, "may still do so"},
	} {
		t.Run(c.name, func(t *testing.T) {
			b := newFixture(t)
			b.publisher.SetFault(c.fault)
			code, out, errOut := b.run("publish", "--key", b.key, b.editedFile(markLeaving(0)))
			assert.Equal(t, c.code, code)
			assert.Contains(t, out+errOut, c.text)
			assert.Equal(t, 1, b.publisher.Writes())
		})
	}
}

// A write of unknown outcome that lost to another operator is a lost race.
func TestUncertainThenRace(t *testing.T) {
	b := newFixture(t)
	b.publisher.SetFault(ctltest.LostRequest)
	b.publishAsOther(markLeaving(1))
	code, _, errOut := b.run("publish", "--key", b.key, b.editedFile(markLeaving(0)))
	assert.Equal(t, ctl.ExitLostRace, code)
	assert.Contains(t, errOut, "/targets/catalogue-a2/leaving")
	assert.Equal(t, 1, b.publisher.Writes())
}

func TestDrain(t *testing.T) {
	b := newFixture(t)
	b.publishAsOther(markLeaving(1))
	code, _, errOut := b.run("drain", "--key", b.key, "--target", "catalogue-a1")
	require.Equal(t, ctl.ExitOK, code, errOut)
	d, version := b.publishedDocument()
	assert.Equal(t, uint64(3), version)
	assert.True(t, d.Targets[0].Leaving && d.Targets[1].Leaving)

	code, _, _ = b.run("drain", "--key", b.key, "--target", "catalogue-a1", "--undo")
	assert.Equal(t, ctl.ExitOK, code)
	code, _, _ = b.run("drain", "--key", b.key, "--instance", "palermo-a-1")
	assert.Equal(t, ctl.ExitOK, code)
	code, out, _ := b.run("drain", "--key", b.key, "--instance", "palermo-a-1")
	assert.Equal(t, ctl.ExitOK, code)
	assert.Contains(t, out, "no changes")
	d, version = b.publishedDocument()
	assert.Equal(t, uint64(5), version)
	assert.False(t, d.Targets[0].Leaving)
	assert.Equal(t, []string{"palermo-a-1"}, d.LeavingInstances)

	code, _, errOut = b.run("drain", "--key", b.key, "--target", "catalogue-1a")
	assert.Equal(t, ctl.ExitFailure, code)
	assert.Contains(t, errOut, "there is no target")
}

// The console accepts what sign prints, for a digest as for a file.
func TestSign(t *testing.T) {
	b := newFixture(t)
	code, out, _ := b.run("keygen", "--key", filepath.Join(b.dir, "new.pem"))
	require.Equal(t, ctl.ExitOK, code)
	public, err := configsync.ParseKeys([]string{strings.TrimSpace(out)})
	require.NoError(t, err)
	doc := encode(t, demoDocument(t), 2)
	digest, err := configsync.Digest(doc)
	require.NoError(t, err)
	_, fromDigest, _ := b.run("sign", "--key", filepath.Join(b.dir, "new.pem"), "--digest", hex.EncodeToString(digest[:]))
	_, fromFile, _ := b.run("sign", "--key", filepath.Join(b.dir, "new.pem"), b.file("doc", doc))
	assert.Equal(t, fromDigest, fromFile)
	signature, err := base64.StdEncoding.DecodeString(strings.TrimSpace(fromDigest))
	require.NoError(t, err)
	_, ok := ctl.Verify(public, digest, signature)
	assert.True(t, ok)
	other, err := configsync.Digest(encode(t, demoDocument(t), 3))
	require.NoError(t, err)
	_, ok = ctl.Verify(public, other, signature)
	assert.False(t, ok, "a signature must not hold for another version")
	code, _, _ = b.run("sign", "--key", filepath.Join(b.dir, "new.pem"), b.file("draft", encode(t, demoDocument(t), 0)))
	assert.Equal(t, ctl.ExitInvalid, code, "a document without a version cannot be signed")
	code, _, _ = b.run("keygen", "--key", filepath.Join(b.dir, "new.pem"))
	assert.Equal(t, ctl.ExitFailure, code, "an existing key must not be overwritten")
}

// An instance that lags or does not answer must not go unnoticed.
func TestStatus(t *testing.T) {
	b := newFixture(t)
	serve := func(body string) string {
		s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			assert.Equal(t, "/status", r.URL.Path)
			_, _ = w.Write([]byte(body))
		}))
		t.Cleanup(s.Close)
		return s.Listener.Addr().String()
	}
	current := serve(`{"name": "palermo-a-1", "domain": "palermo-a", "version": 1, "leaving": true, "inFlight": 7}`)
	old := serve(`{"name": "palermo-a-2", "domain": "palermo-a", "version": 0}`)
	broken := serve(`no JSON`)

	code, out, _ := b.run("status", current)
	assert.Equal(t, ctl.ExitOK, code)
	assert.Contains(t, out, "published version 1")
	assert.Contains(t, out, "palermo-a-1")

	code, out, errOut := b.run("status", "--output", "json", current, old, broken)
	assert.Equal(t, ctl.ExitNotInForce, code)
	assert.Contains(t, errOut, "version 1 is not in force at "+old+", "+broken)
	var status ctl.Status
	require.NoError(t, json.Unmarshal([]byte(out), &status))
	require.Len(t, status.Instances, 3)
	assert.True(t, status.Instances[0].Leaving)
	assert.Equal(t, int64(7), status.Instances[0].InFlight)
	assert.NotEmpty(t, status.Instances[2].Error)
}
