package entry

import (
	"context"
	"crypto/ed25519"
	"encoding/base64"
	"encoding/hex"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/http/cookiejar"
	"net/url"
	"os"
	"regexp"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/jacinthstall/jacinthstall/configsync"
	"github.com/jacinthstall/jacinthstall/internal/ctl"
	"github.com/jacinthstall/jacinthstall/policy"
	"github.com/jacinthstall/jacinthstall/settings"
	"github.com/jacinthstall/jacinthstall/standin/platformd"
)

var operatorKey = ed25519.NewKeyFromSeed(make([]byte, ed25519.SeedSize))

// operatorSession is a running instance and a browser at its operators' listener.
type operatorSession struct {
	t        *testing.T
	instance *Instance
	store    *platformd.Store
	document *policy.Document
	url      string
	client   *http.Client
}

// startOperatorSession runs an instance with the demo's document as version 1 in force.
func startOperatorSession(t *testing.T, keys ...string) *operatorSession {
	t.Helper()
	store := platformd.NewStore(nil)
	src, err := os.ReadFile("../demo/policy.json")
	require.NoError(t, err)
	d, err := policy.Parse("demo", src)
	require.NoError(t, err)
	d.Timing.LookupTTLMs = 100 // The instance waits for it when it stops.
	src, err = d.Encode()
	require.NoError(t, err)
	public := configsync.PublicKey(operatorKey)
	p := configsync.Publisher{KV: platformd.Local{Store: store}, Sign: configsync.SignWith(operatorKey), Keys: []ed25519.PublicKey{public}}
	_, err = p.Publish(t.Context(), src, 0)
	require.NoError(t, err)
	s := settings.Settings{Name: "palermo-a-1", Region: "palermo", Domain: "palermo-a", CallerAddress: freeAddress(t), PeerAddress: freeAddress(t),
		OperatorAddress: freeAddress(t), Platform: servePlatform(t, store), OperatorKeys: keys}
	in, err := New(s, &log.Logger{Handler: discard.New(), Level: log.DebugLevel})
	require.NoError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- in.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		require.NoError(t, <-ended)
	})
	jar, err := cookiejar.New(nil)
	require.NoError(t, err)
	o := &operatorSession{t: t, instance: in, store: store, document: d, url: "http://" + s.OperatorAddress,
		client: &http.Client{Jar: jar, Timeout: waitTimeout, Transport: &http.Transport{}}}
	require.Eventually(t, func() bool {
		c, err := net.Dial("tcp", s.OperatorAddress)
		if err == nil {
			_ = c.Close()
		}
		return err == nil
	}, waitTimeout, time.Millisecond)
	return o
}

func encodedOperatorKey() string {
	return base64.StdEncoding.EncodeToString(configsync.PublicKey(operatorKey))
}

func (o *operatorSession) get(path string) (int, string) {
	o.t.Helper()
	return o.read(o.client.Get(o.url + path))
}

func (o *operatorSession) post(path string, form url.Values) (int, string) {
	o.t.Helper()
	_, page := o.get("/console")
	form.Set("token", o.match(`name="token" value="([0-9a-f]+)"`, page))
	return o.read(o.client.PostForm(o.url+path, form))
}

func (o *operatorSession) read(answer *http.Response, err error) (int, string) {
	o.t.Helper()
	require.NoError(o.t, err)
	defer func() { _ = answer.Body.Close() }()
	body, err := io.ReadAll(answer.Body)
	require.NoError(o.t, err)
	return answer.StatusCode, string(body)
}

func (o *operatorSession) match(pattern, page string) string {
	o.t.Helper()
	found := regexp.MustCompile(pattern).FindStringSubmatch(page)
	require.NotNil(o.t, found, page)
	return found[1]
}

// requireVersion waits until /status reports a version in force.
func (o *operatorSession) requireVersion(version uint64) {
	o.t.Helper()
	require.Eventually(o.t, func() bool {
		_, body := o.get("/status")
		var status Status
		return json.Unmarshal([]byte(body), &status) == nil && status.Version == version
	}, waitTimeout, 10*time.Millisecond)
}

// drainForm is the console's form of a target, marked as leaving.
func (o *operatorSession) drainForm(target policy.Target) url.Values {
	return url.Values{"key": {target.Name}, "action": {"save"}, "field-name": {target.Name}, "field-service": {target.Service},
		"field-domain": {target.Domain}, "field-address": {target.Address}, "field-slots": {"1"}, "field-connections": {"10"},
		"field-leaving": {"true"}}
}

