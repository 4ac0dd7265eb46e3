package configsync

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/cespare/xxhash/v2"
	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"github.com/jacinthstall/jacinthstall/events"
	"github.com/jacinthstall/jacinthstall/kv"
	"github.com/jacinthstall/jacinthstall/peer/peerpb"
	"github.com/jacinthstall/jacinthstall/standin/platformd"
)

const (
	latencyInDomain       = 500 * time.Microsecond
	latencyBetweenDomains = 20 * time.Millisecond
	heartbeatInterval     = time.Second
)

// disabledMechanisms turn mechanisms off, to show that the proofs fail without them.
type disabledMechanisms struct {
	polling        bool // Every instance reads the platform every 4 s instead of watching.
	anyVersion     bool // Instances take over whatever the platform holds.
	noAntiEntropy  bool // Heartbeats carry no versions.
	noFetch        bool // Instances do not fetch from each other.
	noAdoption     bool // Children of unreachable members get no push.
	noWriteBack    bool // Instances do not write to the platform.
	blindPublisher bool // Operators repeat lost writes, and take their base at the time of writing.
}

// fleet is a set of instances in several domains, two domains in each region,
// on a network and a platform with faults, under virtual time.
type fleet struct {
	t         *testing.T
	disabled  disabledMechanisms
	platform  *platformd.Store
	publisher *Publisher
	members   []Member
	stop      context.CancelFunc
	group     sync.WaitGroup

	mu             sync.Mutex
	instances      map[string]*testInstance
	dead           map[string]bool // Processes that do not answer.
	cut            map[string]bool // Domains without a connection to other domains and to the platform.
	platformCut    map[string]bool // Domains without a connection to the platform.
	reverted       []string        // Instances that left a version for a lower one.
	largestMessage int             // Largest message, in bytes.
	pushCount      int
	maxDepth       uint32
}

// testInstance is one entry instance, reduced to its configuration.
type testInstance struct {
	fleet  *fleet
	self   Member
	store  *Store
	relay  *Relay
	ctx    context.Context
	cancel context.CancelFunc

	mu        sync.Mutex
	highest   uint64
	inForceAt map[uint64]time.Time // Time at which a version came into force.
}

// runFleet starts a fleet that holds version 1 everywhere, calls check, and
// stops the fleet.
func runFleet(t *testing.T, domains, perDomain int, o disabledMechanisms, check func(f *fleet)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		key, keys := testKey(1)
		ctx, cancel := context.WithCancel(context.Background())
		f := &fleet{t: t, disabled: o, platform: platformd.NewStore(nil), stop: cancel,
			instances: map[string]*testInstance{}, dead: map[string]bool{}, cut: map[string]bool{}, platformCut: map[string]bool{}}
		f.platform.SetLimits(platformd.DefaultLimits)
		f.publisher = &Publisher{KV: platformd.Local{Store: f.platform}, Sign: SignWith(key), Keys: keys}
		_, err := f.publisher.Publish(ctx, encodeDocument(t, testDocument(100)), 0)
		require.NoError(t, err)
		for d := range domains {
			for i := range perDomain {
				f.members = append(f.members, Member{Name: fmt.Sprintf("d%d-i%d", d, i), Domain: fmt.Sprintf("d%d", d)})
			}
		}
		for _, m := range f.members {
			f.add(ctx, m)
		}
		for _, in := range f.instances {
			in.start()
		}
		time.Sleep(10 * time.Second)
		require.Empty(t, f.instancesBehind(1), "the fleet must start with version 1")
		check(f)
		cancel()
		f.group.Wait()
		time.Sleep(time.Minute) // Ends calls that nobody waits for any more.
	})
}

// add creates an instance without a configuration.
func (f *fleet) add(ctx context.Context, m Member) *testInstance {
	in := &testInstance{fleet: f, self: m, store: &Store{}, inForceAt: map[uint64]time.Time{}}
	logger := events.New(&log.Logger{Handler: discard.New(), Level: log.FatalLevel})
	in.relay = NewRelay(m, in.store, in, f.publisher.Keys, logger, in.recordChange)
	in.ctx, in.cancel = context.WithCancel(ctx)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.instances[m.Name] = in
	return in
}

// start runs the instance.
func (in *testInstance) start() {
	w := &Watcher{KV: in, Relay: in.relay}
	in.fleet.group.Go(func() {
		if in.fleet.disabled.anyVersion || in.fleet.disabled.polling {
			in.poll(in.ctx)
			return
		}
		w.Run(in.ctx)
	})
	in.fleet.group.Go(func() { in.sendHeartbeats(in.ctx) })
}

