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
	// segmentKeyPrefix precedes the hash in the platform keys of segments,
	// manifests and patches.
	segmentKeyPrefix = "config/segment/"

	retryDelay = 100 * time.Millisecond
	// rateLimitedAttempts bounds the attempts of a call that the platform refuses
	// because of its rate limit. With retryDelay, this gives other callers one
	// minute to complete their calls.
	rateLimitedAttempts = 600
	// bulkWritesPerSecond limits the writes of segments by one publication. It
	// leaves two thirds of the platform's write rate to other callers. Without the
	// limit, concurrent writers of a large change starve each other until one
	// exhausts its attempts.
	bulkWritesPerSecond = 100
	callAttempts        = 20 // Attempts of a call that is safe to repeat.
	headWriteAttempts   = 3  // Attempts to write the head record.
	// maxParallelCalls bounds the platform calls in flight while segments are read
	// or written.
	maxParallelCalls = 8
)

// Publisher reads and publishes the policy document on behalf of an operator.
type Publisher struct {
	KV kv.KV
	// Sign returns the operator's Ed25519 signature (64 bytes) of a digest. It
	// either signs with a private key (SignWith) or returns a signature that was
	// created on another machine for the result of Digest. If it is nil, the
	// publisher can only read.
	Sign func(digest [sha256.Size]byte) ([]byte, error)
	// Keys are the operators' public keys. Head records that none of them signed
	// are neither accepted nor written. If there are no keys, signatures are not
	// verified: the command line does not know the keys, which are in the
	// settings of the instances. Instances always verify.
	Keys []ed25519.PublicKey
	// InForce returns the snapshot in force at an instance, or nil if there is
	// none. The function itself may be nil. Publish fails while the platform
	// holds an older version than this snapshot. Segments of the snapshot are not
	// read from the platform.
	InForce func() *Snapshot
}

// Current returns the published document as JSON and its version, or nil and 0
// if nothing has been published.
func (publisher *Publisher) Current(ctx context.Context) ([]byte, uint64, error) {
	snapshot, _, err := publisher.readSnapshot(ctx)
	if err != nil || snapshot == nil {
		return nil, 0, err
	}
	doc, err := snapshot.Document()
	return doc, snapshot.Version(), err
}

// Snapshot returns the published snapshot, or nil if nothing has been
// published.
func (publisher *Publisher) Snapshot(ctx context.Context) (*Snapshot, error) {
	snapshot, _, err := publisher.readSnapshot(ctx)
	return snapshot, err
}

// readSnapshot returns the published snapshot and the revision of the head
// record, or nil and 0 if nothing has been published.
func (publisher *Publisher) readSnapshot(ctx context.Context) (*Snapshot, uint64, error) {
	value, err := publisher.readHead(ctx)
	if err != nil || value.Revision == 0 {
		return nil, 0, err
	}
	head, err := DecodeHead(value.Data)
	if err != nil {
		return nil, 0, err
	}
	if err := publisher.verify(head); err != nil {
		return nil, 0, err
	}
	snapshot, err := advanceBySegments(ctx, publisher.inForce(), head, publisher.fetch)
	return snapshot, value.Revision, err
}

// verify checks the signature of a head record if the publisher has keys.
func (publisher *Publisher) verify(head *Head) error {
	if len(publisher.Keys) == 0 {
		return nil
	}
	return head.Verify(publisher.Keys)
}

// sign signs a head record and verifies the signature.
func (publisher *Publisher) sign(head *Head) error {
	if publisher.Sign == nil {
		return &SigningError{Version: head.Version, Cause: errNoSigner}
	}
	if err := head.sign(publisher.Sign); err != nil {
		return err
	}
	return publisher.verify(head)
}

func (publisher *Publisher) inForce() *Snapshot {
	if publisher.InForce == nil {
		return nil
	}
	return publisher.InForce()
}

// readHead returns the encoded head record and its revision, or a zero value if
// nothing has been published.
func (publisher *Publisher) readHead(ctx context.Context) (kv.Value, error) {
	value, err := retryIdempotent(ctx, func() (kv.Value, error) { return publisher.KV.Get(ctx, HeadKey) })
	if errors.Is(err, kv.ErrNotFound) {
		return kv.Value{}, nil
	}
	return value, err
}

