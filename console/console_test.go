package console_test

import (
	"bufio"
	"bytes"
	"context"
	"crypto/ed25519"
	"encoding/base64"
	"encoding/hex"
	"fmt"
	"html"
	"io"
	"mime/multipart"
	"net"
	"net/http"
	"net/http/cookiejar"
	"net/url"
	"os"
	"regexp"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/cloudwego/hertz/pkg/app/server"
	"github.com/cloudwego/hertz/pkg/common/hlog"
	"github.com/cloudwego/hertz/pkg/network/standard"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/jacinthstall/jacinthstall/console"
	"github.com/jacinthstall/jacinthstall/internal/ctl"
	"github.com/jacinthstall/jacinthstall/internal/ctl/ctltest"
	"github.com/jacinthstall/jacinthstall/policy"
)

// fixture is a console on loopback with a fake publisher.
type fixture struct {
	t         *testing.T
	url       string
	publisher *ctltest.Publisher
	key       ed25519.PrivateKey

	mu          sync.Mutex
	now         time.Time
	onClockRead func()        // Called when the console reads the time, which is when it looks for a draft.
	signature   ctl.Signature // Of the last publication.
}

func newFixture(t *testing.T) *fixture {
	t.Helper()
	return newFixtureWithKeys(t, []ed25519.PublicKey{operatorKey.Public().(ed25519.PublicKey)})
}

var operatorKey = ed25519.NewKeyFromSeed(make([]byte, ed25519.SeedSize))

func newFixtureWithKeys(t *testing.T, keys []ed25519.PublicKey) *fixture {
	t.Helper()
	b := &fixture{t: t, key: operatorKey, now: time.Unix(0, 0)}
	b.publisher = ctltest.New(encode(t, demoDocument(t), 1), 1)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	hlog.SetLevel(hlog.LevelFatal)
	h := server.New(append(console.ServerOptions(),
		server.WithListener(listener),
		server.WithTransport(standard.NewTransporter),
		server.WithExitWaitTime(time.Millisecond),
		server.WithDisablePrintRoute(true),
	)...)
	require.NoError(t, console.Register(h, console.Options{
		Reader: b.publisher,
		NewPublisher: func(_ context.Context, s ctl.Signature) (ctl.Publisher, error) {
			b.mu.Lock()
			defer b.mu.Unlock()
			b.signature = s
			return b.publisher, nil
		},
		OperatorKeys: keys,
		Now: func() time.Time {
			b.mu.Lock()
			defer b.mu.Unlock()
			if b.onClockRead != nil {
				b.onClockRead()
			}
			return b.now
		},
		Log: &log.Logger{Handler: discard.Default},
	}))
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		_ = h.Run()
	}()
	t.Cleanup(func() {
		_ = h.Shutdown(context.Background())
		<-ended
	})
	b.url = "http://" + listener.Addr().String()
	return b
}

// browser is one operator's session.
type browser struct {
	*fixture
	client *http.Client
}

func (b *fixture) browser() *browser {
	jar, err := cookiejar.New(nil)
	require.NoError(b.t, err)
	return &browser{fixture: b, client: &http.Client{Jar: jar, Timeout: 30 * time.Second}}
}

func (b *browser) do(request *http.Request) (int, string) {
	b.t.Helper()
	response, err := b.client.Do(request)
	require.NoError(b.t, err)
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	require.NoError(b.t, err)
	return response.StatusCode, string(body)
}

func (b *browser) get(path string) (int, string) {
	b.t.Helper()
	request, err := http.NewRequest(http.MethodGet, b.url+path, nil)
	require.NoError(b.t, err)
	return b.do(request)
}

var tokenPattern = regexp.MustCompile(`name="token" value="([0-9a-f]+)"`)

func (b *browser) token() string {
	b.t.Helper()
	_, page := b.get("/console")
	match := tokenPattern.FindStringSubmatch(page)
	require.NotNil(b.t, match, page)
	return match[1]
}

func (b *browser) post(path string, values map[string]string) (int, string) {
	b.t.Helper()
	return b.postWith(b.token(), path, values)
}

