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
	// DefaultReadBackInterval is the default of Session.ReadBackInterval in
	// jacinthctl and the console.
	DefaultReadBackInterval = 500 * time.Millisecond

	maxReadBacks          = 3
	maxPublishRounds      = 3
	publishedDocumentName = "published document"
)

// Session reads and publishes documents. It never repeats a write whose outcome is
// unknown.
type Session struct {
	Publisher        Publisher
	ReadBackInterval time.Duration // Time between two reads after a write of unknown outcome.
}

// Edit is an operator's edit of a document.
type Edit struct {
	Base *policy.Document // Document on which the edit is based.
	Mine *policy.Document // Document with the operator's changes.
}

// Published is the result of a publication.
type Published struct {
	Version  uint64          `json:"version"`
	Changes  []policy.Change `json:"changes"`            // Changes of the operator.
	Theirs   []policy.Change `json:"theirs,omitempty"`   // Changes of other operators with which they were merged.
	ReadBack bool            `json:"readBack,omitempty"` // The response to the write was lost and its outcome was found by reading back.
}

// LostRaceError reports that another operator published first. It contains the
// changes of both edits: those of the other operator, which are published, and
// those of this operator, which the caller still holds.
type LostRaceError struct {
	Version    uint64            `json:"version"` // Version that the other operator published.
	Theirs     []policy.Change   `json:"theirs"`  // Changes of the other operator.
	Mine       []policy.Change   `json:"mine"`    // Changes of this operator.
	Conflicts  []policy.Conflict `json:"conflicts,omitempty"`
	MergeError error             `json:"-"` // Why the merged document is not valid; nil if it is valid.
}

// Mergeable reports whether the two edits can be published together.
func (e *LostRaceError) Mergeable() bool {
	return len(e.Conflicts) == 0 && e.MergeError == nil
}

func (e *LostRaceError) Error() string {
	var text bytes.Buffer
	fmt.Fprintf(&text, "another operator has published version %d; its changes:\n%s", e.Version, policy.FormatChanges(e.Theirs))
	fmt.Fprintf(&text, "your changes, not published:\n%s", policy.FormatChanges(e.Mine))
	for _, conflict := range e.Conflicts {
		fmt.Fprintf(&text, "both changed %s\n", conflict.Path)
	}
	if e.MergeError != nil {
		fmt.Fprintf(&text, "both together are not valid:\n%v\n", e.MergeError)
	}
	if e.Mergeable() {
		text.WriteString("the changes touch different objects and can be merged\n")
	}
	return text.String()
}

// UndecidedError reports a write whose outcome is still unknown after reading
// back. The write may still take effect, so the operator must check the published
// document before publishing again.
type UndecidedError struct {
	Base  uint64 // Version that the write was to replace.
	Cause error
}

func (e *UndecidedError) Error() string {
	return fmt.Sprintf("outcome unknown: the write has not replaced version %d so far and may still do so; look at the published document before publishing again: %v", e.Base, e.Cause)
}

func (e *UndecidedError) Unwrap() error { return e.Cause }

// Current returns the published document, or nil if nothing has been published.
// The version of the document is set to the published version. The document is
// decoded but not validated, so that one that the current rules reject can still
// be replaced.
func (session Session) Current(ctx context.Context) (*policy.Document, error) {
	src, version, err := session.Publisher.Current(ctx)
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

// Final returns the document in the form in which it is signed and published to
// replace version base: with the next version, validated and encoded.
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

// Submit writes a final document once. If the outcome is unknown, it reads the
// published document back; readBack is true if this showed that the write took
// effect. Submit fails with the errors of Publisher.Publish, but with
// *UndecidedError in place of *UncertainError.
func (session Session) Submit(ctx context.Context, doc []byte, base uint64) (version uint64, readBack bool, err error) {
	version, err = session.Publisher.Publish(ctx, doc, base)
	var uncertain *UncertainError
	if errors.As(err, &uncertain) {
		version, err = session.readBack(ctx, doc, base, uncertain)
		return version, err == nil, err
	}
	return version, false, err
}

var errVersionUnchanged = errors.New("the published version has not changed")

// ReadBack finds out by reading whether an earlier write of unknown outcome has
// taken effect, and returns the published version. It fails with *RaceError if
// another document has replaced version base, and with *UndecidedError if none
// has.
func (session Session) ReadBack(ctx context.Context, doc []byte, base uint64) (uint64, error) {
	return session.readBack(ctx, doc, base, errVersionUnchanged)
}

func (session Session) readBack(ctx context.Context, doc []byte, base uint64, cause error) (uint64, error) {
	for round := range maxReadBacks {
		if round > 0 {
			sleep(ctx, session.ReadBackInterval)
		}
		current, version, err := session.Publisher.Current(ctx)
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

// sameDocument reports whether two encoded documents have the same content. It
// ignores the version, which the platform may assign.
func sameDocument(a, b []byte) bool {
	if bytes.Equal(a, b) {
		return true
	}
	documentA, errA := policy.Decode(publishedDocumentName, a)
	documentB, errB := policy.Decode(publishedDocumentName, b)
	return errA == nil && errB == nil && len(policy.Diff(documentA, documentB)) == 0
}

func sleep(ctx context.Context, duration time.Duration) {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

// Publish publishes an edit. If another operator publishes first, it merges the
// two edits and publishes the result, provided that merge is true and the edits
// change different objects. Otherwise it fails with *LostRaceError. Other errors
// are those of Submit and *finding.Error.
func (session Session) Publish(ctx context.Context, edit Edit, merge bool) (Published, error) {
	result := Published{Changes: policy.Diff(edit.Base, edit.Mine)}
	for range maxPublishRounds {
		doc, err := Final(edit.Mine, edit.Base.Version)
		if err != nil {
			return result, err
		}
		result.Version, result.ReadBack, err = session.Submit(ctx, doc, edit.Base.Version)
		var race *RaceError
		if !errors.As(err, &race) {
			return result, err
		}
		next, lost, err := Rebase(edit, race)
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
		edit = next
	}
	return result, fmt.Errorf("lost %d races in a row; nothing was published", maxPublishRounds)
}

// Rebase returns the edit rebased onto the document that won a race. The rebased
// edit can be published if the returned *LostRaceError is mergeable. The error
// reports that the other document cannot be decoded.
func Rebase(edit Edit, race *RaceError) (Edit, *LostRaceError, error) {
	theirs, err := parseVersion(race.Document, race.Version)
	if err != nil {
		return edit, nil, err
	}
	lost := &LostRaceError{
		Version: race.Version,
		Theirs:  policy.Diff(edit.Base, theirs),
		Mine:    policy.Diff(edit.Base, edit.Mine),
	}
	merged, conflicts := policy.Merge(edit.Base, edit.Mine, theirs)
	lost.Conflicts = conflicts
	if merged == nil {
		return edit, lost, nil
	}
	_, lost.MergeError = Final(merged, race.Version)
	return Edit{Base: theirs, Mine: merged}, lost, nil
}