func (publisher *Publisher) fetch(ctx context.Context, hashes []Hash) ([][]byte, error) {
	return fetchFromPlatform(ctx, publisher.KV, hashes)
}

// fetchFromPlatform reads segments, manifests and patches by their hashes.
func fetchFromPlatform(ctx context.Context, store kv.KV, hashes []Hash) ([][]byte, error) {
	contents := make([][]byte, len(hashes))
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(maxParallelCalls)
	for i, hash := range hashes {
		group.Go(func() error {
			value, err := retryIdempotent(ctx, func() (kv.Value, error) { return store.Get(ctx, segmentKeyPrefix+hash.String()) })
			contents[i] = value.Data
			return err
		})
	}
	return contents, group.Wait()
}

// Publish validates a document that is based on version base, publishes it and
// returns its version. It returns:
//   - *InvalidDocumentError if the document is not valid
//   - *ConflictError if the published version is not base
//   - *StalePlatformError if the platform holds an older version than the
//     version in force
//   - *SigningError or *SignatureError if the signature is missing or is not
//     from an operator key
//   - *UncertainOutcomeError if it is unknown whether the document was published
//   - a platform error if nothing was published
func (publisher *Publisher) Publish(ctx context.Context, doc []byte, base uint64) (uint64, error) {
	if _, err := policy.Parse("document", doc); err != nil {
		return 0, &InvalidDocumentError{Cause: err}
	}
	next, err := splitDocument(doc)
	if err != nil {
		return 0, &InvalidDocumentError{Cause: err}
	}
	before, revision, err := publisher.readSnapshot(ctx)
	if err != nil {
		return 0, err
	}
	if err := publisher.checkBase(before, base); err != nil {
		return 0, err
	}
	head, patchData, err := publisher.nextHead(before, next)
	if err != nil {
		return 0, err
	}
	if err := publisher.writeSegments(ctx, before, next, patchData); err != nil {
		return 0, err
	}
	return publisher.replaceHead(ctx, head, revision)
}

// checkBase checks that the platform is not behind the version in force and that
// the published version is base.
func (publisher *Publisher) checkBase(before *Snapshot, base uint64) error {
	if inForce := publisher.inForce(); inForce.Version() > before.Version() {
		return &StalePlatformError{Platform: before.Version(), InForce: inForce.Version()}
	}
	if before.Version() != base {
		return newConflictError(before, base)
	}
	return nil
}

// newConflictError returns a *ConflictError with the published document.
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

// nextHead returns the signed head record of the next version. If the delta is
// too large for the record, it also returns the data of the patch to store.
func (publisher *Publisher) nextHead(before *Snapshot, next *segmentedDocument) (*Head, []byte, error) {
	head := &Head{Version: before.Version() + 1, Manifest: hashOf(next.manifest())}
	var patchData []byte
	if before != nil {
		ops, err := diffDocuments(before.document, next)
		if err != nil {
			return nil, nil, err
		}
		latest := delta{version: head.Version, manifest: head.Manifest, ops: ops}
		if len(ops) > MaxInlineDelta {
			latest.ops, latest.patch, patchData = nil, hashOf(ops), ops
		}
		if len(patchData) <= kv.MaxValueBytes {
			head.deltas = trimDeltas(append(append([]delta{}, before.head.deltas...), latest))
		} else {
			patchData = nil // The platform cannot store it; instances fetch the changed segments.
		}
	}
	if err := publisher.sign(head); err != nil {
		return nil, nil, err
	}
	return head, patchData, nil
}

// writeSegments writes the patch, if any, the segments that the previous version
// does not have, and the manifest.
func (publisher *Publisher) writeSegments(ctx context.Context, before *Snapshot, next *segmentedDocument, patchData []byte) error {
	known := map[Hash]bool{{}: true}
	if before != nil {
		known = before.document.knownHashes()
	}
	if patchData != nil {
		if err := writeSegment(ctx, publisher.KV, hashOf(patchData), patchData); err != nil {
			return err
		}
	}
	return writeContent(ctx, publisher.KV, next, known)
}

// knownHashes returns the hashes of all segments and the zero hash, which needs
// no stored content.
func (document *segmentedDocument) knownHashes() map[Hash]bool {
	known := map[Hash]bool{{}: true}
	for _, hash := range document.hashes {
		known[hash] = true
	}
	return known
}

