package console

import (
	"context"
	"crypto/ed25519"
	"encoding/base64"
	"errors"
	"fmt"
	"strings"

	"github.com/apex/log"

	"github.com/jacinthstall/jacinthstall/finding"
	"github.com/jacinthstall/jacinthstall/internal/ctl"
	"github.com/jacinthstall/jacinthstall/policy"
)

// maxShownChanges bounds the changes on a page; the rest is counted.
const maxShownChanges = 500

// reviewBody is the page before publishing.
type reviewBody struct {
	Changes  []string
	Findings []finding.Finding
	Omitted  int
	Digest   string // Hexadecimal; empty when the document cannot be published.
	Pending  bool
	Lost     *ctl.LostRaceError
	Theirs   []string
	Conflict bool // Lost has conflicts that must be resolved.
}

func (s *console) showReview(_ context.Context, r *request) error {
	if r.draft == nil {
		return errNoDraft
	}
	return s.renderReview(r, 200)
}

func (s *console) renderReview(r *request, status int) error {
	d := r.draft
	body := reviewBody{Pending: d.pending != nil, Lost: d.lastLostRace, Conflict: d.unresolvedRace != nil}
	body.Changes = changeLines(policy.Diff(d.edit.Base, d.edit.Mine))
	if d.lastLostRace != nil {
		body.Theirs = changeLines(d.lastLostRace.Theirs)
	}
	final, err := d.finalDocument()
	var found *finding.Error
	switch {
	case errors.As(err, &found):
		body.Findings, body.Omitted = found.Findings, found.Omitted
	case err != nil:
		return err
	case len(body.Changes) > 0 && d.pending == nil && d.unresolvedRace == nil:
		body.Digest = final.digestText()
	}
	return s.render(r, status, "review", "Review", body)
}

func changeLines(changes []policy.Change) []string {
	var lines []string
	for _, c := range changes[:min(len(changes), maxShownChanges)] {
		lines = append(lines, c.String())
	}
	if more := len(changes) - len(lines); more > 0 {
		lines = append(lines, fmt.Sprintf("and %d more", more))
	}
	return lines
}

// publish writes the draft's document when an operator has signed it.
func (s *console) publish(ctx context.Context, r *request) error {
	d, err := r.editable()
	if err != nil {
		return err
	}
	if d.unresolvedRace != nil {
		return &pageError{status: 409, message: "resolve the conflicts with the other operator first"}
	}
	final, err := d.finalDocument()
	if err != nil {
		return err
	}
	signature, err := s.verifySignature(r, final)
	if err != nil {
		return err
	}
	publisher, err := s.options.NewPublisher(ctx, signature)
	if err != nil {
		return err
	}
	session := ctl.Session{Publisher: publisher, ReadBackInterval: s.options.ReadBackInterval}
	version, readBack, err := session.Submit(ctx, final.doc, d.edit.Base.Version)
	if err != nil {
		return s.handlePublishError(r, final.doc, err)
	}
	return s.finishPublish(r, version, signature.Key, readBack)
}

// verifySignature checks that an operator signed exactly the document that would be
// published.
func (s *console) verifySignature(r *request, f *finalDocument) (ctl.Signature, error) {
	if string(r.FormValue("digest")) != f.digestText() {
		return ctl.Signature{}, &pageError{status: 409, message: "the document has changed since it was signed; review and sign it again"}
	}
	text := strings.TrimSpace(string(r.FormValue("signature")))
	value, err := base64.StdEncoding.DecodeString(text)
	if err != nil {
		return ctl.Signature{}, &pageError{status: 400, message: "the signature is not in base64"}
	}
	key, ok := ctl.Verify(s.options.OperatorKeys, f.digest, value)
	if !ok {
		return ctl.Signature{}, &ctl.NoKeyError{Reason: "the signature is not one of an operator for this document"}
	}
	return ctl.Signature{Key: key, Value: value}, nil
}

func (s *console) finishPublish(r *request, version uint64, key ed25519.PublicKey, readBack bool) error {
	fields := log.Fields{"version": version, "readBack": readBack}
	text := fmt.Sprintf("Version %d is published.", version)
	if readBack {
		text += " The response to the write was lost; reading back showed that it took effect."
	}
	if key != nil {
		fields["operatorKey"] = base64.StdEncoding.EncodeToString(key)
	}
	s.options.Log.WithFields(fields).Info("document published from the console")
	s.endDraft(r)
	return s.renderMessage(r, 200, "Published", text)
}

// handlePublishError keeps the draft and shows why.
func (s *console) handlePublishError(r *request, doc []byte, err error) error {
	var race *ctl.RaceError
	var undecided *ctl.UndecidedError
	switch {
	case errors.As(err, &race):
		return s.handleLostRace(r, race)
	case errors.As(err, &undecided):
		r.draft.pending = &pendingWrite{doc: doc, base: r.draft.edit.Base.Version}
		return s.renderReview(r, 202)
	}
	return err
}

// handleLostRace puts the draft on top of the other operator's document, or keeps
// it as it is until the operator has resolved the conflicts.
func (s *console) handleLostRace(r *request, race *ctl.RaceError) error {
	d := r.draft
	next, lost, err := ctl.Rebase(d.edit, race)
	if err != nil {
		return err
	}
	d.lastLostRace, d.pending, d.final = lost, nil, nil
	if len(lost.Conflicts) > 0 {
		d.unresolvedRace = race
	} else {
		d.edit = next
	}
	return s.renderReview(r, 409)
}

// resolveConflicts ends the conflicts of a lost race by the operator's choice.
func (s *console) resolveConflicts(_ context.Context, r *request) error {
	d, err := r.editable()
	if err != nil {
		return err
	}
	if d.unresolvedRace == nil {
		return &pageError{status: 409, message: "there is no conflict"}
	}
	side, ok := map[string]policy.MergeSide{"mine": policy.Mine, "theirs": policy.Theirs}[string(r.FormValue("choice"))]
	if !ok {
		return &pageError{status: 400, message: "choose either mine or theirs"}
	}
	theirs, err := policy.Decode("published document", d.unresolvedRace.Document)
	if err != nil {
		return err
	}
	theirs.Version = d.unresolvedRace.Version
	d.edit = ctl.Edit{Base: theirs, Mine: policy.MergePreferring(d.edit.Base, d.edit.Mine, theirs, side)}
	d.unresolvedRace, d.lastLostRace, d.final = nil, nil, nil
	return redirect(r, "/console/review")
}

var errNotPending = &pageError{status: 409, message: "there is no write of unknown outcome"}

// readBackWrite settles a write of unknown outcome by reading; it writes nothing.
func (s *console) readBackWrite(ctx context.Context, r *request) error {
	if r.draft == nil || r.draft.pending == nil {
		return errNotPending
	}
	p := r.draft.pending
	version, err := s.readSession().ReadBack(ctx, p.doc, p.base)
	if err != nil {
		return s.handlePublishError(r, p.doc, err)
	}
	return s.finishPublish(r, version, nil, true)
}

// abandonWrite returns to the draft after reading back did not settle a write. If
// that write still takes effect, the next one loses the race to it.
func (s *console) abandonWrite(_ context.Context, r *request) error {
	if r.draft == nil || r.draft.pending == nil {
		return errNotPending
	}
	r.draft.pending = nil
	return redirect(r, "/console/review")
}
