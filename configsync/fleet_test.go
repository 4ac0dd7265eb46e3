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

// disabledMechanisms disables or replaces mechanisms, to show that a scenario
// detects their absence.
type disabledMechanisms struct {
	polling        bool // Instances read the platform every 4 s instead of watching it.
	anyVersion     bool // Instances accept any version from the platform, also a lower one.
	noAntiEntropy  bool // Instances do not send heartbeats with versions.
	noFetch        bool // Instances do not fetch from peers.
	noAdoption     bool // Failed pushes are reported as successful, so that children are not adopted.
	noWriteBack    bool // Writes of instances to the platform fail.
	blindPublisher bool // Operators repeat writes without reading back, and use the version at the time of writing as base.
}

// fleet is a set of instances in several failure domains, with a simulated
// network and a platform stand-in, both with fault injection. It runs in virtual
// time.
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
	dead           map[string]bool // Instances that do not respond, by name.
	cut            map[string]bool // Domains without a connection to other domains and the platform.
	platformCut    map[string]bool // Domains without a connection to the platform.
	reverted       []string        // Names of instances whose version decreased.
	largestMessage int             // Size of the largest message in bytes.
	pushCount      int
	maxDepth       uint32
}

// testInstance is an entry instance that only distributes the configuration.
type testInstance struct {
	fleet  *fleet
	self   Member
	store  *Store
	relay  *Relay
	ctx    context.Context
	cancel context.CancelFunc

	mu        sync.Mutex
	highest   uint64
	inForceAt map[uint64]time.Time // Times at which versions came into force.
}

// runFleet starts a fleet, waits until version 1 is in force at all instances,
// calls check and stops the fleet.
func runFleet(t *testing.T, domains, perDomain int, disabled disabledMechanisms, check func(f *fleet)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		key, keys := testKey(1)
		ctx, cancel := context.WithCancel(context.Background())
		f := &fleet{t: t, disabled: disabled, platform: platformd.NewStore(nil), stop: cancel,
			instances: map[string]*testInstance{}, dead: map[string]bool{}, cut: map[string]bool{}, platformCut: map[string]bool{}}
		f.platform.SetLimits(platformd.DefaultLimits)
		f.publisher = &Publisher{KV: platformd.Local{Store: f.platform}, Sign: SignWith(key), Keys: keys}
		_, err := f.publisher.Publish(ctx, encodeDocument(t, testDocument(100)), 0)
		require.NoError(t, err)
		for domain := range domains {
			for i := range perDomain {
				f.members = append(f.members, Member{Name: fmt.Sprintf("d%d-i%d", domain, i), Domain: fmt.Sprintf("d%d", domain)})
			}
		}
		for _, member := range f.members {
			f.add(ctx, member)
		}
		for _, inst := range f.instances {
			inst.start()
		}
		time.Sleep(10 * time.Second)
		require.Empty(t, f.instancesBehind(1), "the fleet must start with version 1")
		check(f)
		cancel()
		f.group.Wait()
		time.Sleep(time.Minute) // Lets outstanding calls reach their timeouts.
	})
}

// add creates an instance without a configuration, but does not start it.
func (f *fleet) add(ctx context.Context, member Member) *testInstance {
	inst := &testInstance{fleet: f, self: member, store: &Store{}, inForceAt: map[uint64]time.Time{}}
	logger := events.New(&log.Logger{Handler: discard.New(), Level: log.FatalLevel})
	inst.relay = NewRelay(member, inst.store, inst, f.publisher.Keys, logger, inst.recordChange)
	inst.ctx, inst.cancel = context.WithCancel(ctx)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.instances[member.Name] = inst
	return inst
}

// start starts the watcher, or polling if it replaces the watcher, and the
// heartbeats.
func (inst *testInstance) start() {
	watcher := &Watcher{KV: inst, Relay: inst.relay}
	inst.fleet.group.Go(func() {
		if inst.fleet.disabled.anyVersion || inst.fleet.disabled.polling {
			inst.poll(inst.ctx)
			return
		}
		watcher.Run(inst.ctx)
	})
	inst.fleet.group.Go(func() { inst.sendHeartbeats(inst.ctx) })
}

// restart stops an instance and starts a new one with the same name and without
// a configuration.
func (f *fleet) restart(ctx context.Context, name string) *testInstance {
	f.instances[name].cancel()
	inst := f.add(ctx, f.instances[name].self)
	inst.start()
	return inst
}

// recordChange records when a version came into force and whether the version
// decreased.
func (inst *testInstance) recordChange(snapshot *Snapshot) {
	inst.mu.Lock()
	defer inst.mu.Unlock()
	if snapshot.Version() < inst.highest {
		inst.fleet.mu.Lock()
		inst.fleet.reverted = append(inst.fleet.reverted, inst.self.Name)
		inst.fleet.mu.Unlock()
	}
	inst.highest = max(inst.highest, snapshot.Version())
	inst.inForceAt[snapshot.Version()] = time.Now()
}

