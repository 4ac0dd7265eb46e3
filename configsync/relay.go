package configsync

import (
	"context"
	"crypto/ed25519"
	"errors"
	"sync"
	"time"

	"github.com/apex/log"

	"github.com/jacinthstall/jacinthstall/events"
	"github.com/jacinthstall/jacinthstall/peer/peerpb"
)

const (
	pushTimeout  = 300 * time.Millisecond
	fetchTimeout = time.Second
	// maxPulls bounds the peers that an instance fetches from at the same time. It
	// is more than one because a peer may be frozen and not respond.
	maxPulls = 2
	// maxFetchBytes bounds the total size of the segments in one response. A
	// larger segment, of at most kv.MaxValueBytes, is sent alone.
	maxFetchBytes = 512 << 10
	// maxFetchHashes bounds the segments requested at once.
	maxFetchHashes = 256
	// maxDepth bounds the levels through which a change is pushed. It ends the
	// loops that can occur while instances know different members.
	maxDepth = 8
)

// Peers sends configuration messages to other instances.
type Peers interface {
	// Members returns the live members, including this instance.
	Members() []Member
	// Push sends a PushConfig request to the member with a name.
	Push(ctx context.Context, name string, r *peerpb.PushConfigRequest) (*peerpb.PushConfigResponse, error)
	// Fetch sends a FetchConfig request to the member with a name.
	Fetch(ctx context.Context, name string, r *peerpb.FetchConfigRequest) (*peerpb.FetchConfigResponse, error)
}

// Relay exchanges configuration versions with peers. It is safe for concurrent
// use.
type Relay struct {
	self  Member
	store *Store
	peers Peers
	keys  []ed25519.PublicKey
	log   *events.Log

	changeMu sync.Mutex // Held during onChange, so that its calls are in the order of versions.
	onChange func(*Snapshot)

	pullMu  sync.Mutex
	pulling map[string]bool // Names of the peers that are being fetched from.
}

// NewRelay returns a relay for the instance self. The relay offers snapshots
// signed with one of the keys to store and calls onChange, which may be nil, for
// each snapshot that comes into force.
func NewRelay(self Member, store *Store, peers Peers, keys []ed25519.PublicKey, logger *events.Log, onChange func(*Snapshot)) *Relay {
	return &Relay{self: self, store: store, peers: peers, keys: keys, log: logger, onChange: onChange, pulling: map[string]bool{}}
}

// accept decodes a head record, verifies its signature and, if its version is
// higher than the version in force, builds its snapshot and puts it in force. It
// reports whether the version in force changed.
func (relay *Relay) accept(ctx context.Context, encoded []byte, source string, fetch fetchFunc) (bool, error) {
	head, err := relay.decodeAndVerify(encoded)
	if err != nil {
		relay.logRejection(0, source, err)
		return false, err
	}
	before := relay.store.Current()
	if head.Version <= before.Version() {
		relay.logFork(before, head, source)
		return false, nil
	}
	next, err := advance(ctx, before, head, fetch, func(err error) { relay.logRejection(head.Version, source, err) })
	if err != nil {
		relay.logRejection(head.Version, source, err)
		return false, err
	}
	return relay.putInForce(next, source), nil
}

// putInForce puts a snapshot in force unless its version is outdated by now, and
// reports whether it did.
func (relay *Relay) putInForce(next *Snapshot, source string) bool {
	relay.changeMu.Lock()
	defer relay.changeMu.Unlock()
	if !relay.store.Offer(next) {
		return false
	}
	relay.log.Emit(events.ConfigInForce, log.Fields{"version": next.Version(), "source": source})
	if relay.onChange != nil {
		relay.onChange(next)
	}
	return true
}

// logRejection logs the rejection of an invalid configuration. Other errors,
// such as content that is not available yet, are not logged.
func (relay *Relay) logRejection(version uint64, source string, err error) {
	var format *FormatError
	var signature *SignatureError
	var hash *HashMismatchError
	if errors.As(err, &format) || errors.As(err, &signature) || errors.As(err, &hash) {
		relay.log.Emit(events.ConfigRejected, log.Fields{"version": version, "source": source, "reason": err.Error()})
	}
}