func (b *browser) postWith(token, path string, values map[string]string) (int, string) {
	b.t.Helper()
	form := url.Values{"token": {token}}
	for name, value := range values {
		form.Set(name, value)
	}
	request, err := http.NewRequest(http.MethodPost, b.url+path, strings.NewReader(form.Encode()))
	require.NoError(b.t, err)
	request.Header.Set("Content-Type", "application/x-www-form-urlencoded")
	request.Header.Set("Origin", b.url)
	return b.do(request)
}

// startEdit starts an edit.
func (b *fixture) startEdit() *browser {
	b.t.Helper()
	browser := b.browser()
	status, page := browser.post("/console/draft", nil)
	require.Equal(b.t, 200, status, page)
	require.Contains(b.t, page, "based on version 1")
	return browser
}

func (b *browser) importFile(src []byte) (int, string) {
	b.t.Helper()
	var body bytes.Buffer
	form := multipart.NewWriter(&body)
	require.NoError(b.t, form.WriteField("token", b.token()))
	part, err := form.CreateFormFile("document", "mine.json")
	require.NoError(b.t, err)
	_, err = part.Write(src)
	require.NoError(b.t, err)
	require.NoError(b.t, form.Close())
	request, err := http.NewRequest(http.MethodPost, b.url+"/console/import", &body)
	require.NoError(b.t, err)
	request.Header.Set("Content-Type", form.FormDataContentType())
	return b.do(request)
}

// saveTarget changes the slots of a target of the demo.
func (b *browser) saveTarget(name, slots string, leaving bool) {
	b.t.Helper()
	status, page := b.post("/console/edit/targets", targetForm(b.t, name, slots, leaving))
	require.Equal(b.t, 200, status, page)
}

func targetForm(t *testing.T, name, slots string, leaving bool) map[string]string {
	for _, target := range demoDocument(t).Targets {
		if target.Name != name {
			continue
		}
		form := map[string]string{"key": name, "action": "save", "field-name": name, "field-service": target.Service,
			"field-domain": target.Domain, "field-address": target.Address, "field-slots": slots,
			"field-connections": fmt.Sprint(target.Connections)}
		if leaving {
			form["field-leaving"] = "true"
		}
		return form
	}
	t.Fatalf("no target %s", name)
	return nil
}

var digestPattern = regexp.MustCompile(`<span id="digest">([0-9a-f]{64})</span>`)

func (b *browser) digest() string {
	b.t.Helper()
	_, page := b.get("/console/review")
	match := digestPattern.FindStringSubmatch(page)
	require.NotNil(b.t, match, page)
	return match[1]
}

func (b *browser) sign(key ed25519.PrivateKey, digest string) map[string]string {
	b.t.Helper()
	raw, err := hex.DecodeString(digest)
	require.NoError(b.t, err)
	signature := ctl.Sign(key, [32]byte(raw))
	return map[string]string{"digest": digest, "signature": base64.StdEncoding.EncodeToString(signature)}
}

// publish reviews, signs and publishes.
func (b *browser) publish() (int, string) {
	b.t.Helper()
	return b.post("/console/publish", b.sign(b.key, b.digest()))
}

func (b *fixture) publishedDocument() (*policy.Document, uint64) {
	b.t.Helper()
	src, version, err := b.publisher.Current(context.Background())
	require.NoError(b.t, err)
	d, err := policy.Parse("current", src)
	require.NoError(b.t, err)
	return d, version
}

func (b *fixture) publishAsOther(edit func(*policy.Document)) {
	d := demoDocument(b.t)
	edit(d)
	b.publisher.SetDocument(encode(b.t, d, 2), 2)
}

