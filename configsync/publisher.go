package configsync

import (
	"context"
	"crypto/ed25519"
	"crypto/sha256"
	"errors"
	"time"

	"golang.org/x/sync/errgroup"
	"golang.org/x/time/rate"

	"github.com/jacinthstall/jacinthstall/kv"
	"github.com/jacinthstall/jacinthstall/policy"
)

const (
	// HeadKey is the platform key of the head record.
	HeadKey = "config/head"
	// segmentKeyPrefix is the prefix of the keys of segments, manifests and patches.
	segmentKeyPrefix = "config/segment/"

	retryDelay = 100 * time.Millisecond
	// rateLimitedAttempts is the number of attempts of a call that the platform's
	// rate limit refuses: a minute, in which other callers take turns.
	rateLimitedAttempts = 600
	// bulkWritesPerSecond is the rate per second at which many segments are written. It
	// leaves two thirds of the platform's writes to others. Without it, the
	// writers of a large move starved each other until one gave up.
	bulkWritesPerSecond = 100
	callAttempts        = 20 // Attempts of a call that failed without an effect.
	headWriteAttempts   = 3  // Attempts to replace the head record.
	// maxParallelCalls bounds the calls in flight while many segments are read or
	// written.
	maxParallelCalls = 8
)

// Publisher reads and publishes documents for an operator.
type Publisher struct {
	KV kv.KV
	// Sign returns the operator's Ed25519 signature of a digest, 64 bytes: made
	// with a key (SignWith), or made elsewhere for the result of Digest. A
	// publisher without it only reads.
	Sign func(digest [sha256.Size]byte) ([]byte, error)
	// Keys are the operators' public keys. Records of other keys are refused
	// when they are read, and are not written. Without keys nothing is
	// verified: this is for the command line, which does not know the settings
	// of the instances. Instances always verify.
	Keys []ed25519.PublicKey
	// InForce returns the snapshot in force at an instance, or nil when there
	// is none. It may be nil. Nothing is published while the platform is
	// behind it, and segments that it has are not read from the platform.
	InForce func() *Snapshot
}

// Current returns the published document as JSON and its version. Before the
// first publication it returns nil and 0.
func (p *Publisher) Current(ctx context.Context) ([]byte, uint64, error) {
	s, _, err := p.readSnapshot(ctx)
	if err != nil || s == nil {
		return nil, 0, err
	}
	doc, err := s.Document()
	return doc, s.Version(), err
}

// Snapshot returns the published snapshot, or nil before the first
// publication.
func (p *Publisher) Snapshot(ctx context.Context) (*Snapshot, error) {
	s, _, err := p.readSnapshot(ctx)
	return s, err
}

// readSnapshot returns the published snapshot, nil when there is none, and the
// revision of the head record.
func (p *Publisher) readSnapshot(ctx context.Context) (*Snapshot, uint64, error) {
	v, err := p.readHead(ctx)
	if err != nil || v.Revision == 0 {
		return nil, 0, err
	}
	head, err := DecodeHead(v.Data)
	if err != nil {
		return nil, 0, err
	}
	if err := p.verify(head); err != nil {
		return nil, 0, err
	}
	s, err := advanceBySegments(ctx, p.inForce(), head, p.fetch)
	return s, v.Revision, err
}

// verify checks the signature of a record when there are keys.
func (p *Publisher) verify(head *Head) error {
	if len(p.Keys) == 0 {
		return nil
	}
	return head.Verify(p.Keys)
}

// sign signs a new record.
func (p *Publisher) sign(head *Head) error {
	if p.Sign == nil {
		return &SigningError{Version: head.Version, Cause: errNoSigner}
	}
	if err := head.sign(p.Sign); err != nil {
		return err
	}
	return p.verify(head)
}

func (p *Publisher) inForce() *Snapshot {
	if p.InForce == nil {
		return nil
	}
	return p.InForce()
}

// readHead returns the head record, or a zero value when there is none.
func (p *Publisher) readHead(ctx context.Context) (kv.Value, error) {
	v, err := retryIdempotent(ctx, func() (kv.Value, error) { return p.KV.Get(ctx, HeadKey) })
	if errors.Is(err, kv.ErrNotFound) {
		return kv.Value{}, nil
	}
	return v, err
}

