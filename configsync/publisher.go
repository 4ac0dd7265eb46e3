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
	// KeyHead is the platform key of the head record.
	KeyHead = "config/head"
	// keySegment is the prefix of the keys of segments, manifests and patches.
	keySegment = "config/segment/"

	retryPause = 100 * time.Millisecond
	// limitedAttempts is the number of attempts of a call that the platform's
	// rate limit refuses: a minute, in which other callers take turns.
	limitedAttempts = 600
	// bulkWrites is the rate per second at which many segments are written. It
	// leaves two thirds of the platform's writes to others. Without it, the
	// writers of a large move starved each other until one gave up.
	bulkWrites   = 100
	callAttempts = 20 // Attempts of a call that failed without an effect.
	swapAttempts = 3  // Attempts to replace the head record.
	// parallelCalls bounds the calls in flight while many segments are read or
	// written.
	parallelCalls = 8
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
	s, _, err := p.read(ctx)
	if err != nil || s == nil {
		return nil, 0, err
	}
	doc, err := s.Document()
	return doc, s.Version(), err
}

// Snapshot returns the published snapshot, or nil before the first
// publication.
func (p *Publisher) Snapshot(ctx context.Context) (*Snapshot, error) {
	s, _, err := p.read(ctx)
	return s, err
}

// read returns the published snapshot, nil when there is none, and the
// revision of the head record.
func (p *Publisher) read(ctx context.Context) (*Snapshot, uint64, error) {
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
	v, err := retry(ctx, func() (kv.Value, error) { return p.KV.Get(ctx, KeyHead) })
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
	group.SetLimit(parallelCalls)
	for i, h := range hashes {
		group.Go(func() error {
			v, err := retry(ctx, func() (kv.Value, error) { return store.Get(ctx, keySegment+h.String()) })
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
		return 0, &InvalidError{Cause: err}
	}
	next, err := split(doc)
	if err != nil {
		return 0, &InvalidError{Cause: err}
	}
	before, revision, err := p.read(ctx)
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
	if err := p.store(ctx, before, next, large); err != nil {
		return 0, err
	}
	return p.swap(ctx, head, revision)
}

func (p *Publisher) checkBase(before *Snapshot, base uint64) error {
	if inForce := p.inForce(); inForce.Version() > before.Version() {
		return &StaleError{Platform: before.Version(), InForce: inForce.Version()}
	}
	if before.Version() != base {
		return conflict(before, base)
	}
	return nil
}

func conflict(published *Snapshot, base uint64) error {
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
func (p *Publisher) nextHead(before *Snapshot, next *content) (*Head, []byte, error) {
	head := &Head{Version: before.Version() + 1, Manifest: hashOf(next.manifest())}
	var large []byte
	if before != nil {
		ops, err := diff(before.content, next)
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

// store writes what the new version needs and the one before does not have.
func (p *Publisher) store(ctx context.Context, before *Snapshot, next *content, large []byte) error {
	known := map[Hash]bool{{}: true}
	if before != nil {
		known = before.content.known()
	}
	if large != nil {
		if err := storeSegment(ctx, p.KV, hashOf(large), large); err != nil {
			return err
		}
	}
	return storeContent(ctx, p.KV, next, known)
}

// known returns the hashes of all segments, and the zero hash.
func (c *content) known() map[Hash]bool {
	known := map[Hash]bool{{}: true}
	for _, h := range c.hashes {
		known[h] = true
	}
	return known
}

// storeContent writes the segments that are not known to be stored, and the
// manifest.
func storeContent(ctx context.Context, kv kv.KV, c *content, known map[Hash]bool) error {
	group, groupCtx := errgroup.WithContext(ctx)
	group.SetLimit(parallelCalls)
	pace := rate.NewLimiter(bulkWrites, parallelCalls)
	for i, h := range c.hashes {
		if known[h] {
			continue
		}
		if err := pace.Wait(groupCtx); err != nil {
			break // Another write failed, or ctx ended.
		}
		group.Go(func() error { return storeSegment(groupCtx, kv, h, c.segments[i]) })
	}
	if err := errors.Join(group.Wait(), ctx.Err()); err != nil {
		return err
	}
	manifest := c.manifest()
	return storeSegment(ctx, kv, hashOf(manifest), manifest)
}

// storeSegment writes content under its hash. Repeating the write is safe,
// since the key determines the content.
func storeSegment(ctx context.Context, store kv.KV, h Hash, data []byte) error {
	_, err := retry(ctx, func() (uint64, error) { return store.Put(ctx, keySegment+h.String(), data, 0) })
	if errors.Is(err, kv.ErrConflict) {
		return nil
	}
	return err
}

// swap replaces the head record. After a lost answer it reads the record back:
// the write is repeated only when the record still has the old revision, so a
// delayed first write cannot undo anything.
func (p *Publisher) swap(ctx context.Context, head *Head, revision uint64) (uint64, error) {
	var err, uncertain error
	for range swapAttempts {
		_, err = unlimited(ctx, func() (uint64, error) { return p.KV.Put(ctx, KeyHead, head.Encode(), revision) })
		if err == nil {
			return head.Version, nil
		}
		if !errors.Is(err, kv.ErrUncertain) && !errors.Is(err, kv.ErrConflict) {
			pause(ctx, retryPause)
			continue
		}
		if errors.Is(err, kv.ErrUncertain) {
			uncertain = err
		}
		published, readErr := p.published(ctx, head, revision)
		if readErr != nil {
			return 0, readErr
		}
		if published {
			return head.Version, nil
		}
	}
	if uncertain != nil {
		return 0, &UncertainError{Version: head.Version, Cause: uncertain}
	}
	return 0, err
}

// published reads the head record back. It reports whether head was
// published, and returns a *ConflictError when another record was.
func (p *Publisher) published(ctx context.Context, head *Head, revision uint64) (bool, error) {
	v, err := p.readHead(ctx)
	if err != nil {
		return false, &UncertainError{Version: head.Version, Cause: err}
	}
	if v.Revision == revision {
		return false, nil
	}
	found, err := DecodeHead(v.Data)
	if err != nil {
		return false, &UncertainError{Version: head.Version, Cause: err}
	}
	if found.includes(head) {
		return true, nil
	}
	s, _, err := p.read(ctx)
	if err != nil {
		return false, err
	}
	return false, conflict(s, head.Version-1)
}

// includes reports whether the record is other, or was published after it.
func (h *Head) includes(other *Head) bool {
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

// retry repeats a call that can be repeated safely until it succeeds or is
// refused, at most callAttempts times.
func retry[T any](ctx context.Context, do func() (T, error)) (T, error) {
	var value T
	var err error
	for range callAttempts {
		value, err = unlimited(ctx, do)
		if err == nil || errors.Is(err, kv.ErrNotFound) || errors.Is(err, kv.ErrConflict) {
			return value, err
		}
		if !pause(ctx, retryPause) {
			return value, err
		}
	}
	return value, err
}

// unlimited repeats a call while the platform's rate limit refuses it, at most
// limitedAttempts times. Refused calls have no effect.
func unlimited[T any](ctx context.Context, do func() (T, error)) (T, error) {
	for range limitedAttempts {
		value, err := do()
		if !errors.Is(err, kv.ErrRateLimited) || !pause(ctx, retryPause) {
			return value, err
		}
	}
	return do()
}

// pause waits for d and reports whether ctx is still valid.
func pause(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}