// decodeAndVerify decodes a head record and verifies its signature.
func (relay *Relay) decodeAndVerify(encoded []byte) (*Head, error) {
	head, err := DecodeHead(encoded)
	if err != nil {
		return nil, err
	}
	return head, head.Verify(relay.keys)
}

// logFork logs an event if a signed head record has the version in force but a
// different manifest.
func (relay *Relay) logFork(current *Snapshot, head *Head, source string) {
	if current != nil && head.Version == current.Version() && head.Manifest != current.head.Manifest {
		relay.log.Emit(events.ConfigFork, log.Fields{"version": head.Version, "source": source})
	}
}

// HandlePush handles a PushConfig request: it puts the pushed version in force
// and pushes it to the children of this instance. If the deltas are not enough,
// it responds first and then fetches the missing content from the ancestors of
// this instance in the relay tree.
func (relay *Relay) HandlePush(ctx context.Context, request *peerpb.PushConfigRequest) (*peerpb.PushConfigResponse, error) {
	changed, err := relay.accept(ctx, request.GetHead(), "push", noFetch)
	var missing *MissingSegmentsError
	switch {
	case errors.As(err, &missing):
		go relay.catchUp(request.GetVersion(), request.GetDepth()+1)
	case err != nil:
		return nil, err
	case changed:
		relay.pushToChildren(request.GetDepth() + 1)
	}
	return &peerpb.PushConfigResponse{Version: relay.store.Current().Version()}, nil
}

// catchUp fetches a version from the ancestors of this instance in the relay
// tree, one after the other, until it is in force. Each change of the version in
// force is pushed to the children.
func (relay *Relay) catchUp(version uint64, depth uint32) {
	for _, name := range newRelayTree(relay.self.Domain, relay.peers.Members()).ancestors(relay.self.Name) {
		if relay.store.Current().Version() >= version {
			return
		}
		if relay.tryPull(context.Background(), name) {
			relay.pushToChildren(depth)
		}
	}
}

// noFetch is the fetchFunc for pushed records: the handler of a push fetches
// nothing before it responds.
func noFetch(_ context.Context, hashes []Hash) ([][]byte, error) {
	return nil, &MissingSegmentsError{Count: len(hashes)}
}

// HandleFetch handles a FetchConfig request. Without requested hashes, it returns
// the head record in force with the deltas since the requested version.
// Otherwise it returns the requested segments, manifests and patches in their
// order, up to the first that is unknown or exceeds maxFetchBytes.
func (relay *Relay) HandleFetch(_ context.Context, request *peerpb.FetchConfigRequest) (*peerpb.FetchConfigResponse, error) {
	current := relay.store.Current()
	if current == nil {
		return &peerpb.FetchConfigResponse{}, nil
	}
	response := &peerpb.FetchConfigResponse{Version: current.Version()}
	if len(request.GetSegments()) == 0 {
		response.Head = current.head.EncodeSince(request.GetSinceVersion())
		return response, nil
	}
	size := 0
	for _, encodedHash := range request.GetSegments() {
		hash, ok := parseHash(encodedHash)
		if !ok {
			return nil, &FormatError{Record: "fetch request", Reason: "segment is not a hash"}
		}
		data, ok := current.contentByHash(hash)
		if !ok || len(response.Segments) > 0 && size+len(data) > maxFetchBytes {
			break
		}
		size += len(data)
		response.Segments = append(response.Segments, data)
	}
	return response, nil
}

// ObserveVersion handles the version that a peer reported in a heartbeat. If it
// is higher than the version in force, ObserveVersion fetches it from the peer
// before it returns.
func (relay *Relay) ObserveVersion(ctx context.Context, from Member, version uint64) {
	if version <= relay.store.Current().Version() {
		return
	}
	if relay.tryPull(ctx, from.Name) && from.Domain != relay.self.Domain {
		relay.pushToDomain()
	}
}