func (p *Publisher) fetch(ctx context.Context, hashes []Hash) ([][]byte, error) {
	return fetchFromPlatform(ctx, p.KV, hashes)
}

// fetchFromPlatform reads contents by their hashes.
func fetchFromPlatform(ctx context.Context, store kv.KV, hashes []Hash) ([][]byte, error) {
	out := make([][]byte, len(hashes))
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(maxParallelCalls)
	for i, h := range hashes {
		group.Go(func() error {
			v, err := retryIdempotent(ctx, func() (kv.Value, error) { return store.Get(ctx, segmentKeyPrefix+h.String()) })
			out[i] = v.Data
			return err
		})
	}
	return out, group.Wait()
}

// Publish validates a document that was edited from version base, publishes it
// and returns its version. Errors: *InvalidError, *ConflictError when another
// operator published first, *StaleError when the platform is behind what is in
// force, *SigningError or *SignatureError when the signature is missing or not
// that of an operator, *UncertainError when the outcome is not known, or a
// platform error when nothing was published.
func (p *Publisher) Publish(ctx context.Context, doc []byte, base uint64) (uint64, error) {
	if _, err := policy.Parse("document", doc); err != nil {
		return 0, &InvalidDocumentError{Cause: err}
	}
	next, err := splitDocument(doc)
	if err != nil {
		return 0, &InvalidDocumentError{Cause: err}
	}
	before, revision, err := p.readSnapshot(ctx)
	if err != nil {
		return 0, err
	}
	if err := p.checkBase(before, base); err != nil {
		return 0, err
	}
	head, large, err := p.nextHead(before, next)
	if err != nil {
		return 0, err
	}
	if err := p.writeSegments(ctx, before, next, large); err != nil {
		return 0, err
	}
	return p.replaceHead(ctx, head, revision)
}

func (p *Publisher) checkBase(before *Snapshot, base uint64) error {
	if inForce := p.inForce(); inForce.Version() > before.Version() {
		return &StalePlatformError{Platform: before.Version(), InForce: inForce.Version()}
	}
	if before.Version() != base {
		return newConflictError(before, base)
	}
	return nil
}

func newConflictError(published *Snapshot, base uint64) error {
	if published == nil {
		return &ConflictError{Base: base}
	}
	doc, err := published.Document()
	if err != nil {
		return err
	}
	return &ConflictError{Base: base, Version: published.Version(), Document: doc}
}

// nextHead returns the signed head record of new content, and the patch to be
// stored when the delta is too large for the record.
func (p *Publisher) nextHead(before *Snapshot, next *segmentedDocument) (*Head, []byte, error) {
	head := &Head{Version: before.Version() + 1, Manifest: hashOf(next.manifest())}
	var large []byte
	if before != nil {
		ops, err := diffDocuments(before.document, next)
		if err != nil {
			return nil, nil, err
		}
		d := delta{version: head.Version, manifest: head.Manifest, ops: ops}
		if len(ops) > MaxInlineDelta {
			d.ops, d.patch, large = nil, hashOf(ops), ops
		}
		if len(large) <= kv.MaxValueBytes {
			head.deltas = trimDeltas(append(append([]delta{}, before.head.deltas...), d))
		} else {
			large = nil // Instances fetch the changed segments instead.
		}
	}
	if err := p.sign(head); err != nil {
		return nil, nil, err
	}
	return head, large, nil
}

// writeSegments writes what the new version needs and the one before does not have.
func (p *Publisher) writeSegments(ctx context.Context, before *Snapshot, next *segmentedDocument, large []byte) error {
	known := map[Hash]bool{{}: true}
	if before != nil {
		known = before.document.knownHashes()
	}
	if large != nil {
		if err := writeSegment(ctx, p.KV, hashOf(large), large); err != nil {
			return err
		}
	}
	return writeContent(ctx, p.KV, next, known)
}

// knownHashes returns the hashes of all segments, and the zero hash.
func (c *segmentedDocument) knownHashes() map[Hash]bool {
	known := map[Hash]bool{{}: true}
	for _, h := range c.hashes {
		known[h] = true
	}
	return known
}

