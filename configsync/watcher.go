package configsync

import (
	"bytes"
	"context"
	"errors"
	"time"

	"github.com/apex/log"
	"github.com/cespare/xxhash/v2"

	"github.com/jacinthstall/jacinthstall/events"
	"github.com/jacinthstall/jacinthstall/kv"
)

const (
	// WatchWait bounds a waiting watch. A platform that was restored to an
	// older revision answers a watch only after this time. Each end of a watch
	// transfers the head record: with 2 s, that alone costs up to 7 KB/s.
	WatchWait = 5 * time.Second
	// watchTimeout bounds a watch whose response does not arrive.
	watchTimeout = WatchWait + 3*time.Second
	// watchRetryDelay is the pause after a failed watch, and between checks whether
	// this instance is to watch.
	watchRetryDelay = 250 * time.Millisecond
	// maxWriteBackDelay is the time over which the watching instances of all
	// domains spread their write-backs, so that usually one of them writes.
	maxWriteBackDelay = time.Second
	// coldStartPeers is the number of members that a cold instance asks before it
	// reads the platform, which may hold an older version.
	coldStartPeers = 4
)

// Watcher keeps one instance up to date from the platform while the instance
// is one of the watching instances of its domain.
type Watcher struct {
	KV    kv.KV
	Relay *Relay

	lastRevision    uint64 // Revision of the head record seen last.
	lastHead        []byte // Head record seen last.
	lastWatchFailed bool   // The last watch failed. Only the first failure is logged.
}

// Run works until ctx ends.
func (watcher *Watcher) Run(ctx context.Context) {
	watcher.pullFromPeers(ctx)
	for ctx.Err() == nil {
		relay := watcher.Relay
		if !newRelayTree(relay.self.Domain, relay.peers.Members()).isWatcher(relay.self.Name) {
			sleep(ctx, watchRetryDelay)
			continue
		}
		err := watcher.watch(ctx)
		if ctx.Err() == nil {
			watcher.logFirstFailure(err)
		}
		if err != nil {
			sleep(ctx, watchRetryDelay)
		}
	}
}

// logFirstFailure logs the first of several failures.
func (watcher *Watcher) logFirstFailure(err error) {
	if err != nil && !watcher.lastWatchFailed {
		watcher.Relay.log.Emit(events.ConfigPlatformUnread, log.Fields{"reason": err.Error()})
	}
	watcher.lastWatchFailed = err != nil
}

// pullFromPeers asks members, those of the domain first.
func (watcher *Watcher) pullFromPeers(ctx context.Context) {
	relay := watcher.Relay
	var sameDomain, otherDomains []string
	for _, member := range relay.peers.Members() {
		switch {
		case member.Name == relay.self.Name:
		case member.Domain == relay.self.Domain:
			sameDomain = append(sameDomain, member.Name)
		default:
			otherDomains = append(otherDomains, member.Name)
		}
	}
	candidates := append(sameDomain, otherDomains...)
	for _, name := range candidates[:min(len(candidates), coldStartPeers)] {
		relay.tryPull(ctx, name)
	}
}

// watch waits for one change of the head record and takes it in.
func (watcher *Watcher) watch(ctx context.Context) error {
	callCtx, cancel := context.WithTimeout(ctx, watchTimeout)
	defer cancel()
	value, err := watcher.KV.Watch(callCtx, HeadKey, watcher.lastRevision, WatchWait)
	switch {
	case errors.Is(err, kv.ErrNotFound):
		watcher.lastRevision, watcher.lastHead = 0, nil
		return watcher.writeBack(ctx, nil, 0)
	case err != nil:
		return err
	}
	watcher.lastRevision = value.Revision
	return watcher.handleHead(ctx, value)
}

func (watcher *Watcher) handleHead(ctx context.Context, value kv.Value) error {
	relay := watcher.Relay
	head, err := relay.decodeAndVerify(value.Data)
	if err != nil {
		if !bytes.Equal(value.Data, watcher.lastHead) {
			relay.logRejection(0, "platform", err)
		}
		watcher.lastHead = value.Data
		return nil
	}
	watcher.lastHead = value.Data
	if head.Version < relay.store.Current().Version() {
		return watcher.writeBack(ctx, head, value.Revision)
	}
	changed, err := relay.accept(ctx, value.Data, "platform", watcher.fetch)
	if err != nil {
		watcher.lastRevision = 0 // The next watch returns the record again.
		return err
	}
	if changed {
		relay.pushToDomain()
	}
	return nil
}

func (watcher *Watcher) fetch(ctx context.Context, hashes []Hash) ([][]byte, error) {
	return fetchFromPlatform(ctx, watcher.KV, hashes)
}

// writeBack replaces an older head record by the one in force, so that no
// change can be based on the older one. older is nil when the platform has none.
func (watcher *Watcher) writeBack(ctx context.Context, older *Head, revision uint64) error {
	relay := watcher.Relay
	if relay.store.Current() == nil {
		return nil
	}
	if !sleep(ctx, watcher.writeBackDelay()) || watcher.headReplaced(ctx, revision) {
		return nil
	}
	current := relay.store.Current()
	var platformVersion uint64
	if older != nil {
		platformVersion = older.Version
	}
	relay.log.Emit(events.ConfigPlatformOlder, log.Fields{"platform": platformVersion, "version": current.Version()})
	if err := watcher.writeSnapshot(ctx, current, older, revision); err != nil {
		relay.log.Emit(events.ConfigWriteBackFailed, log.Fields{"version": current.Version(), "reason": err.Error()})
		return err
	}
	relay.log.Emit(events.ConfigWrittenBack, log.Fields{"version": current.Version()})
	return nil
}

func (watcher *Watcher) writeBackDelay() time.Duration {
	return time.Duration(xxhash.Sum64String(watcher.Relay.self.Name) % uint64(maxWriteBackDelay))
}

// headReplaced reports whether the head record no longer has a revision. When it
// cannot be read, it reports true, and the next watch decides.
func (watcher *Watcher) headReplaced(ctx context.Context, revision uint64) bool {
	value, err := watcher.KV.Get(ctx, HeadKey)
	if errors.Is(err, kv.ErrNotFound) {
		return revision != 0
	}
	return err != nil || value.Revision != revision
}

func (watcher *Watcher) writeSnapshot(ctx context.Context, current *Snapshot, older *Head, revision uint64) error {
	for _, patch := range current.patches {
		if err := writeSegment(ctx, watcher.KV, patch.hash, patch.data); err != nil {
			return err
		}
	}
	if err := writeContent(ctx, watcher.KV, current.document, watcher.storedHashes(ctx, older)); err != nil {
		return err
	}
	_, err := watcher.KV.Put(ctx, HeadKey, current.head.Encode(), revision)
	if errors.Is(err, kv.ErrConflict) {
		return nil
	}
	return err
}

// storedHashes returns the hashes of the segments that the platform has for an older
// head record.
func (watcher *Watcher) storedHashes(ctx context.Context, older *Head) map[Hash]bool {
	document := &segmentedDocument{}
	if older != nil {
		if manifest, err := fetchOne(ctx, older.Manifest, watcher.fetch); err == nil {
			document.hashes, _ = parseManifest(manifest)
		}
	}
	return document.knownHashes()
}
