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
	// maxPulls bounds the members that are fetched from at the same time. One
	// of them may be frozen, so that more than one is needed.
	maxPulls = 2
	// maxFetchBytes bounds the segments of one response. A single larger
	// segment, of at most platform.MaxValueBytes, is sent alone.
	maxFetchBytes = 512 << 10
	// maxFetchHashes bounds the segments asked for in one request.
	maxFetchHashes = 256
	// maxDepth bounds the levels that a change is relayed through, in case
	// instances with different views push in a circle.
	maxDepth = 8
)

// Peers reaches other instances.
type Peers interface {
	// Members returns the live members, this instance included.
	Members() []Member
	// Push sends a PushConfig message to the member called name.
	Push(ctx context.Context, name string, r *peerpb.PushConfigRequest) (*peerpb.PushConfigResponse, error)
	// Fetch sends a FetchConfig message to the member called name.
	Fetch(ctx context.Context, name string, r *peerpb.FetchConfigRequest) (*peerpb.FetchConfigResponse, error)
}

// Relay exchanges the configuration with other instances. It is safe for
// concurrent use.
type Relay struct {
	self  Member
	store *Store
	peers Peers
	keys  []ed25519.PublicKey
	log   *events.Log

	changeMu sync.Mutex // Orders the calls of changed by version.
	onChange func(*Snapshot)

	pullMu  sync.Mutex
	pulling map[string]bool // Members that are being fetched from.
}

// NewRelay returns a relay for the instance self. It puts snapshots signed by
// one of the keys in force at store, and then calls changed, which may be nil.
func NewRelay(self Member, store *Store, peers Peers, keys []ed25519.PublicKey, logger *events.Log, changed func(*Snapshot)) *Relay {
	return &Relay{self: self, store: store, peers: peers, keys: keys, log: logger, onChange: changed, pulling: map[string]bool{}}
}

// accept puts the configuration of an encoded head record in force if it is
// newer and signed. It reports whether the version in force changed.
func (r *Relay) accept(ctx context.Context, encoded []byte, source string, fetch fetchFunc) (bool, error) {
	head, err := r.decodeAndVerify(encoded)
	if err != nil {
		r.logRejection(0, source, err)
		return false, err
	}
	before := r.store.Current()
	if head.Version <= before.Version() {
		r.logFork(before, head, source)
		return false, nil
	}
	next, err := advance(ctx, before, head, fetch, func(err error) { r.logRejection(head.Version, source, err) })
	if err != nil {
		r.logRejection(head.Version, source, err)
		return false, err
	}
	return r.putInForce(next, source), nil
}

func (r *Relay) putInForce(next *Snapshot, source string) bool {
	r.changeMu.Lock()
	defer r.changeMu.Unlock()
	if !r.store.Offer(next) {
		return false
	}
	r.log.Emit(events.ConfigInForce, log.Fields{"version": next.Version(), "source": source})
	if r.onChange != nil {
		r.onChange(next)
	}
	return true
}

// logRejection logs a configuration that is not valid. One whose content is not
// available yet is no fault.
func (r *Relay) logRejection(version uint64, source string, err error) {
	var format *FormatError
	var signature *SignatureError
	var hash *HashMismatchError
	if errors.As(err, &format) || errors.As(err, &signature) || errors.As(err, &hash) {
		r.log.Emit(events.ConfigRejected, log.Fields{"version": version, "source": source, "reason": err.Error()})
	}
}

func (r *Relay) decodeAndVerify(encoded []byte) (*Head, error) {
	head, err := DecodeHead(encoded)
	if err != nil {
		return nil, err
	}
	return head, head.Verify(r.keys)
}

func (r *Relay) logFork(current *Snapshot, head *Head, source string) {
	if current != nil && head.Version == current.Version() && head.Manifest != current.head.Manifest {
		r.log.Emit(events.ConfigFork, log.Fields{"version": head.Version, "source": source})
	}
}

// HandlePush takes in a pushed head record and relays it to the children of
// this instance. When content is missing, it is fetched from the instances
// above in the tree after the response.
func (r *Relay) HandlePush(ctx context.Context, request *peerpb.PushConfigRequest) (*peerpb.PushConfigResponse, error) {
	changed, err := r.accept(ctx, request.GetHead(), "push", noFetch)
	var missing *MissingSegmentsError
	switch {
	case errors.As(err, &missing):
		go r.catchUp(request.GetVersion(), request.GetDepth()+1)
	case err != nil:
		return nil, err
	case changed:
		r.pushToChildren(request.GetDepth() + 1)
	}
	return &peerpb.PushConfigResponse{Version: r.store.Current().Version()}, nil
}

// catchUp fetches a version from the instances above in the tree, one after
// the other, and relays it.
func (r *Relay) catchUp(version uint64, depth uint32) {
	for _, name := range newRelayTree(r.self.Domain, r.peers.Members()).ancestors(r.self.Name) {
		if r.store.Current().Version() >= version {
			return
		}
		if r.tryPull(context.Background(), name) {
			r.pushToChildren(depth)
		}
	}
}

// noFetch stands for the missing content of a pushed record.
func noFetch(_ context.Context, hashes []Hash) ([][]byte, error) {
	return nil, &MissingSegmentsError{Count: len(hashes)}
}

