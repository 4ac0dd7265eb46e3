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
func (w *Watcher) Run(ctx context.Context) {
	w.pullFromPeers(ctx)
	for ctx.Err() == nil {
		r := w.Relay
		if !newRelayTree(r.self.Domain, r.peers.Members()).isWatcher(r.self.Name) {
			sleep(ctx, watchRetryDelay)
			continue
		}
		err := w.watch(ctx)
		if ctx.Err() == nil {
			w.logFirstFailure(err)
		}
		if err != nil {
			sleep(ctx, watchRetryDelay)
		}
	}
}

// logFirstFailure logs the first of several failures.
func (w *Watcher) logFirstFailure(err error) {
	if err != nil && !w.lastWatchFailed {
		w.Relay.log.Emit(events.ConfigPlatformUnread, log.Fields{"reason": err.Error()})
	}
	w.lastWatchFailed = err != nil
}

// pullFromPeers asks members, those of the domain first.
func (w *Watcher) pullFromPeers(ctx context.Context) {
	r := w.Relay
	var near, far []string
	for _, m := range r.peers.Members() {
		switch {
		case m.Name == r.self.Name:
		case m.Domain == r.self.Domain:
			near = append(near, m.Name)
		default:
			far = append(far, m.Name)
		}
	}
	candidates := append(near, far...)
	for _, name := range candidates[:min(len(candidates), coldStartPeers)] {
		r.tryPull(ctx, name)
	}
}

// watch waits for one change of the head record and takes it in.
func (w *Watcher) watch(ctx context.Context) error {
	callCtx, cancel := context.WithTimeout(ctx, watchTimeout)
	defer cancel()
	v, err := w.KV.Watch(callCtx, HeadKey, w.lastRevision, WatchWait)
	switch {
	case errors.Is(err, kv.ErrNotFound):
		w.lastRevision, w.lastHead = 0, nil
		return w.writeBack(ctx, nil, 0)
	case err != nil:
		return err
	}
	w.lastRevision = v.Revision
	return w.handleHead(ctx, v)
}

func (w *Watcher) handleHead(ctx context.Context, v kv.Value) error {
	r := w.Relay
	head, err := r.decodeAndVerify(v.Data)
	if err != nil {
		if !bytes.Equal(v.Data, w.lastHead) {
			r.logRejection(0, "platform", err)
		}
		w.lastHead = v.Data
		return nil
	}
	w.lastHead = v.Data
	if head.Version < r.store.Current().Version() {
		return w.writeBack(ctx, head, v.Revision)
	}
	changed, err := r.accept(ctx, v.Data, "platform", w.fetch)
	if err != nil {
		w.lastRevision = 0 // The next watch returns the record again.
		return err
	}
	if changed {
		r.pushToDomain()
	}
	return nil
}

func (w *Watcher) fetch(ctx context.Context, hashes []Hash) ([][]byte, error) {
	return fetchFromPlatform(ctx, w.KV, hashes)
}

// writeBack replaces an older head record by the one in force, so that no
// change can be based on the older one. older is nil when the platform has none.
func (w *Watcher) writeBack(ctx context.Context, older *Head, revision uint64) error {
	r := w.Relay
	if r.store.Current() == nil {
		return nil
	}
	if !sleep(ctx, w.writeBackDelay()) || w.headReplaced(ctx, revision) {
		return nil
	}
	current := r.store.Current()
	var platformVersion uint64
	if older != nil {
		platformVersion = older.Version
	}
	r.log.Emit(events.ConfigPlatformOlder, log.Fields{"platform": platformVersion, "version": current.Version()})
	if err := w.writeSnapshot(ctx, current, older, revision); err != nil {
		r.log.Emit(events.ConfigWriteBackFailed, log.Fields{"version": current.Version(), "reason": err.Error()})
		return err
	}
	r.log.Emit(events.ConfigWrittenBack, log.Fields{"version": current.Version()})
	return nil
}

func (w *Watcher) writeBackDelay() time.Duration {
	return time.Duration(xxhash.Sum64String(w.Relay.self.Name) % uint64(maxWriteBackDelay))
}

// headReplaced reports whether the head record no longer has a revision. When it
// cannot be read, it reports true, and the next watch decides.
func (w *Watcher) headReplaced(ctx context.Context, revision uint64) bool {
	v, err := w.KV.Get(ctx, HeadKey)
	if errors.Is(err, kv.ErrNotFound) {
		return revision != 0
	}
	return err != nil || v.Revision != revision
}

func (w *Watcher) writeSnapshot(ctx context.Context, current *Snapshot, older *Head, revision uint64) error {
	for _, p := range current.patches {
		if err := writeSegment(ctx, w.KV, p.hash, p.data); err != nil {
			return err
		}
	}
	if err := writeContent(ctx, w.KV, current.document, w.storedHashes(ctx, older)); err != nil {
		return err
	}
	_, err := w.KV.Put(ctx, HeadKey, current.head.Encode(), revision)
	if errors.Is(err, kv.ErrConflict) {
		return nil
	}
	return err
}

// storedHashes returns the hashes of the segments that the platform has for an older
// head record.
func (w *Watcher) storedHashes(ctx context.Context, older *Head) map[Hash]bool {
	c := &segmentedDocument{}
	if older != nil {
		if manifest, err := fetchOne(ctx, older.Manifest, w.fetch); err == nil {
			c.hashes, _ = parseManifest(manifest)
		}
	}
	return c.knownHashes()
}