// writeContent writes the segments that are not known to be stored, and the
// manifest.
func writeContent(ctx context.Context, kv kv.KV, c *segmentedDocument, known map[Hash]bool) error {
	group, groupCtx := errgroup.WithContext(ctx)
	group.SetLimit(maxParallelCalls)
	pace := rate.NewLimiter(bulkWritesPerSecond, maxParallelCalls)
	for i, h := range c.hashes {
		if known[h] {
			continue
		}
		if err := pace.Wait(groupCtx); err != nil {
			break // Another write failed, or ctx ended.
		}
		group.Go(func() error { return writeSegment(groupCtx, kv, h, c.segments[i]) })
	}
	if err := errors.Join(group.Wait(), ctx.Err()); err != nil {
		return err
	}
	manifest := c.manifest()
	return writeSegment(ctx, kv, hashOf(manifest), manifest)
}

// writeSegment writes content under its hash. Repeating the write is safe,
// since the key determines the content.
func writeSegment(ctx context.Context, store kv.KV, h Hash, data []byte) error {
	_, err := retryIdempotent(ctx, func() (uint64, error) { return store.Put(ctx, segmentKeyPrefix+h.String(), data, 0) })
	if errors.Is(err, kv.ErrConflict) {
		return nil
	}
	return err
}

// replaceHead replaces the head record. After a lost answer it reads the record back:
// the write is repeated only when the record still has the old revision, so a
// delayed first write cannot undo anything.
func (p *Publisher) replaceHead(ctx context.Context, head *Head, revision uint64) (uint64, error) {
	var err, uncertain error
	for range headWriteAttempts {
		_, err = retryRateLimited(ctx, func() (uint64, error) { return p.KV.Put(ctx, HeadKey, head.Encode(), revision) })
		if err == nil {
			return head.Version, nil
		}
		if !errors.Is(err, kv.ErrUncertain) && !errors.Is(err, kv.ErrConflict) {
			sleep(ctx, retryDelay)
			continue
		}
		if errors.Is(err, kv.ErrUncertain) {
			uncertain = err
		}
		published, readErr := p.readBackHead(ctx, head, revision)
		if readErr != nil {
			return 0, readErr
		}
		if published {
			return head.Version, nil
		}
	}
	if uncertain != nil {
		return 0, &UncertainOutcomeError{Version: head.Version, Cause: uncertain}
	}
	return 0, err
}

// readBackHead reads the head record back. It reports whether head was
// published, and returns a *ConflictError when another record was.
func (p *Publisher) readBackHead(ctx context.Context, head *Head, revision uint64) (bool, error) {
	v, err := p.readHead(ctx)
	if err != nil {
		return false, &UncertainOutcomeError{Version: head.Version, Cause: err}
	}
	if v.Revision == revision {
		return false, nil
	}
	found, err := DecodeHead(v.Data)
	if err != nil {
		return false, &UncertainOutcomeError{Version: head.Version, Cause: err}
	}
	if found.isOrFollows(head) {
		return true, nil
	}
	s, _, err := p.readSnapshot(ctx)
	if err != nil {
		return false, err
	}
	return false, newConflictError(s, head.Version-1)
}

// isOrFollows reports whether the record is other, or was published after it.
func (h *Head) isOrFollows(other *Head) bool {
	if h.Version == other.Version {
		return h.Manifest == other.Manifest
	}
	for _, d := range h.deltas {
		if d.version == other.Version {
			return d.manifest == other.Manifest
		}
	}
	return false
}

// retryIdempotent repeats a call that can be repeated safely until it succeeds or is
// refused, at most callAttempts times.
func retryIdempotent[T any](ctx context.Context, do func() (T, error)) (T, error) {
	var value T
	var err error
	for range callAttempts {
		value, err = retryRateLimited(ctx, do)
		if err == nil || errors.Is(err, kv.ErrNotFound) || errors.Is(err, kv.ErrConflict) {
			return value, err
		}
		if !sleep(ctx, retryDelay) {
			return value, err
		}
	}
	return value, err
}

// retryRateLimited repeats a call while the platform's rate limit refuses it, at most
// limitedAttempts times. Refused calls have no effect.
func retryRateLimited[T any](ctx context.Context, do func() (T, error)) (T, error) {
	for range rateLimitedAttempts {
		value, err := do()
		if !errors.Is(err, kv.ErrRateLimited) || !sleep(ctx, retryDelay) {
			return value, err
		}
	}
	return do()
}

// sleep waits for d and reports whether ctx is still valid.
func sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}