// poll reads the head record periodically, as a simple alternative to watches and
// relaying. The interval is the shortest with which 8,000 instances stay below the
// platform's rate limit for reads.
func (inst *testInstance) poll(ctx context.Context) {
	interval := 4 * time.Second
	sleep(ctx, time.Duration(xxhash.Sum64String(inst.self.Name)%uint64(interval)))
	for {
		value, err := inst.Get(ctx, HeadKey)
		if err == nil {
			inst.handlePolledHead(ctx, value)
		}
		if !sleep(ctx, interval) {
			return
		}
	}
}

// handlePolledHead puts the configuration of a head record in force. With
// anyVersion it does so without regard to the version in force and the signature.
func (inst *testInstance) handlePolledHead(ctx context.Context, value kv.Value) {
	if !inst.fleet.disabled.anyVersion {
		_, _ = inst.relay.accept(ctx, value.Data, "platform", inst.fetch)
		return
	}
	head, err := DecodeHead(value.Data)
	if err != nil || inst.store.Current() != nil && head.Version == inst.store.Current().Version() {
		return
	}
	snapshot, err := advanceBySegments(ctx, nil, head, inst.fetch)
	if err == nil {
		inst.store.current.Store(snapshot)
		inst.recordChange(snapshot)
	}
}

func (inst *testInstance) fetch(ctx context.Context, hashes []Hash) ([][]byte, error) {
	return fetchFromPlatform(ctx, inst, hashes)
}

// sendHeartbeats exchanges versions with the heartbeat peers at every interval.
func (inst *testInstance) sendHeartbeats(ctx context.Context) {
	offset := time.Duration(xxhash.Sum64String(inst.self.Name) % uint64(heartbeatInterval))
	for sleep(ctx, offset) {
		offset = heartbeatInterval
		for _, member := range inst.heartbeatPeers() {
			inst.fleet.group.Go(func() { inst.heartbeat(ctx, member) })
		}
	}
}

// heartbeatPeers returns up to 4 peers of the same domain and up to 4 of others.
func (inst *testInstance) heartbeatPeers() []Member {
	var sameDomain, otherDomains []Member
	for _, member := range inst.fleet.members {
		switch {
		case member.Name == inst.self.Name:
		case member.Domain == inst.self.Domain:
			sameDomain = append(sameDomain, member)
		default:
			otherDomains = append(otherDomains, member)
		}
	}
	score := func(member Member) uint64 { return xxhash.Sum64String(inst.self.Name + "\x00" + member.Name) }
	order := func(a, b Member) int {
		if score(a) < score(b) {
			return -1
		}
		return 1
	}
	slices.SortFunc(sameDomain, order)
	slices.SortFunc(otherDomains, order)
	return append(sameDomain[:min(4, len(sameDomain))], otherDomains[:min(4, len(otherDomains))]...)
}

// heartbeat sends the version in force to a peer and handles the version in its
// response.
func (inst *testInstance) heartbeat(ctx context.Context, member Member) {
	if inst.fleet.disabled.noAntiEntropy {
		return
	}
	peer, err := inst.deliverTo(ctx, member.Name)
	if err != nil || ctx.Err() != nil {
		return
	}
	inst.fleet.group.Go(func() { peer.relay.ObserveVersion(ctx, inst.self, inst.store.Current().Version()) })
	if err := inst.deliver(ctx, peer); err == nil {
		inst.relay.ObserveVersion(ctx, peer.self, peer.store.Current().Version())
	}
}

var errUnreachable = errors.New("unreachable")

// deliverTo simulates the delivery of a message to the instance with a name, and
// returns the instance.
func (inst *testInstance) deliverTo(ctx context.Context, name string) (*testInstance, error) {
	f := inst.fleet
	f.mu.Lock()
	peer := f.instances[name]
	f.mu.Unlock()
	return peer, inst.deliver(ctx, peer)
}

// deliver simulates the delivery of a message between this instance and a peer: it
// waits for the network latency. If one of them is dead or they are disconnected,
// the message is lost, and deliver waits until ctx ends.
func (inst *testInstance) deliver(ctx context.Context, peer *testInstance) error {
	f := inst.fleet
	delay := latencyBetweenDomains
	if peer.self.Domain == inst.self.Domain {
		delay = latencyInDomain
	}
	time.Sleep(delay)
	f.mu.Lock()
	disconnected := peer.self.Domain != inst.self.Domain && (f.cut[peer.self.Domain] || f.cut[inst.self.Domain])
	lost := disconnected || f.dead[peer.self.Name] || f.dead[inst.self.Name]
	f.mu.Unlock()
	if !lost {
		return ctx.Err()
	}
	if ctx.Done() != nil {
		<-ctx.Done()
	}
	return errUnreachable
}

