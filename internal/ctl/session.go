package ctl

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/jacinthstall/jacinthstall/policy"
)

const (
	// DefaultReadBackInterval is the time between two reads after an uncertain write.
	DefaultReadBackInterval = 500 * time.Millisecond

	maxReadBacks          = 3
	maxPublishRounds      = 3
	publishedDocumentName = "published document"
)

// Session publishes documents. It never repeats a write whose outcome is
// unknown.
type Session struct {
	Publisher        Publisher
	ReadBackInterval time.Duration // Between two reads after an uncertain write.
}

// Edit is an operator's change of a document.
type Edit struct {
	Base *policy.Document // The document that the operator started from.
	Mine *policy.Document // The document with the operator's changes.
}

// Published tells what a publication did.
type Published struct {
	Version  uint64          `json:"version"`
	Changes  []policy.Change `json:"changes"`            // The operator's changes.
	Theirs   []policy.Change `json:"theirs,omitempty"`   // Changes of others that were merged.
	ReadBack bool            `json:"readBack,omitempty"` // The outcome was established by reading back.
}

// LostRaceError reports a lost race with both edits. Neither is lost: the
// other operator's is published and the caller still has its own.
type LostRaceError struct {
	Version    uint64            `json:"version"` // Version that the other operator published.
	Theirs     []policy.Change   `json:"theirs"`  // What the other operator changed.
	Mine       []policy.Change   `json:"mine"`    // What this operator changed.
	Conflicts  []policy.Conflict `json:"conflicts,omitempty"`
	MergeError error             `json:"-"` // Why the merged document is not valid; nil when it is.
}

// Mergeable reports whether the edits can be published together.
func (e *LostRaceError) Mergeable() bool {
	return len(e.Conflicts) == 0 && e.MergeError == nil
}

// Error implements error.
func (e *LostRaceError) Error() string {
	var b bytes.Buffer
	fmt.Fprintf(&b, "another operator has published version %d; its changes:\n%s", e.Version, policy.FormatChanges(e.Theirs))
	fmt.Fprintf(&b, "your changes, not published:\n%s", policy.FormatChanges(e.Mine))
	for _, c := range e.Conflicts {
		fmt.Fprintf(&b, "both changed %s\n", c.Path)
	}
	if e.MergeError != nil {
		fmt.Fprintf(&b, "both together are not valid:\n%v\n", e.MergeError)
	}
	if e.Mergeable() {
		b.WriteString("the changes touch different objects and can be merged\n")
	}
	return b.String()
}

// UndecidedError reports a write of unknown outcome that reading back did not
// settle. It may still take effect, so the operator has to look again.
type UndecidedError struct {
	Base  uint64 // Version that the write was based on.
	Cause error
}

// Error implements error.
func (e *UndecidedError) Error() string {
	return fmt.Sprintf("outcome unknown: the write has not replaced version %d so far and may still do so; look at the published document before publishing again: %v", e.Base, e.Cause)
}

// Unwrap returns the cause.
func (e *UndecidedError) Unwrap() error { return e.Cause }

// Current returns the published document, or nil when nothing has been
// published. Its version is that of the publication. Only its form is checked:
// a document that current rules reject can still be replaced.
func (s Session) Current(ctx context.Context) (*policy.Document, error) {
	src, version, err := s.Publisher.Current(ctx)
	if err != nil || version == 0 {
		return nil, err
	}
	return parseVersion(src, version)
}

func parseVersion(src []byte, version uint64) (*policy.Document, error) {
	d, err := policy.Decode(publishedDocumentName, src)
	if err != nil {
		return nil, err
	}
	d.Version = version
	return d, nil
}

// Final returns the document as it is published on top of version base: with
// the next version, checked and encoded. This is what an operator signs.
func Final(d *policy.Document, base uint64) ([]byte, error) {
	final := *d
	final.Version = base + 1
	src, err := final.Encode()
	if err != nil {
		return nil, err
	}
	if _, err := policy.Parse("document to publish", src); err != nil {
		return nil, err
	}
	return src, nil
}

