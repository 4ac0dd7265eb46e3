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

// maxShownChanges is the maximum number of changes listed on a page; further
// changes are only counted.
const maxShownChanges = 500

// reviewBody is the content of the review page.
type reviewBody struct {
	Changes  []string
	Findings []finding.Finding
	Omitted  int
	Digest   string // Hexadecimal digits; empty if the document cannot be published.
	Pending  bool   // A write of unknown outcome must be resolved first.
	Lost     *ctl.LostRaceError
	Theirs   []string // Changes of the other operator in Lost.
	Conflict bool     // Lost has conflicts that must be resolved first.
}

func (ui *console) showReview(_ context.Context, r *request) error {
	if r.draft == nil {
		return errNoDraft
	}
	return ui.renderReview(r, 200)
}

func (ui *console) renderReview(r *request, status int) error {
	draft := r.draft
	body := reviewBody{Pending: draft.pending != nil, Lost: draft.lastLostRace, Conflict: draft.unresolvedRace != nil}
	body.Changes = changeLines(policy.Diff(draft.edit.Base, draft.edit.Mine))
	if draft.lastLostRace != nil {
		body.Theirs = changeLines(draft.lastLostRace.Theirs)
	}
	final, err := draft.finalDocument()
	var found *finding.Error
	switch {
	case errors.As(err, &found):
		body.Findings, body.Omitted = found.Findings, found.Omitted
	case err != nil:
		return err
	case len(body.Changes) > 0 && draft.pending == nil && draft.unresolvedRace == nil:
		body.Digest = final.digestText()
	}
	return ui.render(r, status, "review", "Review", body)
}

func changeLines(changes []policy.Change) []string {
	var lines []string
	for _, change := range changes[:min(len(changes), maxShownChanges)] {
		lines = append(lines, change.String())
	}
	if omitted := len(changes) - len(lines); omitted > 0 {
		lines = append(lines, fmt.Sprintf("and %d more", omitted))
	}
	return lines
}

// publish publishes the document of the draft if an operator has signed it.
func (ui *console) publish(ctx context.Context, r *request) error {
	draft, err := r.editable()
	if err != nil {
		return err
	}
	if draft.unresolvedRace != nil {
		return &pageError{status: 409, message: "resolve the conflicts with the other operator first"}
	}
	final, err := draft.finalDocument()
	if err != nil {
		return err
	}
	signature, err := ui.verifySignature(r, final)
	if err != nil {
		return err
	}
	publisher, err := ui.options.NewPublisher(ctx, signature)
	if err != nil {
		return err
	}
	session := ctl.Session{Publisher: publisher, ReadBackInterval: ui.options.ReadBackInterval}
	version, readBack, err := session.Submit(ctx, final.doc, draft.edit.Base.Version)
	if err != nil {
		return ui.handlePublishError(r, final.doc, err)
	}
	return ui.finishPublish(r, version, signature.Key, readBack)
}

// verifySignature checks that an operator has signed exactly the document that
// would be published.
func (ui *console) verifySignature(r *request, final *finalDocument) (ctl.Signature, error) {
	if string(r.FormValue("digest")) != final.digestText() {
		return ctl.Signature{}, &pageError{status: 409, message: "the document has changed since it was signed; review and sign it again"}
	}
	text := strings.TrimSpace(string(r.FormValue("signature")))
	value, err := base64.StdEncoding.DecodeString(text)
	if err != nil {
		return ctl.Signature{}, &pageError{status: 400, message: "the signature is not in base64"}
	}
	key, ok := ctl.Verify(ui.options.OperatorKeys, final.digest, value)
	if !ok {
		return ctl.Signature{}, &ctl.NoKeyError{Reason: "the signature is not one of an operator for this document"}
	}
	return ctl.Signature{Key: key, Value: value}, nil
}

// finishPublish logs a publication, removes the draft and shows the version. The
// key is nil if a pending write was resolved by readBackWrite.
func (ui *console) finishPublish(r *request, version uint64, key ed25519.PublicKey, readBack bool) error {
	fields := log.Fields{"version": version, "readBack": readBack}
	text := fmt.Sprintf("Version %d is published.", version)
	if readBack {
		text += " The response to the write was lost; reading back showed that it took effect."
	}
	if key != nil {
		fields["operatorKey"] = base64.StdEncoding.EncodeToString(key)
	}
	ui.options.Log.WithFields(fields).Info("document published from the console")
	ui.endDraft(r)
	return ui.renderMessage(r, 200, "Published", text)
}

// handlePublishError keeps the draft after a failed publication. It shows the
// review page after a lost race or a write of unknown outcome, and returns any
// other error.
func (ui *console) handlePublishError(r *request, doc []byte, err error) error {
	var race *ctl.RaceError
	var undecided *ctl.UndecidedError
	switch {
	case errors.As(err, &race):
		return ui.handleLostRace(r, race)
	case errors.As(err, &undecided):
		r.draft.pending = &pendingWrite{doc: doc, base: r.draft.edit.Base.Version}
		return ui.renderReview(r, 202)
	}
	return err
}

// handleLostRace rebases the draft onto the other operator's document. If there
// are conflicts, the draft stays as it is until the operator resolves them.
func (ui *console) handleLostRace(r *request, race *ctl.RaceError) error {
	draft := r.draft
	next, lost, err := ctl.Rebase(draft.edit, race)
	if err != nil {
		return err
	}
	draft.lastLostRace, draft.pending, draft.final = lost, nil, nil
	if len(lost.Conflicts) > 0 {
		draft.unresolvedRace = race
	} else {
		draft.edit = next
	}
	return ui.renderReview(r, 409)
}

// resolveConflicts rebases the draft after a lost race with conflicts. In every
// conflict it keeps the side that the operator chose.
func (ui *console) resolveConflicts(_ context.Context, r *request) error {
	draft, err := r.editable()
	if err != nil {
		return err
	}
	if draft.unresolvedRace == nil {
		return &pageError{status: 409, message: "there is no conflict"}
	}
	side, ok := map[string]policy.MergeSide{"mine": policy.Mine, "theirs": policy.Theirs}[string(r.FormValue("choice"))]
	if !ok {
		return &pageError{status: 400, message: "choose either mine or theirs"}
	}
	theirs, err := policy.Decode("published document", draft.unresolvedRace.Document)
	if err != nil {
		return err
	}
	theirs.Version = draft.unresolvedRace.Version
	draft.edit = ctl.Edit{Base: theirs, Mine: policy.MergePreferring(draft.edit.Base, draft.edit.Mine, theirs, side)}
	draft.unresolvedRace, draft.lastLostRace, draft.final = nil, nil, nil
	return redirect(r, "/console/review")
}

var errNotPending = &pageError{status: 409, message: "there is no write of unknown outcome"}

// readBackWrite resolves a write of unknown outcome by reading the published
// document. It writes nothing.
func (ui *console) readBackWrite(ctx context.Context, r *request) error {
	if r.draft == nil || r.draft.pending == nil {
		return errNotPending
	}
	pending := r.draft.pending
	version, err := ui.readSession().ReadBack(ctx, pending.doc, pending.base)
	if err != nil {
		return ui.handlePublishError(r, pending.doc, err)
	}
	return ui.finishPublish(r, version, nil, true)
}

// abandonWrite returns to editing when reading back has not resolved a write. If
// that write still takes effect, the next one loses the race against it.
func (ui *console) abandonWrite(_ context.Context, r *request) error {
	if r.draft == nil || r.draft.pending == nil {
		return errNotPending
	}
	r.draft.pending = nil
	return redirect(r, "/console/review")
}