// tryPull fetches the configuration from a peer, unless a fetch from this peer
// or from maxPulls peers is in progress. It reports whether the version in force
// changed.
func (relay *Relay) tryPull(ctx context.Context, name string) bool {
	if !relay.startPull(name) {
		return false
	}
	defer relay.endPull(name)
	changed, err := relay.pull(ctx, name)
	if err != nil {
		relay.log.Emit(events.ConfigPeerFailed, log.Fields{"peer": name, "reason": err.Error()})
	}
	return changed
}

func (relay *Relay) startPull(name string) bool {
	relay.pullMu.Lock()
	defer relay.pullMu.Unlock()
	if relay.pulling[name] || len(relay.pulling) >= maxPulls {
		return false
	}
	relay.pulling[name] = true
	return true
}

func (relay *Relay) endPull(name string) {
	relay.pullMu.Lock()
	defer relay.pullMu.Unlock()
	delete(relay.pulling, name)
}

// pull fetches the head record of a peer and the content that it requires, and
// puts it in force. It reports whether the version in force changed.
func (relay *Relay) pull(ctx context.Context, name string) (bool, error) {
	since := relay.store.Current().Version()
	response, err := relay.fetch(ctx, name, &peerpb.FetchConfigRequest{SinceVersion: since})
	if err != nil {
		return false, err
	}
	if response.GetVersion() <= since {
		return false, nil
	}
	return relay.accept(ctx, response.GetHead(), name, func(ctx context.Context, hashes []Hash) ([][]byte, error) {
		return relay.fetchSegments(ctx, name, hashes)
	})
}

// fetchSegments fetches segments, manifests and patches from a peer. It may
// return only the first ones of them.
func (relay *Relay) fetchSegments(ctx context.Context, name string, hashes []Hash) ([][]byte, error) {
	request := &peerpb.FetchConfigRequest{}
	for _, hash := range hashes[:min(len(hashes), maxFetchHashes)] {
		request.Segments = append(request.Segments, hash.String())
	}
	response, err := relay.fetch(ctx, name, request)
	return response.GetSegments(), err
}

func (relay *Relay) fetch(ctx context.Context, name string, request *peerpb.FetchConfigRequest) (*peerpb.FetchConfigResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	return relay.peers.Fetch(ctx, name, request)
}

// pushToDomain pushes the version in force to the other watchers and to the top
// level of the relay tree. It is called after the instance got a change from
// outside its failure domain.
func (relay *Relay) pushToDomain() {
	tree := newRelayTree(relay.self.Domain, relay.peers.Members())
	for _, name := range tree.watchers {
		if name != relay.self.Name {
			go relay.push(tree, name, 1, false)
		}
	}
	for _, name := range tree.children("") {
		if name != relay.self.Name {
			go relay.push(tree, name, 1, true)
		}
	}
	relay.pushToChildren(1)
}

// pushToChildren pushes the version in force to the children of this instance in
// the relay tree. Watchers push only in pushToDomain.
func (relay *Relay) pushToChildren(depth uint32) {
	tree := newRelayTree(relay.self.Domain, relay.peers.Members())
	if tree.isWatcher(relay.self.Name) || depth > maxDepth {
		return
	}
	for _, name := range tree.children(relay.self.Name) {
		go relay.push(tree, name, depth, true)
	}
}

// push sends the version in force to a member. If that fails and adoptChildren
// is set, it pushes to the children of the member instead.
func (relay *Relay) push(tree relayTree, name string, depth uint32, adoptChildren bool) {
	current := relay.store.Current()
	ctx, cancel := context.WithTimeout(context.Background(), pushTimeout)
	defer cancel()
	request := &peerpb.PushConfigRequest{Version: current.Version(), Head: current.head.EncodeSince(current.Version() - 1), Depth: depth}
	_, err := relay.peers.Push(ctx, name, request)
	if err == nil {
		return
	}
	relay.log.Emit(events.ConfigPeerFailed, log.Fields{"peer": name, "reason": err.Error()})
	if !adoptChildren || depth >= maxDepth {
		return
	}
	for _, child := range tree.children(name) {
		go relay.push(tree, child, depth+1, true)
	}
}