// sign returns the form that publishes the draft, signed as jacinthctl does.
func (o *operatorSession) sign() url.Values {
	o.t.Helper()
	_, review := o.get("/console/review")
	digest := o.match(`<span id="digest">([0-9a-f]{64})</span>`, review)
	raw, err := hex.DecodeString(digest)
	require.NoError(o.t, err)
	signature := ctl.Sign(operatorKey, [32]byte(raw))
	return url.Values{"digest": {digest}, "signature": {base64.StdEncoding.EncodeToString(signature)}}
}

// An operator's change must get from the console's forms into force at the
// instance, signed by the operator's key and by no other.
func TestConsoleChangeIsInForce(t *testing.T) {
	o := startOperatorSession(t, encodedOperatorKey())
	o.requireVersion(1)
	status, page := o.post("/console/draft", url.Values{})
	require.Equal(t, 200, status, page)
	target := o.document.Targets[0]
	status, page = o.post("/console/edit/targets", o.drainForm(target))
	require.Equal(t, 200, status, page)
	form := o.sign()
	unsigned := url.Values{"digest": form["digest"], "signature": {base64.StdEncoding.EncodeToString(make([]byte, ed25519.SignatureSize))}}
	status, page = o.post("/console/publish", unsigned)
	require.Equal(t, 403, status, page)
	status, page = o.post("/console/publish", form)
	require.Equal(t, 200, status, page)
	require.Contains(t, page, "Version 2 is published")
	o.requireVersion(2)
	assert.True(t, o.instance.document.Load().Targets[0].Leaving)
}

// A platform restored from a backup must not be edited at an instance that has
// a later version in force.
func TestConsoleRefusesRestoredPlatform(t *testing.T) {
	o := startOperatorSession(t, encodedOperatorKey())
	o.requireVersion(1)
	_, _ = o.post("/console/draft", url.Values{})
	_, _ = o.post("/console/edit/targets", o.drainForm(o.document.Targets[0]))
	form := o.sign()
	o.store.Checkpoint("backup")
	p := configsync.Publisher{KV: platformd.Local{Store: o.store}, Sign: configsync.SignWith(operatorKey)}
	doc, base, err := p.Current(t.Context())
	require.NoError(t, err)
	_, err = p.Publish(t.Context(), doc, base)
	require.NoError(t, err)
	o.requireVersion(2)
	require.True(t, o.store.Restore("backup"))
	status, page := o.post("/console/publish", form)
	// The instance may have written version 2 back already: then the edit has
	// lost a race to it.
	assert.Contains(t, []int{409, 503}, status, page)
	o.requireVersion(2)
}

// An instance without operator keys must show that it cannot publish, and its
// console must not take edits.
func TestConsoleWithoutKeysIsReadOnly(t *testing.T) {
	o := startOperatorSession(t)
	status, page := o.get("/console")
	assert.Equal(t, 200, status)
	assert.Contains(t, page, "read-only")
	status, page = o.read(o.client.PostForm(o.url+"/console/draft", url.Values{}))
	assert.Equal(t, 403, status)
	assert.Contains(t, page, "list no operator keys")
}

// A peer must not be able to hold more connections than the bound, and must
// get room again when one ends.
func TestLimitConnections(t *testing.T) {
	l := limitConnections(listen(t), 2)
	accepted := make(chan net.Conn)
	go func() {
		defer close(accepted)
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			accepted <- conn
		}
	}()
	var dialled []net.Conn
	for range 3 {
		conn, err := net.Dial("tcp", l.Addr().String())
		require.NoError(t, err)
		t.Cleanup(func() { _ = conn.Close() })
		dialled = append(dialled, conn)
	}
	first, second := <-accepted, <-accepted
	assert.Len(t, l.(*limitedListener).openConns, 2)
	require.Len(t, dialled, 3)
	_ = first.Close()
	_ = first.Close() // Closing twice must not give room twice.
	third := <-accepted
	assert.Len(t, l.(*limitedListener).openConns, 2)
	_ = second.Close()
	_ = third.Close()
	require.NoError(t, l.Close())
	_, open := <-accepted
	assert.False(t, open, "closing the listener must end the wait")
}