// writeContent writes the manifest and those segments that are not known to be
// stored. The manifest is last, so that a stored manifest implies that its
// segments are stored.
func writeContent(ctx context.Context, store kv.KV, document *segmentedDocument, known map[Hash]bool) error {
	group, groupCtx := errgroup.WithContext(ctx)
	group.SetLimit(maxParallelCalls)
	limiter := rate.NewLimiter(bulkWritesPerSecond, maxParallelCalls)
	for i, hash := range document.hashes {
		if known[hash] {
			continue
		}
		if err := limiter.Wait(groupCtx); err != nil {
			break // Another write failed or ctx was canceled.
		}
		group.Go(func() error { return writeSegment(groupCtx, store, hash, document.segments[i]) })
	}
	if err := errors.Join(group.Wait(), ctx.Err()); err != nil {
		return err
	}
	manifest := document.manifest()
	return writeSegment(ctx, store, hashOf(manifest), manifest)
}

// writeSegment stores data under its hash. Repeating the write is safe because
// the key determines the content; a conflict means that it is already stored.
func writeSegment(ctx context.Context, store kv.KV, hash Hash, data []byte) error {
	_, err := retryIdempotent(ctx, func() (uint64, error) { return store.Put(ctx, segmentKeyPrefix+hash.String(), data, 0) })
	if errors.Is(err, kv.ErrConflict) {
		return nil
	}
	return err
}

// replaceHead replaces the head record by compare-and-swap. If the response is
// lost, it reads the record back and repeats the write only if the record still
// has the old revision. Each write expects the old revision, so a delayed first
// write cannot overwrite a later one.
func (publisher *Publisher) replaceHead(ctx context.Context, head *Head, revision uint64) (uint64, error) {
	var err, uncertain error
	for range headWriteAttempts {
		_, err = retryRateLimited(ctx, func() (uint64, error) { return publisher.KV.Put(ctx, HeadKey, head.Encode(), revision) })
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
		published, readErr := publisher.readBackHead(ctx, head, revision)
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

// readBackHead reads the head record after a write without a response. It
// reports whether head was published, and returns a *ConflictError if another
// record was published instead.
func (publisher *Publisher) readBackHead(ctx context.Context, head *Head, revision uint64) (bool, error) {
	value, err := publisher.readHead(ctx)
	if err != nil {
		return false, &UncertainOutcomeError{Version: head.Version, Cause: err}
	}
	if value.Revision == revision {
		return false, nil
	}
	found, err := DecodeHead(value.Data)
	if err != nil {
		return false, &UncertainOutcomeError{Version: head.Version, Cause: err}
	}
	if found.isOrFollows(head) {
		return true, nil
	}
	snapshot, _, err := publisher.readSnapshot(ctx)
	if err != nil {
		return false, err
	}
	return false, newConflictError(snapshot, head.Version-1)
}

// isOrFollows reports whether the record is other or a later version that was
// published on top of it, according to its deltas.
func (head *Head) isOrFollows(other *Head) bool {
	if head.Version == other.Version {
		return head.Manifest == other.Manifest
	}
	for _, delta := range head.deltas {
		if delta.version == other.Version {
			return delta.manifest == other.Manifest
		}
	}
	return false
}

// retryIdempotent makes at most callAttempts attempts of a call that is safe to
// repeat. It stops when the call succeeds, the key does not exist or the revision
// conflicts.
func retryIdempotent[T any](ctx context.Context, call func() (T, error)) (T, error) {
	var value T
	var err error
	for range callAttempts {
		value, err = retryRateLimited(ctx, call)
		if err == nil || errors.Is(err, kv.ErrNotFound) || errors.Is(err, kv.ErrConflict) {
			return value, err
		}
		if !sleep(ctx, retryDelay) {
			return value, err
		}
	}
	return value, err
}

// retryRateLimited repeats a call while the platform refuses it because of its
// rate limit, at most rateLimitedAttempts times. Refused calls have no effect.
func retryRateLimited[T any](ctx context.Context, call func() (T, error)) (T, error) {
	for range rateLimitedAttempts {
		value, err := call()
		if !errors.Is(err, kv.ErrRateLimited) || !sleep(ctx, retryDelay) {
			return value, err
		}
	}
	return call()
}

// sleep waits for a duration. It returns false if ctx ends first.
func sleep(ctx context.Context, duration time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(duration):
		return true
	}
}
