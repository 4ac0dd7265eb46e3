package console

import (
	"context"
	"net/url"
	"strconv"

	"github.com/jacinthstall/jacinthstall/internal/ctl"
	"github.com/jacinthstall/jacinthstall/policy"
)

var errNoDraft = &pageError{status: 409, message: "this session has no edit, or the instance has restarted; start an edit first"}

// overviewBody is the content of the start page.
type overviewBody struct {
	Published uint64
	Problem   string // Why the published version could not be read.
}

func (ui *console) showOverview(ctx context.Context, r *request) error {
	var body overviewBody
	var err error
	if _, body.Published, err = ui.options.Reader.Current(ctx); err != nil {
		body.Problem = err.Error()
	}
	return ui.render(r, 200, "overview", "Console", body)
}

// startDraft creates a draft of the published document, unless the session has
// one already.
func (ui *console) startDraft(ctx context.Context, r *request) error {
	if r.draft == nil {
		base, err := ui.readSession().Current(ctx)
		if err != nil {
			return err
		}
		if base == nil {
			base = &policy.Document{}
		}
		if err := ui.drafts.put(r.session, &draft{edit: ctl.Edit{Base: base, Mine: base}}); err != nil {
			return err
		}
	}
	return redirect(r, "/console")
}

func (ui *console) discardDraft(_ context.Context, r *request) error {
	ui.endDraft(r)
	return redirect(r, "/console")
}

// endDraft removes the session's draft.
func (ui *console) endDraft(r *request) {
	if r.draft != nil {
		r.draft.ended = true
	}
	ui.drafts.remove(r.session)
	r.draft = nil
}

func redirect(r *request, to string) error {
	r.Redirect(303, []byte(to))
	return nil
}

// editable returns the draft if it may be edited.
func (r *request) editable() (*draft, error) {
	if r.draft == nil {
		return nil, errNoDraft
	}
	if r.draft.pending != nil {
		return nil, &pageError{status: 409, message: "the outcome of the last write is unknown; settle it on the review page first"}
	}
	return r.draft, nil
}

// sectionBody is the content of a page with the forms of a section.
type sectionBody struct {
	Section        section
	Rows           []row
	Empty          []input
	Filter         string
	Matches        int
	First, Last    int // Numbers of the first and the last row shown, starting at 1.
	Previous, Next int // Offsets of the neighbouring pages; -1 if there is none.
}

func (ui *console) showSection(_ context.Context, r *request) error {
	section, err := ui.findSection(r.Param("section"))
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
	rows, matches := section.rows(r.draft.edit.Mine, filter, offset)
	body := sectionBody{Section: section, Rows: rows, Empty: section.newInputs(), Filter: filter, Matches: matches,
		First: min(offset+1, matches), Last: offset + len(rows), Previous: -1, Next: -1}
	if offset > 0 {
		body.Previous = max(0, offset-rowsPerPage)
	}
	if body.Last < matches {
		body.Next = body.Last
	}
	return ui.render(r, 200, "section", section.Title, body)
}

func (ui *console) saveSection(_ context.Context, r *request) error {
	section, err := ui.findSection(r.Param("section"))
	if err != nil {
		return err
	}
	draft, err := r.editable()
	if err != nil {
		return err
	}
	value := func(name string) string { return string(r.FormValue("field-" + name)) }
	key := string(r.FormValue("key"))
	var next *policy.Document
	if string(r.FormValue("action")) == "remove" {
		next, err = section.remove(draft.edit.Mine, key)
	} else {
		next, err = section.save(draft.edit.Mine, key, value)
	}
	if err != nil {
		return err
	}
	draft.setDocument(next)
	return redirect(r, "/console/edit/"+section.Name+"?filter="+url.QueryEscape(string(r.FormValue("filter"))))
}

// importDocument replaces the document of the draft by an uploaded one. If the
// upload is not valid, the draft stays unchanged.
func (ui *console) importDocument(_ context.Context, r *request) error {
	draft, err := r.editable()
	if err != nil {
		return err
	}
	mine, err := policy.Parse(r.upload.name, r.upload.content)
	if err != nil {
		return err
	}
	if err := ui.drafts.updateBlocks(r.session, len(mine.Blocks)); err != nil {
		return err
	}
	draft.setDocument(mine)
	return redirect(r, "/console/review")
}

// exportDocument sends the document of the draft, valid or not, so that it can be
// saved or imported at another instance.
func (ui *console) exportDocument(_ context.Context, r *request) error {
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
