package console

import (
	"bytes"
	"context"
	"embed"
	"errors"
	"html/template"

	"github.com/cloudwego/hertz/pkg/app"

	"github.com/jacinthstall/jacinthstall/finding"
	"github.com/jacinthstall/jacinthstall/internal/ctl"
)

//go:embed templates
var templateFiles embed.FS

var templates = parseTemplates("overview", "section", "review", "message")

func parseTemplates(names ...string) map[string]*template.Template {
	out := map[string]*template.Template{}
	for _, name := range names {
		out[name] = template.Must(template.ParseFS(templateFiles, "templates/layout.html", "templates/"+name+".html"))
	}
	return out
}

// pageData is what every page shows.
type pageData struct {
	Title    string
	Token    string
	HasDraft bool
	ReadOnly bool   // There are no operator keys.
	Base     uint64 // Version that the draft is based on.
	Sections []section
	Body     any
}

func (s *console) render(r *request, status int, name, title string, body any) error {
	v := pageData{Title: title, Token: s.token(r.session), HasDraft: r.draft != nil, ReadOnly: len(s.options.OperatorKeys) == 0, Sections: s.sections, Body: body}
	if r.draft != nil {
		v.Base = r.draft.edit.Base.Version
	}
	var b bytes.Buffer
	if err := templates[name].ExecuteTemplate(&b, "layout", v); err != nil {
		return err
	}
	r.Data(status, "text/html; charset=utf-8", b.Bytes())
	return nil
}

// messageBody is the body of a page that only tells something.
type messageBody struct {
	Text     string
	Findings []finding.Finding
	Omitted  int
}

func (s *console) renderMessage(r *request, status int, title, text string) error {
	return s.render(r, status, "message", title, messageBody{Text: text})
}

// pageError is an error with its HTTP status and a text for the operator.
type pageError struct {
	status  int
	message string
}

// Error implements error.
func (e *pageError) Error() string { return e.message }

// renderError answers with a page for an error.
func (s *console) renderError(r *request, err error) {
	body := messageBody{Text: err.Error()}
	var found *finding.Error
	if errors.As(err, &found) {
		body = messageBody{Text: "The document is not valid.", Findings: found.Findings, Omitted: found.Omitted}
	}
	if renderErr := s.render(r, statusOf(err), "message", "Not done", body); renderErr != nil {
		r.String(500, "internal error\n")
	}
}

func statusOf(err error) int {
	var page *pageError
	var found *finding.Error
	var unavailable *ctl.UnavailableError
	var noKey *ctl.NoKeyError
	var stale *ctl.StaleError
	switch {
	case errors.As(err, &page):
		return page.status
	case errors.As(err, &found):
		return 422
	case errors.As(err, &unavailable), errors.As(err, &stale):
		return 503
	case errors.As(err, &noKey):
		return 403
	}
	return 500
}

func serveStylesheet(_ context.Context, c *app.RequestContext) {
	css, err := templateFiles.ReadFile("templates/style.css")
	if err != nil {
		c.String(500, "internal error\n")
		return
	}
	c.Data(200, "text/css; charset=utf-8", css)
}