// HandleFetch returns the head record in force with the deltas since the
// requested version, and as many of the requested contents as fit.
func (r *Relay) HandleFetch(_ context.Context, request *peerpb.FetchConfigRequest) (*peerpb.FetchConfigResponse, error) {
	current := r.store.Current()
	if current == nil {
		return &peerpb.FetchConfigResponse{}, nil
	}
	response := &peerpb.FetchConfigResponse{Version: current.Version()}
	if len(request.GetSegments()) == 0 {
		response.Head = current.head.EncodeSince(request.GetSinceVersion())
		return response, nil
	}
	size := 0
	for _, text := range request.GetSegments() {
		h, ok := parseHash(text)
		if !ok {
			return nil, &FormatError{Record: "fetch request", Reason: "segment is not a hash"}
		}
		data, ok := current.contentByHash(h)
		if !ok || len(response.Segments) > 0 && size+len(data) > maxFetchBytes {
			break
		}
		size += len(data)
		response.Segments = append(response.Segments, data)
	}
	return response, nil
}

// ObserveVersion compares the version in the heartbeat of a member with the one in
// force. When the member is ahead, it fetches what is missing from it and
// returns after that.
func (r *Relay) ObserveVersion(ctx context.Context, from Member, version uint64) {
	if version <= r.store.Current().Version() {
		return
	}
	if r.tryPull(ctx, from.Name) && from.Domain != r.self.Domain {
		r.pushToDomain()
	}
}

// tryPull fetches from a member unless that is under way or too many others
// are being fetched from. It reports whether the version in force changed.
func (r *Relay) tryPull(ctx context.Context, name string) bool {
	if !r.startPull(name) {
		return false
	}
	defer r.endPull(name)
	changed, err := r.pull(ctx, name)
	if err != nil {
		r.log.Emit(events.ConfigPeerFailed, log.Fields{"peer": name, "reason": err.Error()})
	}
	return changed
}

func (r *Relay) startPull(name string) bool {
	r.pullMu.Lock()
	defer r.pullMu.Unlock()
	if r.pulling[name] || len(r.pulling) >= maxPulls {
		return false
	}
	r.pulling[name] = true
	return true
}

func (r *Relay) endPull(name string) {
	r.pullMu.Lock()
	defer r.pullMu.Unlock()
	delete(r.pulling, name)
}

// pull fetches the head record of a member and what it needs.
func (r *Relay) pull(ctx context.Context, name string) (bool, error) {
	since := r.store.Current().Version()
	response, err := r.fetch(ctx, name, &peerpb.FetchConfigRequest{SinceVersion: since})
	if err != nil {
		return false, err
	}
	if response.GetVersion() <= since {
		return false, nil
	}
	return r.accept(ctx, response.GetHead(), name, func(ctx context.Context, hashes []Hash) ([][]byte, error) {
		return r.fetchSegments(ctx, name, hashes)
	})
}

func (r *Relay) fetchSegments(ctx context.Context, name string, hashes []Hash) ([][]byte, error) {
	request := &peerpb.FetchConfigRequest{}
	for _, h := range hashes[:min(len(hashes), maxFetchHashes)] {
		request.Segments = append(request.Segments, h.String())
	}
	response, err := r.fetch(ctx, name, request)
	return response.GetSegments(), err
}

func (r *Relay) fetch(ctx context.Context, name string, request *peerpb.FetchConfigRequest) (*peerpb.FetchConfigResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	return r.peers.Fetch(ctx, name, request)
}

// pushToDomain starts the relay of the version in force in the whole domain, as an
// instance does that got it from outside.
func (r *Relay) pushToDomain() {
	t := newRelayTree(r.self.Domain, r.peers.Members())
	for _, name := range t.watchers {
		if name != r.self.Name {
			go r.push(t, name, 1, false)
		}
	}
	for _, name := range t.children("") {
		if name != r.self.Name {
			go r.push(t, name, 1, true)
		}
	}
	r.pushToChildren(1)
}

// pushToChildren pushes the version in force to the children of this instance.
func (r *Relay) pushToChildren(depth uint32) {
	t := newRelayTree(r.self.Domain, r.peers.Members())
	if t.isWatcher(r.self.Name) || depth > maxDepth {
		return
	}
	for _, name := range t.children(r.self.Name) {
		go r.push(t, name, depth, true)
	}
}

// push sends the version in force to a member. When the member cannot be
// reached, its children get the push from here.
func (r *Relay) push(t relayTree, name string, depth uint32, adopt bool) {
	current := r.store.Current()
	ctx, cancel := context.WithTimeout(context.Background(), pushTimeout)
	defer cancel()
	request := &peerpb.PushConfigRequest{Version: current.Version(), Head: current.head.EncodeSince(current.Version() - 1), Depth: depth}
	_, err := r.peers.Push(ctx, name, request)
	if err == nil {
		return
	}
	r.log.Emit(events.ConfigPeerFailed, log.Fields{"peer": name, "reason": err.Error()})
	if !adopt || depth >= maxDepth {
		return
	}
	for _, child := range t.children(name) {
		go r.push(t, child, depth+1, true)
	}
}
