package entry

import (
	"context"
	"crypto/ed25519"
	"encoding/base64"
	"encoding/json"
	"fmt"
	"net"
	"net/netip"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/cloudwego/hertz/pkg/app/server"
	"github.com/cloudwego/hertz/pkg/network/standard"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/jacinthstall/jacinthstall/configsync"
	"github.com/jacinthstall/jacinthstall/kv"
	"github.com/jacinthstall/jacinthstall/lookup"
	"github.com/jacinthstall/jacinthstall/policy"
	"github.com/jacinthstall/jacinthstall/policy/policytest"
	"github.com/jacinthstall/jacinthstall/settings"
	"github.com/jacinthstall/jacinthstall/standin/platformd"
)

// stepTimeout ends a test step that hangs.
const stepTimeout = time.Minute

// listen returns a listener on a free loopback port.
func listen(t *testing.T) net.Listener {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	return listener
}

func servePlatform(t *testing.T, s *platformd.Store) string {
	t.Helper()
	listener := listen(t)
	h := server.New(server.WithListener(listener), server.WithTransport(standard.NewTransporter),
		server.WithDisablePrintRoute(true), server.WithExitWaitTime(time.Millisecond))
	platformd.Register(h, s)
	go func() { _ = h.Run() }()
	t.Cleanup(func() { _ = h.Close() })
	return listener.Addr().String()
}

// runConfig runs only the parts of an instance that receive the configuration.
func runConfig(t *testing.T, s settings.Settings, listener net.Listener) *Instance {
	t.Helper()
	inst, err := New(s, &log.Logger{Handler: discard.New(), Level: log.FatalLevel})
	require.NoError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go func() { _ = inst.servePeers(ctx, listener) }()
	go inst.watchDocument(ctx)
	go inst.runMembers(ctx)
	return inst
}

func requireVersion(t *testing.T, version uint64, instances ...*Instance) {
	t.Helper()
	for _, inst := range instances {
		require.Eventually(t, func() bool { return inst.configVersion() == version }, stepTimeout, 10*time.Millisecond, inst.settings.Name)
	}
}

// A published document must reach every instance over real connections, and an
// instance that starts while the platform is down must get the document from
// its peers.
func TestConfigurationOverConnections(t *testing.T) {
	key := ed25519.NewKeyFromSeed(make([]byte, ed25519.SeedSize))
	public := configsync.PublicKey(key)
	store := platformd.NewStore(nil)
	var list []kv.Instance
	var all []settings.Settings
	var listeners []net.Listener
	address := servePlatform(t, store)
	for i := range 4 {
		listeners = append(listeners, listen(t))
		s := settings.Settings{Name: fmt.Sprintf("i%d", i), Region: "r", Domain: "d", PeerAddress: listeners[i].Addr().String(),
			Platform: address, OperatorKeys: []string{base64.StdEncoding.EncodeToString(public)}}
		all = append(all, s)
		list = append(list, kv.Instance{Name: s.Name, Region: s.Region, Domain: s.Domain, PeerAddress: s.PeerAddress, State: kv.InstanceLive})
	}
	store.SetInstances(list)
	var instances []*Instance
	for i, s := range all[:3] {
		instances = append(instances, runConfig(t, s, listeners[i]))
	}
	p := configsync.Publisher{KV: platformd.Local{Store: store}, Sign: configsync.SignWith(key), Keys: []ed25519.PublicKey{public}}
	for base := range uint64(2) {
		doc, err := json.Marshal(policytest.Document(policy.Block{Prefix: "10.0.0.0/8", Site: fmt.Sprint("site-", base)}))
		require.NoError(t, err)
		_, err = p.Publish(t.Context(), doc, base)
		require.NoError(t, err)
		requireVersion(t, base+1, instances...)
	}
	var decision lookup.Decision
	steering, err := instances[2].lookupService.decide(lookup.Query{Caller: netip.MustParseAddr("10.1.2.3")}, &decision)
	require.NoError(t, err)
	assert.Equal(t, "site-1", decision.Site)
	assert.Equal(t, 1, steering.BlockCount())

	store.SetFaults(platformd.Faults{Outage: true})
	requireVersion(t, 2, runConfig(t, all[3], listeners[3]))
}

// A document must be rejected when none of the operator keys in the settings
// signed it.
func TestUnknownOperatorIsRefused(t *testing.T) {
	inst, err := New(settings.Settings{Name: "i", Platform: "127.0.0.1:1"}, &log.Logger{Handler: discard.New(), Level: log.FatalLevel})
	require.NoError(t, err)
	store := platformd.NewStore(nil)
	key := ed25519.NewKeyFromSeed(make([]byte, ed25519.SeedSize))
	p := configsync.Publisher{KV: platformd.Local{Store: store}, Sign: configsync.SignWith(key), Keys: []ed25519.PublicKey{configsync.PublicKey(key)}}
	doc, err := json.Marshal(policytest.Document())
	require.NoError(t, err)
	_, err = p.Publish(t.Context(), doc, 0)
	require.NoError(t, err)
	ctx, cancel := context.WithCancel(t.Context())
	w := configsync.Watcher{KV: platformd.Local{Store: store}, Relay: inst.config.relay}
	done := make(chan struct{})
	go func() { defer close(done); w.Run(ctx) }()
	require.Eventually(t, func() bool { return store.Calls().Watches > 1 }, stepTimeout, 10*time.Millisecond)
	cancel()
	<-done
	assert.Zero(t, inst.configVersion())
}