// Submit writes a final document once. When the outcome is unknown it reads
// back: readBack is true when the write turned out to have taken effect. It
// fails with the errors of Publisher.Publish, and with *UndecidedError in
// place of *UncertainError.
func (s Session) Submit(ctx context.Context, doc []byte, base uint64) (version uint64, readBack bool, err error) {
	version, err = s.Publisher.Publish(ctx, doc, base)
	var uncertain *UncertainError
	if errors.As(err, &uncertain) {
		version, err = s.readBack(ctx, doc, base, uncertain)
		return version, err == nil, err
	}
	return version, false, err
}

var errVersionUnchanged = errors.New("the published version has not changed")

// ReadBack reads back whether an earlier write of unknown outcome took effect
// and returns the published version. It fails with *RaceError when another
// document replaced version base, and with *UndecidedError when none did.
func (s Session) ReadBack(ctx context.Context, doc []byte, base uint64) (uint64, error) {
	return s.readBack(ctx, doc, base, errVersionUnchanged)
}

func (s Session) readBack(ctx context.Context, doc []byte, base uint64, cause error) (uint64, error) {
	for attempt := range maxReadBacks {
		if attempt > 0 {
			sleep(ctx, s.ReadBackInterval)
		}
		current, version, err := s.Publisher.Current(ctx)
		switch {
		case err != nil:
			cause = err
		case version > base && sameDocument(doc, current):
			return version, nil
		case version > base:
			return 0, &RaceError{Document: current, Version: version}
		}
	}
	return 0, &UndecidedError{Base: base, Cause: cause}
}

// sameDocument compares documents by content. The version is left out because
// the platform may assign it.
func sameDocument(a, b []byte) bool {
	if bytes.Equal(a, b) {
		return true
	}
	da, errA := policy.Decode(publishedDocumentName, a)
	db, errB := policy.Decode(publishedDocumentName, b)
	return errA == nil && errB == nil && len(policy.Diff(da, db)) == 0
}

func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

// Publish writes the edit. After a lost race it merges the two edits and tries
// again when merge is true and they touch different objects; else it fails
// with *LostRaceError. Other errors are those of Submit and *finding.Error.
func (s Session) Publish(ctx context.Context, e Edit, merge bool) (Published, error) {
	result := Published{Changes: policy.Diff(e.Base, e.Mine)}
	for range maxPublishRounds {
		doc, err := Final(e.Mine, e.Base.Version)
		if err != nil {
			return result, err
		}
		result.Version, result.ReadBack, err = s.Submit(ctx, doc, e.Base.Version)
		var race *RaceError
		if !errors.As(err, &race) {
			return result, err
		}
		next, lost, err := Rebase(e, race)
		if err != nil {
			return result, err
		}
		if !merge || !lost.Mergeable() {
			return result, lost
		}
		result.Theirs = append(result.Theirs, lost.Theirs...)
		if len(policy.Diff(next.Base, next.Mine)) == 0 {
			result.Version = race.Version
			return result, nil
		}
		e = next
	}
	return result, fmt.Errorf("lost %d races in a row; nothing was published", maxPublishRounds)
}

// Rebase puts an edit on top of the document that won a race. The new edit is
// usable when the returned *LostRaceError is mergeable. The error tells that
// the other document cannot be read.
func Rebase(e Edit, race *RaceError) (Edit, *LostRaceError, error) {
	theirs, err := parseVersion(race.Document, race.Version)
	if err != nil {
		return e, nil, err
	}
	lost := &LostRaceError{
		Version: race.Version,
		Theirs:  policy.Diff(e.Base, theirs),
		Mine:    policy.Diff(e.Base, e.Mine),
	}
	merged, conflicts := policy.Merge(e.Base, e.Mine, theirs)
	lost.Conflicts = conflicts
	if merged == nil {
		return e, lost, nil
	}
	_, lost.MergeError = Final(merged, race.Version)
	return Edit{Base: theirs, Mine: merged}, lost, nil
}
