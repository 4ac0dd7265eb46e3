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
	// WatchWait is the maximum duration of a watch on the platform. A platform
	// that was restored to an older revision responds to a watch only after this
	// time, so a longer duration delays the detection of a restore. Every response
	// contains the head record: with 2 s, these transfers alone would take up to
	// 7 KB/s.
	WatchWait = 5 * time.Second
	// watchTimeout bounds a watch that gets no response.
	watchTimeout = WatchWait + 3*time.Second
	// watchRetryDelay is the delay after a failed watch, and the interval at which
	// an instance that is not a watcher checks whether it has become one.
	watchRetryDelay = 250 * time.Millisecond
	// maxWriteBackDelay is the time over which the watchers of all domains spread
	// their write-backs. Usually the first one writes and the others find that the
	// head record has been replaced.
	maxWriteBackDelay = time.Second
	// coldStartPeers is the number of peers that an instance asks for the
	// configuration when it starts, before it reads the platform, which may hold
	// an older version.
	coldStartPeers = 4
)

// Watcher reads configuration changes from the platform while the instance is
// one of the watchers of its failure domain.
type Watcher struct {
	KV    kv.KV
	Relay *Relay

	lastRevision    uint64 // Revision of the last head record that a watch returned.
	lastHead        []byte // Last head record that a watch returned, encoded.
	lastWatchFailed bool   // Only the first of consecutive failures is logged.
}

// Run fetches the configuration from peers and then watches the platform until
// ctx ends.
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

// logFirstFailure records the result of a watch and logs the first of several
// consecutive failures.
func (watcher *Watcher) logFirstFailure(err error) {
	if err != nil && !watcher.lastWatchFailed {
		watcher.Relay.log.Emit(events.ConfigPlatformUnread, log.Fields{"reason": err.Error()})
	}
	watcher.lastWatchFailed = err != nil
}

// pullFromPeers fetches the configuration from up to coldStartPeers peers, those
// of the same failure domain first.
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

// watch waits for a change of the head record and processes the record.
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

// handleHead puts the configuration of a head record in force and pushes it to
// the domain, or writes the version in force back if the record is older.
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

// writeBack replaces an older head record on the platform with the record in
// force, so that operators cannot base a change on the older version. older is
// nil if the platform has no head record.
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

// writeBackDelay returns the write-back delay of this instance, derived from its
// name.
func (watcher *Watcher) writeBackDelay() time.Duration {
	return time.Duration(xxhash.Sum64String(watcher.Relay.self.Name) % uint64(maxWriteBackDelay))
}

// headReplaced reports whether the revision of the head record has changed from
// the given one. If the record cannot be read, it reports true; the next watch
// then determines whether a write-back is still necessary.
func (watcher *Watcher) headReplaced(ctx context.Context, revision uint64) bool {
	value, err := watcher.KV.Get(ctx, HeadKey)
	if errors.Is(err, kv.ErrNotFound) {
		return revision != 0
	}
	return err != nil || value.Revision != revision
}

// writeSnapshot writes the patches, segments, manifest and head record of the
// snapshot in force. A conflict means that the head record has been replaced in
// the meantime and is not an error.
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

// storedHashes returns the hashes of the segments that the platform stores for
// an older head record.
func (watcher *Watcher) storedHashes(ctx context.Context, older *Head) map[Hash]bool {
	document := &segmentedDocument{}
	if older != nil {
		if manifest, err := fetchOne(ctx, older.Manifest, watcher.fetch); err == nil {
			document.hashes, _ = parseManifest(manifest)
		}
	}
	return document.knownHashes()
}