// restart replaces an instance by a new process without a configuration.
func (f *fleet) restart(ctx context.Context, name string) *testInstance {
	f.instances[name].cancel()
	in := f.add(ctx, f.instances[name].self)
	in.start()
	return in
}

// recordChange notes when a version came into force.
func (in *testInstance) recordChange(s *Snapshot) {
	in.mu.Lock()
	defer in.mu.Unlock()
	if s.Version() < in.highest {
		in.fleet.mu.Lock()
		in.fleet.reverted = append(in.fleet.reverted, in.self.Name)
		in.fleet.mu.Unlock()
	}
	in.highest = max(in.highest, s.Version())
	in.inForceAt[s.Version()] = time.Now()
}

// poll is the naive way: read the platform, at the highest rate at which 8,000
// instances stay below its read rate.
func (in *testInstance) poll(ctx context.Context) {
	interval := 4 * time.Second
	sleep(ctx, time.Duration(xxhash.Sum64String(in.self.Name)%uint64(interval)))
	for {
		v, err := in.Get(ctx, HeadKey)
		if err == nil {
			in.handlePolledHead(ctx, v)
		}
		if !sleep(ctx, interval) {
			return
		}
	}
}

func (in *testInstance) handlePolledHead(ctx context.Context, v kv.Value) {
	if !in.fleet.disabled.anyVersion {
		_, _ = in.relay.accept(ctx, v.Data, "platform", in.fetch)
		return
	}
	head, err := DecodeHead(v.Data)
	if err != nil || in.store.Current() != nil && head.Version == in.store.Current().Version() {
		return
	}
	s, err := advanceBySegments(ctx, nil, head, in.fetch)
	if err == nil {
		in.store.current.Store(s)
		in.recordChange(s)
	}
}

func (in *testInstance) fetch(ctx context.Context, hashes []Hash) ([][]byte, error) {
	return fetchFromPlatform(ctx, in, hashes)
}

// sendHeartbeats exchanges versions with 4 members of the domain and 4 others.
func (in *testInstance) sendHeartbeats(ctx context.Context) {
	offset := time.Duration(xxhash.Sum64String(in.self.Name) % uint64(heartbeatInterval))
	for sleep(ctx, offset) {
		offset = heartbeatInterval
		for _, m := range in.heartbeatPeers() {
			in.fleet.group.Go(func() { in.heartbeat(ctx, m) })
		}
	}
}

func (in *testInstance) heartbeatPeers() []Member {
	var near, far []Member
	for _, m := range in.fleet.members {
		switch {
		case m.Name == in.self.Name:
		case m.Domain == in.self.Domain:
			near = append(near, m)
		default:
			far = append(far, m)
		}
	}
	score := func(m Member) uint64 { return xxhash.Sum64String(in.self.Name + "\x00" + m.Name) }
	order := func(a, b Member) int {
		if score(a) < score(b) {
			return -1
		}
		return 1
	}
	slices.SortFunc(near, order)
	slices.SortFunc(far, order)
	return append(near[:min(4, len(near))], far[:min(4, len(far))]...)
}

func (in *testInstance) heartbeat(ctx context.Context, m Member) {
	if in.fleet.disabled.noAntiEntropy {
		return
	}
	peer, err := in.deliverTo(ctx, m.Name)
	if err != nil || ctx.Err() != nil {
		return
	}
	in.fleet.group.Go(func() { peer.relay.ObserveVersion(ctx, in.self, in.store.Current().Version()) })
	if err := in.deliver(ctx, peer); err == nil {
		in.relay.ObserveVersion(ctx, peer.self, peer.store.Current().Version())
	}
}

var errUnreachable = errors.New("unreachable")

// deliverTo returns the instance called name after the delay of one message.
func (in *testInstance) deliverTo(ctx context.Context, name string) (*testInstance, error) {
	f := in.fleet
	f.mu.Lock()
	peer := f.instances[name]
	f.mu.Unlock()
	return peer, in.deliver(ctx, peer)
}

// deliver waits for the delay of one message. A message to a dead or cut off
// instance is lost: the wait lasts until ctx ends.
func (in *testInstance) deliver(ctx context.Context, peer *testInstance) error {
	f := in.fleet
	delay := latencyBetweenDomains
	if peer.self.Domain == in.self.Domain {
		delay = latencyInDomain
	}
	time.Sleep(delay)
	f.mu.Lock()
	apart := peer.self.Domain != in.self.Domain && (f.cut[peer.self.Domain] || f.cut[in.self.Domain])
	lost := apart || f.dead[peer.self.Name] || f.dead[in.self.Name]
	f.mu.Unlock()
	if !lost {
		return ctx.Err()
	}
	if ctx.Done() != nil {
		<-ctx.Done()
	}
	return errUnreachable
}