func demoDocument(t *testing.T) *policy.Document {
	t.Helper()
	src, err := os.ReadFile("../demo/policy.json")
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

// The whole way from a form to the published document must work.
func TestPublishFromForms(t *testing.T) {
	b := newFixture(t).startEdit()
	b.saveTarget("catalogue-a1", "7", true)
	for _, c := range []struct {
		section string
		form    map[string]string
	}{
		{"services", map[string]string{"field-name": "archive", "field-pathPrefix": "/archive", "field-idempotent": "true", "field-maxQueueMs": "100"}},
		{"regions", map[string]string{"field-name": "catania", "field-domains": "catania-a, catania-b"}},
		{"links", map[string]string{"field-from": "palermo", "field-to": "catania", "field-capMbit": "4000"}},
		{"moves", map[string]string{"field-service": "archive", "field-from": "palermo", "field-to": "catania", "field-percent": "10", "field-capMbit": "500"}},
		{"sites", map[string]string{"field-name": "catania-a", "field-domain": "catania-a", "field-regions": "catania,palermo"}},
		{"blocks", map[string]string{"field-prefix": "11.0.0.0/8", "field-site": "catania-a"}},
		{"instances", map[string]string{"field-name": "palermo-a-1"}},
		{"general", map[string]string{"field-logLevel": "debug", "field-lookupTtlMs": "500", "field-defaultDeadlineMs": "5000", "field-maxDeadlineMs": "30000"}},
		{"targets", map[string]string{"key": "catalogue-b2", "action": "remove"}},
	} {
		status, page := b.post("/console/edit/"+c.section, c.form)
		require.Equal(t, 200, status, page)
	}
	_, version := b.publishedDocument()
	require.Equal(t, uint64(1), version, "nothing is published before the review")

	_, review := b.get("/console/review")
	assert.Contains(t, review, "~ /targets/catalogue-a1/slots: 5 -&gt; 7")
	status, page := b.publish()
	require.Equal(t, 200, status, page)
	assert.Contains(t, page, "Version 2 is published.")

	var got []string
	d, version := b.publishedDocument()
	assert.Equal(t, uint64(2), version)
	for _, change := range policy.Diff(demoDocument(t), d) {
		got = append(got, fmt.Sprint(change.Kind, " ", change.Path))
	}
	assert.Equal(t, []string{
		"changed /logLevel", "changed /timing/lookupTtlMs", "added /regions/catania", "added /links/palermo>catania",
		"added /sites/catania-a", "added /services/archive", "removed /targets/catalogue-b2",
		"changed /targets/catalogue-a1/slots", "changed /targets/catalogue-a1/leaving",
		"added /moves/archive:palermo>catania", "added /blocks/11.0.0.0~18", "added /leavingInstances/palermo-a-1",
	}, got)
	assert.Equal(t, b.key.Public(), b.signature.Key)
}

// A wrong form must be explained and must not change the edit.
func TestFormErrors(t *testing.T) {
	b := newFixture(t).startEdit()
	for _, c := range []struct {
		path   string
		form   map[string]string
		status int
		text   string
	}{
		{"/console/edit/targets", targetForm(t, "catalogue-a1", "many", false), 422, `slots must be a whole number`},
		{"/console/edit/targets", map[string]string{"key": "gone", "action": "remove"}, 404, "any more"},
		{"/console/edit/instances", map[string]string{"key": "gone", "field-name": "x"}, 404, "any more"},
		{"/console/edit/blocks", map[string]string{"field-prefix": "10.0.0.0/9", "field-site": "x"}, 409, "exists already"},
		{"/console/edit/general", map[string]string{"action": "remove"}, 405, "cannot be removed"},
		{"/console/edit/none", nil, 404, "no such page"},
		{"/console/resolve", map[string]string{"choice": "mine"}, 409, "no conflict"},
		{"/console/readback", nil, 409, "no write of unknown outcome"},
		{"/console/abandon", nil, 409, "no write of unknown outcome"},
		{"/console/import", nil, 400, "choose a file"},
	} {
		status, page := b.post(c.path, c.form)
		assert.Equal(t, c.status, status, c.path)
		assert.Contains(t, html.UnescapeString(page), c.text)
	}
	_, review := b.get("/console/review")
	assert.Contains(t, review, "There are no changes.")
}

// An invalid document must not be offered for publishing.
func TestReviewShowsFindings(t *testing.T) {
	b := newFixture(t).startEdit()
	b.saveTarget("catalogue-a1", "0", false)
	_, review := b.get("/console/review")
	assert.Contains(t, review, "/targets/0/slots: 0 is not between 1 and 10000")
	assert.NotContains(t, review, `id="digest"`)
	status, _ := b.post("/console/publish", map[string]string{"digest": "", "signature": ""})
	assert.Equal(t, 422, status)
	assert.Zero(t, b.publisher.Writes())
}

// A form that is sent twice at the same time must write once.
func TestPublishTwiceAtOnce(t *testing.T) {
	b := newFixture(t).startEdit()
	b.saveTarget("catalogue-a1", "7", false)
	signed := b.sign(b.key, b.digest())
	token := b.token()
	statuses := make(chan int, 2)
	var second sync.WaitGroup
	b.publisher.BeforeNextWrite(func() {
		found := make(chan struct{})
		b.mu.Lock()
		b.onClockRead = sync.OnceFunc(func() { close(found) })
		b.mu.Unlock()
		second.Go(func() {
			status, _ := b.postWith(token, "/console/publish", signed)
			statuses <- status
		})
		<-found // The second request has found the draft and waits for the first.
	})
	status, _ := b.post("/console/publish", signed)
	statuses <- status
	second.Wait()
	assert.ElementsMatch(t, []int{200, 409}, []int{<-statuses, <-statuses})
	assert.Equal(t, 1, b.publisher.Writes())
}

// Only a signature of exactly this document by an operator may publish it.
func TestPublishNeedsSignature(t *testing.T) {
	b := newFixture(t).startEdit()
	b.saveTarget("catalogue-a1", "7", false)
	digest := b.digest()
	stranger := ed25519.NewKeyFromSeed(bytes.Repeat([]byte{1}, ed25519.SeedSize))
	otherDocument := b.sign(b.key, strings.Repeat("0", 64))
	otherDocument["digest"] = digest
	for name, c := range map[string]struct {
		form   map[string]string
		status int
	}{
		"none":           {map[string]string{"digest": digest}, 403},
		"no base64":      {map[string]string{"digest": digest, "signature": "?"}, 400},
		"stranger":       {b.sign(stranger, digest), 403},
		"other document": {otherDocument, 403},
		"other digest":   {b.sign(b.key, strings.Repeat("0", 64)), 409},
	} {
		status, page := b.post("/console/publish", c.form)
		assert.Equal(t, c.status, status, "%s: %s", name, page)
	}
	signed := b.sign(b.key, digest)
	b.saveTarget("catalogue-a1", "8", false)
	status, page := b.post("/console/publish", signed)
	assert.Equal(t, 409, status)
	assert.Contains(t, page, "has changed since it was signed")
	assert.Zero(t, b.publisher.Writes())
}

// A lost race must show the other change and keep both.
func TestLostRaceMerges(t *testing.T) {
	b := newFixture(t).startEdit()
	b.saveTarget("catalogue-a1", "7", false)
	signed := b.sign(b.key, b.digest())
	b.publishAsOther(func(d *policy.Document) { d.Targets[1].Leaving = true })
	status, page := b.post("/console/publish", signed)
	assert.Equal(t, 409, status)
	assert.Contains(t, page, "Another operator has published version 2")
	assert.Contains(t, page, "~ /targets/catalogue-a2/leaving: false -&gt; true")
	assert.Contains(t, page, "~ /targets/catalogue-a1/slots: 5 -&gt; 7")

	status, _ = b.post("/console/publish", signed)
	assert.Equal(t, 409, status, "the old signature is for another document")
	status, page = b.publish()
	require.Equal(t, 200, status, page)
	d, version := b.publishedDocument()
	assert.Equal(t, uint64(3), version)
	assert.Equal(t, 7, d.Targets[0].Slots)
	assert.True(t, d.Targets[1].Leaving)
}

// A conflict must stop publishing until the operator has chosen.
func TestLostRaceConflict(t *testing.T) {
	for choice, want := range map[string]int{"mine": 7, "theirs": 9} {
		t.Run(choice, func(t *testing.T) {
			b := newFixture(t).startEdit()
			b.saveTarget("catalogue-a1", "7", false)
			b.saveTarget("catalogue-a2", "6", false)
			signed := b.sign(b.key, b.digest())
			b.publishAsOther(func(d *policy.Document) { d.Targets[0].Slots = 9 })
			status, page := b.post("/console/publish", signed)
			assert.Equal(t, 409, status)
			assert.Contains(t, page, "<li>/targets/catalogue-a1</li>")
			assert.NotContains(t, page, `id="digest"`)
			status, _ = b.post("/console/publish", signed)
			assert.Equal(t, 409, status)
			assert.Equal(t, 1, b.publisher.Writes())
			status, _ = b.post("/console/resolve", map[string]string{"choice": "both"})
			assert.Equal(t, 400, status)

			status, page = b.post("/console/resolve", map[string]string{"choice": choice})
			require.Equal(t, 200, status, page)
			status, page = b.publish()
			require.Equal(t, 200, status, page)
			d, version := b.publishedDocument()
			assert.Equal(t, uint64(3), version)
			assert.Equal(t, want, d.Targets[0].Slots)
			assert.Equal(t, 6, d.Targets[1].Slots)
		})
	}
}

// A lost response must be settled by reading, without a second write.
func TestUncertainWriteTookEffect(t *testing.T) {
	b := newFixture(t).startEdit()
	b.saveTarget("catalogue-a1", "7", false)
	b.publisher.SetFault(ctltest.LostResponse)
	status, page := b.publish()
	assert.Equal(t, 200, status)
	assert.Contains(t, page, "reading back showed that it took effect")
	assert.Equal(t, 1, b.publisher.Writes())
}

// A write that may still take effect must block the edit and never be repeated
// without the operator's decision.
func TestUncertainWriteStaysPending(t *testing.T) {
	b := newFixture(t).startEdit()
	b.saveTarget("catalogue-a1", "7", false)
	signed := b.sign(b.key, b.digest())
	b.publisher.SetFault(ctltest.LostRequest)
	status, page := b.post("/console/publish", signed)
	assert.Equal(t, 202, status)
	assert.Contains(t, page, "outcome of the write is unknown")
	assert.NotContains(t, page, `id="digest"`)

	status, _ = b.post("/console/publish", signed)
	assert.Equal(t, 409, status)
	status, _ = b.post("/console/edit/targets", targetForm(t, "catalogue-a1", "8", false))
	assert.Equal(t, 409, status)
	status, page = b.post("/console/readback", nil)
	assert.Equal(t, 202, status)
	assert.Contains(t, page, "outcome of the write is unknown")
	assert.Equal(t, 1, b.publisher.Writes())

	status, _ = b.post("/console/abandon", nil)
	assert.Equal(t, 200, status)
	status, page = b.publish()
	require.Equal(t, 200, status, page)
	assert.Equal(t, 2, b.publisher.Writes())
}

// A delayed write that takes effect must be recognised as the operator's own.
func TestUncertainWriteIsReadBackLater(t *testing.T) {
	b := newFixture(t).startEdit()
	b.saveTarget("catalogue-a1", "7", false)
	b.publisher.SetFault(ctltest.LostRequest)
	status, _ := b.publish()
	require.Equal(t, 202, status)
	b.publishAsOther(func(d *policy.Document) { d.Targets[0].Slots = 7 })
	status, page := b.post("/console/readback", nil)
	assert.Equal(t, 200, status)
	assert.Contains(t, page, "Version 2 is published.")
	assert.Equal(t, 1, b.publisher.Writes())
}

// A pending write that lost to another operator must become a lost race.
func TestUncertainWriteLost(t *testing.T) {
	b := newFixture(t).startEdit()
	b.saveTarget("catalogue-a1", "7", false)
	b.publisher.SetFault(ctltest.LostRequest)
	status, _ := b.publish()
	require.Equal(t, 202, status)
	b.publishAsOther(func(d *policy.Document) { d.LogLevel = "debug" })
	status, page := b.post("/console/readback", nil)
	assert.Equal(t, 409, status)
	assert.Contains(t, page, "/logLevel")
	status, page = b.publish()
	require.Equal(t, 200, status, page)
	d, _ := b.publishedDocument()
	assert.Equal(t, "debug", d.LogLevel)
	assert.Equal(t, 7, d.Targets[0].Slots)
}

// An outage must keep the edit.
func TestPlatformUnavailable(t *testing.T) {
	b := newFixture(t).startEdit()
	b.saveTarget("catalogue-a1", "7", false)
	signed := b.sign(b.key, b.digest())
	b.publisher.SetFault(ctltest.Unavailable)
	status, page := b.post("/console/publish", signed)
	assert.Equal(t, 503, status)
	assert.Contains(t, page, "platform unavailable")
	status, page = b.browser().post("/console/draft", nil)
	assert.Equal(t, 503, status, page)
	b.publisher.SetFault(ctltest.None)
	status, page = b.post("/console/publish", signed)
	assert.Equal(t, 200, status, page)
}

// A published document that current rules reject must still be replaceable.
func TestEditOfInvalidDocument(t *testing.T) {
	bench := newFixture(t)
	d := demoDocument(t)
	d.Targets[0].Slots = 0
	bench.publisher.SetDocument(encode(t, d, 1), 1)
	b := bench.startEdit()
	b.saveTarget("catalogue-a1", "7", false)
	status, page := b.publish()
	require.Equal(t, 200, status, page)
	published, _ := b.publishedDocument()
	assert.Equal(t, 7, published.Targets[0].Slots)
}

// An import must be checked as a whole and must not replace the edit when it
// is wrong.
func TestImportAndExport(t *testing.T) {
	b := newFixture(t).startEdit()
	b.saveTarget("catalogue-a1", "7", false)
	status, page := b.importFile([]byte(`{"version": 1, "logLevel": "<b>"}`))
	assert.Equal(t, 422, status)
	assert.Contains(t, page, "mine.json:1:28: /logLevel: &#34;&lt;b&gt;&#34; is not a log level")
	assert.NotContains(t, page, "<b>")
	_, exported := b.get("/console/export")
	d, err := policy.Parse("exported", []byte(exported))
	require.NoError(t, err)
	assert.Equal(t, 7, d.Targets[0].Slots)

	d.Targets[0].Slots = 9
	status, page = b.importFile(encode(t, d, 0))
	assert.Equal(t, 200, status)
	assert.Contains(t, page, "~ /targets/catalogue-a1/slots: 5 -&gt; 9")
	status, page = b.publish()
	require.Equal(t, 200, status, page)
	published, _ := b.publishedDocument()
	assert.Equal(t, 9, published.Targets[0].Slots)
}

// Values of a document must not become markup.
func TestOutputIsEscaped(t *testing.T) {
	b := newFixture(t).startEdit()
	const attack = `"><script>alert(1)</script>`
	status, page := b.post("/console/edit/services", map[string]string{"field-name": attack, "field-pathPrefix": attack, "field-maxQueueMs": "1", "filter": attack})
	assert.Equal(t, 200, status)
	_, review := b.get("/console/review")
	_, missing := b.post("/console/edit/services", map[string]string{"key": attack + "x", "action": "remove"})
	for _, p := range []string{page, review, missing} {
		assert.NotContains(t, p, "<script>")
		assert.Contains(t, p, "&lt;script&gt;")
	}
}

// Another site must not be able to act in an operator's session.
func TestCrossSiteRequests(t *testing.T) {
	b := newFixture(t).startEdit()
	token := b.token()
	for name, c := range map[string]struct {
		token  string
		header [2]string
		status int
	}{
		"own":                      {token, [2]string{"Origin", b.url}, 200},
		"no token":                 {"", [2]string{"Origin", b.url}, 403},
		"token of another session": {b.fixture.browser().token(), [2]string{"Origin", b.url}, 403},
		"other origin":             {token, [2]string{"Origin", "http://evil.example"}, 403},
		"null origin":              {token, [2]string{"Origin", "null"}, 403},
		"cross-site fetch":         {token, [2]string{"Sec-Fetch-Site", "cross-site"}, 403},
		"foreign host name":        {token, [2]string{"Host", "evil.example"}, 403},
	} {
		form := url.Values{"token": {c.token}, "field-name": {"i1"}, "key": {""}, "action": {"save"}}
		if name == "own" {
			form.Set("field-name", "i2")
		}
		request, err := http.NewRequest(http.MethodPost, b.url+"/console/edit/instances", strings.NewReader(form.Encode()))
		require.NoError(t, err)
		request.Header.Set("Content-Type", "application/x-www-form-urlencoded")
		request.Header.Set(c.header[0], c.header[1])
		if c.header[0] == "Host" {
			request.Host = c.header[1]
		}
		status, page := b.do(request)
		assert.Equal(t, c.status, status, "%s: %s", name, page)
	}
	_, exported := b.get("/console/export")
	assert.NotContains(t, exported, "i1\"")
	assert.Contains(t, exported, `"i2"`)
}

// The cookie and the headers must keep scripts and other sites out.
func TestSecurityHeaders(t *testing.T) {
	b := newFixture(t)
	response, err := http.Get(b.url + "/console")
	require.NoError(t, err)
	defer response.Body.Close()
	assert.Contains(t, response.Header.Get("Content-Security-Policy"), "default-src 'none'")
	assert.Contains(t, response.Header.Get("Content-Security-Policy"), "frame-ancestors 'none'")
	assert.Equal(t, "nosniff", response.Header.Get("X-Content-Type-Options"))
	assert.Equal(t, "no-store", response.Header.Get("Cache-Control"))
	require.Len(t, response.Cookies(), 1)
	assert.True(t, response.Cookies()[0].HttpOnly)
	assert.Equal(t, http.SameSiteStrictMode, response.Cookies()[0].SameSite)
}

// A large form must be rejected, also when it does not state its length.
func TestBodyBounds(t *testing.T) {
	b := newFixture(t).startEdit()
	status, _ := b.post("/console/edit/instances", map[string]string{"field-name": strings.Repeat("x", console.MaxFormBytes)})
	assert.Equal(t, 413, status)
	assert.Equal(t, 411, b.statusWithoutLength("/console/discard", "token="+strings.Repeat("x", console.MaxFormBytes)))
}

// statusWithoutLength posts a form of unstated length. The server answers
// before it has read the body and closes, so the client may see a reset in
// place of the answer; then the form is sent again.
func (b *browser) statusWithoutLength(path, form string) int {
	b.t.Helper()
	for range 100 {
		request, err := http.NewRequest(http.MethodPost, b.url+path, io.MultiReader(strings.NewReader(form)))
		require.NoError(b.t, err)
		request.Header.Set("Content-Type", "application/x-www-form-urlencoded")
		response, err := b.client.Do(request)
		if err != nil {
			continue
		}
		_ = response.Body.Close()
		return response.StatusCode
	}
	b.t.Fatal("no answer")
	return 0
}

// The file of an import that another site sends must not be read: it is larger
// than all that a peer may make the instance keep. The server answers before
// the file has arrived.
func TestImportIsCheckedBeforeItIsRead(t *testing.T) {
	b := newFixture(t).startEdit()
	conn, err := net.Dial("tcp", strings.TrimPrefix(b.url, "http://"))
	require.NoError(t, err)
	defer func() { _ = conn.Close() }()
	body := "--x\r\nContent-Disposition: form-data; name=\"token\"\r\n\r\nwrong\r\n--x\r\n" +
		"Content-Disposition: form-data; name=\"document\"; filename=\"f\"\r\n\r\n" + strings.Repeat("x", console.MaxFormBytes)
	_, err = fmt.Fprintf(conn, "POST /console/import HTTP/1.1\r\nHost: %s\r\nContent-Type: multipart/form-data; boundary=x\r\nContent-Length: %d\r\n\r\n%s",
		conn.RemoteAddr(), console.MaxImportBytes, body)
	require.NoError(t, err)
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	require.NoError(t, err)
	_ = response.Body.Close()
	assert.Equal(t, 403, response.StatusCode)
	assert.True(t, response.Close, "the rest of the body must not be awaited")
}

// A compressed form can unpack to much more than its stated length.
func TestCompressedFormIsRefused(t *testing.T) {
	b := newFixture(t).startEdit()
	for _, path := range []string{"/console/discard", "/console/import"} {
		request, err := http.NewRequest(http.MethodPost, b.url+path, strings.NewReader("x"))
		require.NoError(t, err)
		request.Header.Set("Content-Encoding", "gzip")
		status, _ := b.do(request)
		assert.Equal(t, 415, status)
	}
}

// Without operator keys nothing can be published, so an edit must be refused
// with the reason at its start and not at its end.
func TestReadOnlyWithoutKeys(t *testing.T) {
	b := newFixtureWithKeys(t, nil).browser()
	status, page := b.get("/console")
	assert.Equal(t, 200, status)
	assert.Contains(t, page, "Published version: 1")
	assert.Contains(t, page, "read-only")
	assert.NotContains(t, page, "Start an edit")
	for _, path := range []string{"draft", "import", "publish", "edit/targets"} {
		status, page = b.postWith("token", "/console/"+path, nil)
		assert.Equal(t, 403, status, path)
		assert.Contains(t, page, "list no operator keys", path)
	}
}

// The number of edits must be bounded without dropping an operator's edit, and
// an unused one must end.
func TestDraftBounds(t *testing.T) {
	b := newFixture(t)
	first := b.startEdit()
	for range console.MaxDrafts - 1 {
		b.startEdit()
	}
	extra := b.browser()
	status, page := extra.post("/console/draft", nil)
	assert.Equal(t, 503, status)
	assert.Contains(t, page, "edits are open")
	status, _ = first.get("/console/review")
	assert.Equal(t, 200, status)

	b.mu.Lock()
	b.now = b.now.Add(console.DraftIdleTimeout + time.Second)
	b.mu.Unlock()
	status, _ = first.get("/console/review")
	assert.Equal(t, 409, status)
	status, _ = extra.post("/console/draft", nil)
	assert.Equal(t, 200, status)
	status, _ = extra.post("/console/discard", nil)
	assert.Equal(t, 200, status)
	status, _ = extra.get("/console/export")
	assert.Equal(t, 409, status)
}

// A section with many objects must be shown in parts.
func TestPaging(t *testing.T) {
	b := newFixture(t).startEdit()
	d := demoDocument(t)
	for i := range 250 {
		d.Blocks = append(d.Blocks, policy.Block{Prefix: fmt.Sprintf("11.0.%d.0/24", i), Site: "palermo-a"})
	}
	status, _ := b.importFile(encode(t, d, 1))
	require.Equal(t, 200, status)
	_, page := b.get("/console/edit/blocks")
	assert.Contains(t, page, "1 to 100 of 252")
	assert.Contains(t, page, "offset=100")
	_, page = b.get("/console/edit/blocks?offset=200&filter=11.0.")
	assert.Contains(t, page, "201 to 250 of 250")
	_, page = b.get("/console/edit/blocks?filter=11.0.249")
	assert.Contains(t, page, "1 to 1 of 1")
	status, _ = b.get("/console/edit/blocks?offset=-1")
	assert.Equal(t, 400, status)
}

// Every page of an edit must render.
func TestPages(t *testing.T) {
	b := newFixture(t).startEdit()
	for _, path := range []string{"", "/edit/services", "/edit/targets", "/edit/regions", "/edit/links", "/edit/moves",
		"/edit/sites", "/edit/blocks", "/edit/instances", "/edit/general", "/review", "/export", "/style.css"} {
		status, page := b.get("/console" + path)
		assert.Equal(t, 200, status, path)
		assert.NotEmpty(t, page, path)
	}
	status, _ := b.get("/console/edit/none")
	assert.Equal(t, 404, status)
	status, _ = b.fixture.browser().get("/console/review")
	assert.Equal(t, 409, status)
}