// Members implements Peers. It includes dead members, as in a list that lags
// behind.
func (inst *testInstance) Members() []Member { return inst.fleet.members }

// Push implements Peers.
func (inst *testInstance) Push(ctx context.Context, name string, request *peerpb.PushConfigRequest) (*peerpb.PushConfigResponse, error) {
	inst.fleet.recordMessage(request)
	peer, err := inst.deliverTo(ctx, name)
	if err != nil {
		if inst.fleet.disabled.noAdoption {
			return &peerpb.PushConfigResponse{}, nil
		}
		return nil, err
	}
	response, err := peer.relay.HandlePush(ctx, request)
	if err != nil {
		return nil, err
	}
	return response, inst.deliver(ctx, peer)
}

// Fetch implements Peers.
func (inst *testInstance) Fetch(ctx context.Context, name string, request *peerpb.FetchConfigRequest) (*peerpb.FetchConfigResponse, error) {
	if inst.fleet.disabled.noFetch {
		return nil, errUnreachable
	}
	inst.fleet.recordMessage(request)
	peer, err := inst.deliverTo(ctx, name)
	if err != nil {
		return nil, err
	}
	response, err := peer.relay.HandleFetch(ctx, request)
	if err != nil {
		return nil, err
	}
	inst.fleet.recordMessage(response)
	return response, inst.deliver(ctx, peer)
}

// recordMessage updates the statistics of messages.
func (f *fleet) recordMessage(message proto.Message) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.largestMessage = max(f.largestMessage, proto.Size(message))
	if push, ok := message.(*peerpb.PushConfigRequest); ok {
		f.pushCount++
		f.maxDepth = max(f.maxDepth, push.Depth)
	}
}

// platform returns the platform, or an error if this instance cannot reach it.
func (inst *testInstance) platform() (kv.KV, error) {
	f := inst.fleet
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.cut[inst.self.Domain] || f.platformCut[inst.self.Domain] || f.dead[inst.self.Name] {
		return nil, kv.ErrUnavailable
	}
	return platformd.Local{Store: f.platform}, nil
}

// Get implements kv.KV.
func (inst *testInstance) Get(ctx context.Context, key string) (kv.Value, error) {
	store, err := inst.platform()
	if err != nil {
		return kv.Value{}, err
	}
	return store.Get(ctx, key)
}

// Watch implements kv.KV.
func (inst *testInstance) Watch(ctx context.Context, key string, after uint64, wait time.Duration) (kv.Value, error) {
	store, err := inst.platform()
	if err != nil {
		return kv.Value{}, err
	}
	value, err := store.Watch(ctx, key, after, wait)
	if _, cutErr := inst.platform(); cutErr != nil {
		return kv.Value{}, cutErr
	}
	return value, err
}

// Put implements kv.KV.
func (inst *testInstance) Put(ctx context.Context, key string, data []byte, revision uint64) (uint64, error) {
	store, err := inst.platform()
	if err != nil || inst.fleet.disabled.noWriteBack {
		return 0, kv.ErrUnavailable
	}
	return store.Put(ctx, key, data, revision)
}

// setAll sets the network state of the named instances or domains.
func (f *fleet) setAll(state map[string]bool, value bool, names ...string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, name := range names {
		state[name] = value
	}
}

// publish steers one block to a new site and returns the published version.
func (f *fleet) publish(block int) uint64 {
	f.t.Helper()
	doc, base, err := f.publisher.Current(context.Background())
	require.NoError(f.t, err)
	version, err := f.publisher.Publish(context.Background(), edit(f.t, doc, block, fmt.Sprintf("moved-%d", base)), base)
	require.NoError(f.t, err)
	return version
}

// instancesBehind returns the names of the live instances whose version in force
// is lower than a version.
func (f *fleet) instancesBehind(version uint64) []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	var names []string
	for name, inst := range f.instances {
		if !f.dead[name] && inst.store.Current().Version() < version {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// maxDelay returns the time from start until a version was in force at all live
// instances.
func (f *fleet) maxDelay(version uint64, start time.Time) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	var longest time.Duration
	for name, inst := range f.instances {
		inst.mu.Lock()
		if !f.dead[name] {
			longest = max(longest, inst.inForceAt[version].Sub(start))
		}
		inst.mu.Unlock()
	}
	return longest
}

// platformVersion returns the version of the head record on the platform.
func (f *fleet) platformVersion() uint64 {
	value, err := f.platform.Get(HeadKey)
	require.NoError(f.t, err)
	head, err := DecodeHead(value.Data)
	require.NoError(f.t, err)
	return head.Version
}