// Members implements Peers. The list lags: it includes dead members.
func (in *testInstance) Members() []Member { return in.fleet.members }

// Push implements Peers.
func (in *testInstance) Push(ctx context.Context, name string, r *peerpb.PushConfigRequest) (*peerpb.PushConfigResponse, error) {
	in.fleet.recordMessage(r)
	peer, err := in.deliverTo(ctx, name)
	if err != nil {
		if in.fleet.disabled.noAdoption {
			return &peerpb.PushConfigResponse{}, nil
		}
		return nil, err
	}
	response, err := peer.relay.HandlePush(ctx, r)
	if err != nil {
		return nil, err
	}
	return response, in.deliver(ctx, peer)
}

// Fetch implements Peers.
func (in *testInstance) Fetch(ctx context.Context, name string, r *peerpb.FetchConfigRequest) (*peerpb.FetchConfigResponse, error) {
	if in.fleet.disabled.noFetch {
		return nil, errUnreachable
	}
	in.fleet.recordMessage(r)
	peer, err := in.deliverTo(ctx, name)
	if err != nil {
		return nil, err
	}
	response, err := peer.relay.HandleFetch(ctx, r)
	if err != nil {
		return nil, err
	}
	in.fleet.recordMessage(response)
	return response, in.deliver(ctx, peer)
}

func (f *fleet) recordMessage(m proto.Message) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.largestMessage = max(f.largestMessage, proto.Size(m))
	if push, ok := m.(*peerpb.PushConfigRequest); ok {
		f.pushCount++
		f.maxDepth = max(f.maxDepth, push.Depth)
	}
}

// platform returns the platform as this instance reaches it.
func (in *testInstance) platform() (kv.KV, error) {
	f := in.fleet
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.cut[in.self.Domain] || f.platformCut[in.self.Domain] || f.dead[in.self.Name] {
		return nil, kv.ErrUnavailable
	}
	return platformd.Local{Store: f.platform}, nil
}

// Get implements kv.KV.
func (in *testInstance) Get(ctx context.Context, key string) (kv.Value, error) {
	store, err := in.platform()
	if err != nil {
		return kv.Value{}, err
	}
	return store.Get(ctx, key)
}

// Watch implements kv.KV.
func (in *testInstance) Watch(ctx context.Context, key string, after uint64, wait time.Duration) (kv.Value, error) {
	store, err := in.platform()
	if err != nil {
		return kv.Value{}, err
	}
	v, err := store.Watch(ctx, key, after, wait)
	if _, lost := in.platform(); lost != nil {
		return kv.Value{}, lost
	}
	return v, err
}

// Put implements kv.KV.
func (in *testInstance) Put(ctx context.Context, key string, data []byte, revision uint64) (uint64, error) {
	store, err := in.platform()
	if err != nil || in.fleet.disabled.noWriteBack {
		return 0, kv.ErrUnavailable
	}
	return store.Put(ctx, key, data, revision)
}

// setAll changes the state of the network.
func (f *fleet) setAll(state map[string]bool, value bool, names ...string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, name := range names {
		state[name] = value
	}
}

// publish publishes one edit and returns the new version.
func (f *fleet) publish(block int) uint64 {
	f.t.Helper()
	doc, base, err := f.publisher.Current(context.Background())
	require.NoError(f.t, err)
	version, err := f.publisher.Publish(context.Background(), edit(f.t, doc, block, fmt.Sprintf("moved-%d", base)), base)
	require.NoError(f.t, err)
	return version
}

// instancesBehind returns the live instances that are below a version.
func (f *fleet) instancesBehind(version uint64) []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	var list []string
	for name, in := range f.instances {
		if !f.dead[name] && in.store.Current().Version() < version {
			list = append(list, name)
		}
	}
	slices.Sort(list)
	return list
}

// maxDelay returns the time from start until all live instances had a version.
func (f *fleet) maxDelay(version uint64, start time.Time) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	var worst time.Duration
	for name, in := range f.instances {
		in.mu.Lock()
		if !f.dead[name] {
			worst = max(worst, in.inForceAt[version].Sub(start))
		}
		in.mu.Unlock()
	}
	return worst
}

// platformVersion returns the version that the platform holds.
func (f *fleet) platformVersion() uint64 {
	v, err := f.platform.Get(HeadKey)
	require.NoError(f.t, err)
	head, err := DecodeHead(v.Data)
	require.NoError(f.t, err)
	return head.Version
}
