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

// operatorSession is a running instance and an HTTP client of its operators'
// listener.
type operatorSession struct {
	t        *testing.T
	instance *Instance
	store    *platformd.Store
	document *policy.Document
	url      string
	client   *http.Client
}

// startOperatorSession runs an instance with the demo's document as version 1.
func startOperatorSession(t *testing.T, keys ...string) *operatorSession {
	t.Helper()
	store := platformd.NewStore(nil)
	src, err := os.ReadFile("../demo/policy.json")
	require.NoError(t, err)
	d, err := policy.Parse("demo", src)
	require.NoError(t, err)
	d.Timing.LookupTTLMs = 100 // The instance waits this long when it stops.
	src, err = d.Encode()
	require.NoError(t, err)
	public := configsync.PublicKey(operatorKey)
	p := configsync.Publisher{KV: platformd.Local{Store: store}, Sign: configsync.SignWith(operatorKey), Keys: []ed25519.PublicKey{public}}
	_, err = p.Publish(t.Context(), src, 0)
	require.NoError(t, err)
	s := settings.Settings{Name: "palermo-a-1", Region: "palermo", Domain: "palermo-a", CallerAddress: freeAddress(t), PeerAddress: freeAddress(t),
		OperatorAddress: freeAddress(t), Platform: servePlatform(t, store), OperatorKeys: keys}
	inst, err := New(s, &log.Logger{Handler: discard.New(), Level: log.DebugLevel})
	require.NoError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- inst.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		require.NoError(t, <-ended)
	})
	jar, err := cookiejar.New(nil)
	require.NoError(t, err)
	session := &operatorSession{t: t, instance: inst, store: store, document: d, url: "http://" + s.OperatorAddress,
		client: &http.Client{Jar: jar, Timeout: waitTimeout, Transport: &http.Transport{}}}
	require.Eventually(t, func() bool {
		c, err := net.Dial("tcp", s.OperatorAddress)
		if err == nil {
			_ = c.Close()
		}
		return err == nil
	}, waitTimeout, time.Millisecond)
	return session
}

func encodedOperatorKey() string {
	return base64.StdEncoding.EncodeToString(configsync.PublicKey(operatorKey))
}

func (session *operatorSession) get(path string) (int, string) {
	session.t.Helper()
	return session.read(session.client.Get(session.url + path))
}

func (session *operatorSession) post(path string, form url.Values) (int, string) {
	session.t.Helper()
	_, page := session.get("/console")
	form.Set("token", session.match(`name="token" value="([0-9a-f]+)"`, page))
	return session.read(session.client.PostForm(session.url+path, form))
}

func (session *operatorSession) read(response *http.Response, err error) (int, string) {
	session.t.Helper()
	require.NoError(session.t, err)
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	require.NoError(session.t, err)
	return response.StatusCode, string(body)
}

func (session *operatorSession) match(pattern, page string) string {
	session.t.Helper()
	found := regexp.MustCompile(pattern).FindStringSubmatch(page)
	require.NotNil(session.t, found, page)
	return found[1]
}

// requireVersion waits until /status reports a version.
func (session *operatorSession) requireVersion(version uint64) {
	session.t.Helper()
	require.Eventually(session.t, func() bool {
		_, body := session.get("/status")
		var status Status
		return json.Unmarshal([]byte(body), &status) == nil && status.Version == version
	}, waitTimeout, 10*time.Millisecond)
}

// drainForm is the console's form for a target, marked as leaving.
func (session *operatorSession) drainForm(target policy.Target) url.Values {
	return url.Values{"key": {target.Name}, "action": {"save"}, "field-name": {target.Name}, "field-service": {target.Service},
		"field-domain": {target.Domain}, "field-address": {target.Address}, "field-slots": {"1"}, "field-connections": {"10"},
		"field-leaving": {"true"}}
}

// sign returns the form that publishes the draft, signed in the way jacinthctl
// does.
func (session *operatorSession) sign() url.Values {
	session.t.Helper()
	_, review := session.get("/console/review")
	digest := session.match(`<span id="digest">([0-9a-f]{64})</span>`, review)
	raw, err := hex.DecodeString(digest)
	require.NoError(session.t, err)
	signature := ctl.Sign(operatorKey, [32]byte(raw))
	return url.Values{"digest": {digest}, "signature": {base64.StdEncoding.EncodeToString(signature)}}
}

// A change made in the console must take effect at the instance when it is
// signed with the operator's key, and must be refused otherwise.
func TestConsoleChangeIsInForce(t *testing.T) {
	session := startOperatorSession(t, encodedOperatorKey())
	session.requireVersion(1)
	status, page := session.post("/console/draft", url.Values{})
	require.Equal(t, 200, status, page)
	target := session.document.Targets[0]
	status, page = session.post("/console/edit/targets", session.drainForm(target))
	require.Equal(t, 200, status, page)
	form := session.sign()
	unsigned := url.Values{"digest": form["digest"], "signature": {base64.StdEncoding.EncodeToString(make([]byte, ed25519.SignatureSize))}}
	status, page = session.post("/console/publish", unsigned)
	require.Equal(t, 403, status, page)
	status, page = session.post("/console/publish", form)
	require.Equal(t, 200, status, page)
	require.Contains(t, page, "Version 2 is published")
	session.requireVersion(2)
	assert.True(t, session.instance.document.Load().Targets[0].Leaving)
}

// After the platform is restored from a backup, the console of an instance that
// has a later version in force must not publish.
func TestConsoleRefusesRestoredPlatform(t *testing.T) {
	session := startOperatorSession(t, encodedOperatorKey())
	session.requireVersion(1)
	_, _ = session.post("/console/draft", url.Values{})
	_, _ = session.post("/console/edit/targets", session.drainForm(session.document.Targets[0]))
	form := session.sign()
	session.store.Checkpoint("backup")
	p := configsync.Publisher{KV: platformd.Local{Store: session.store}, Sign: configsync.SignWith(operatorKey)}
	doc, base, err := p.Current(t.Context())
	require.NoError(t, err)
	_, err = p.Publish(t.Context(), doc, base)
	require.NoError(t, err)
	session.requireVersion(2)
	require.True(t, session.store.Restore("backup"))
	status, page := session.post("/console/publish", form)
	// When the instance has already written version 2 back, the edit is refused
	// as a conflict.
	assert.Contains(t, []int{409, 503}, status, page)
	session.requireVersion(2)
}

// An instance without operator keys must show that it cannot publish, and its
// console must refuse edits.
func TestConsoleWithoutKeysIsReadOnly(t *testing.T) {
	session := startOperatorSession(t)
	status, page := session.get("/console")
	assert.Equal(t, 200, status)
	assert.Contains(t, page, "read-only")
	status, page = session.read(session.client.PostForm(session.url+"/console/draft", url.Values{}))
	assert.Equal(t, 403, status)
	assert.Contains(t, page, "list no operator keys")
}

// A client must not hold more connections than the limit, and must be able to
// connect again after one ends.
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
	_ = first.Close() // A second Close must not release a second connection.
	third := <-accepted
	assert.Len(t, l.(*limitedListener).openConns, 2)
	_ = second.Close()
	_ = third.Close()
	require.NoError(t, l.Close())
	_, open := <-accepted
	assert.False(t, open, "closing the listener must end the wait")
}
