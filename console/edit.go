package console

import (
	"context"
	"net/url"
	"strconv"

	"github.com/jacinthstall/jacinthstall/internal/ctl"
	"github.com/jacinthstall/jacinthstall/policy"
)

var errNoDraft = &pageError{status: 409, message: "this session has no edit, or the instance has restarted; start an edit first"}

// overviewBody is the first page.
type overviewBody struct {
	Published uint64
	Problem   string // Why the published version is not known.
}

func (s *console) showOverview(ctx context.Context, r *request) error {
	var body overviewBody
	var err error
	if _, body.Published, err = s.options.Reader.Current(ctx); err != nil {
		body.Problem = err.Error()
	}
	return s.render(r, 200, "overview", "Console", body)
}

// startDraft starts a draft of the published document.
func (s *console) startDraft(ctx context.Context, r *request) error {
	if r.draft == nil {
		base, err := s.readSession().Current(ctx)
		if err != nil {
			return err
		}
		if base == nil {
			base = &policy.Document{}
		}
		if err := s.drafts.put(r.session, &draft{edit: ctl.Edit{Base: base, Mine: base}}); err != nil {
			return err
		}
	}
	return redirect(r, "/console")
}

func (s *console) discardDraft(_ context.Context, r *request) error {
	s.endDraft(r)
	return redirect(r, "/console")
}

// endDraft removes the session's draft.
func (s *console) endDraft(r *request) {
	if r.draft != nil {
		r.draft.ended = true
	}
	s.drafts.remove(r.session)
	r.draft = nil
}

func redirect(r *request, to string) error {
	r.Redirect(303, []byte(to))
	return nil
}

// editable returns the draft when it may change.
func (r *request) editable() (*draft, error) {
	if r.draft == nil {
		return nil, errNoDraft
	}
	if r.draft.pending != nil {
		return nil, &pageError{status: 409, message: "the outcome of the last write is unknown; settle it on the review page first"}
	}
	return r.draft, nil
}

// sectionBody is a page with the forms of a section.
type sectionBody struct {
	Section        section
	Rows           []row
	Empty          []input
	Filter         string
	Matches        int
	First, Last    int // Numbers of the first and last row shown, from 1.
	Previous, Next int // Offsets; -1 when there is none.
}

func (s *console) showSection(_ context.Context, r *request) error {
	sec, err := s.findSection(r.Param("section"))
	if err != nil {
		return err
	}
	if r.draft == nil {
		return errNoDraft
	}
	filter := r.Query("filter")
	offset, err := strconv.Atoi(r.DefaultQuery("offset", "0"))
	if err != nil || offset < 0 {
		return &pageError{status: 400, message: "the offset must be a whole number from 0"}
	}
	rows, matches := sec.rows(r.draft.edit.Mine, filter, offset)
	body := sectionBody{Section: sec, Rows: rows, Empty: sec.newInputs(), Filter: filter, Matches: matches,
		First: min(offset+1, matches), Last: offset + len(rows), Previous: -1, Next: -1}
	if offset > 0 {
		body.Previous = max(0, offset-rowsPerPage)
	}
	if body.Last < matches {
		body.Next = body.Last
	}
	return s.render(r, 200, "section", sec.Title, body)
}

func (s *console) saveSection(_ context.Context, r *request) error {
	sec, err := s.findSection(r.Param("section"))
	if err != nil {
		return err
	}
	d, err := r.editable()
	if err != nil {
		return err
	}
	value := func(name string) string { return string(r.FormValue("field-" + name)) }
	key := string(r.FormValue("key"))
	var next *policy.Document
	if string(r.FormValue("action")) == "remove" {
		next, err = sec.remove(d.edit.Mine, key)
	} else {
		next, err = sec.save(d.edit.Mine, key, value)
	}
	if err != nil {
		return err
	}
	d.setDocument(next)
	return redirect(r, "/console/edit/"+sec.Name+"?filter="+url.QueryEscape(string(r.FormValue("filter"))))
}

// importDocument replaces the draft's document by an uploaded one. A document
// with findings leaves the draft as it is.
func (s *console) importDocument(_ context.Context, r *request) error {
	d, err := r.editable()
	if err != nil {
		return err
	}
	mine, err := policy.Parse(r.upload.name, r.upload.content)
	if err != nil {
		return err
	}
	if err := s.drafts.updateBlocks(r.session, len(mine.Blocks)); err != nil {
		return err
	}
	d.setDocument(mine)
	return redirect(r, "/console/review")
}

// exportDocument sends the draft's document, valid or not, so that it can be kept or
// imported at another instance.
func (s *console) exportDocument(_ context.Context, r *request) error {
	if r.draft == nil {
		return errNoDraft
	}
	src, err := r.draft.edit.Mine.Encode()
	if err != nil {
		return err
	}
	r.Header("Content-Disposition", `attachment; filename="policy.json"`)
	r.Data(200, "application/json", src)
	return nil
}
