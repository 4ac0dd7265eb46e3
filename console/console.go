package console

import (
	"context"
	"crypto/ed25519"
	"crypto/rand"
	"time"

	"github.com/apex/log"
	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/app/server"
	"github.com/cloudwego/hertz/pkg/common/config"

	"github.com/jacinthstall/jacinthstall/internal/ctl"
	"github.com/jacinthstall/jacinthstall/policy"
)

// Limits of the console.
const (
	MaxDrafts        = 8
	MaxDraftBlocks   = 1_200_000 // Client blocks in all drafts together: two drafts at the design scale of 570,000.
	DraftIdleTimeout = 12 * time.Hour
	ImportTimeout    = 2 * time.Minute // For a whole import request, including the wait for importSlot.
	MaxFormBytes     = 64 << 10
	MaxImportBytes   = policy.MaxDocumentBytes + 1<<20 // The document and the other parts of the multipart form.

	maxHeaderBytes = 16 << 10
)

// ServerOptions returns the options of an HTTP server for the console. Before a
// handler has checked a request, the server reads at most maxHeaderBytes of its
// header and MaxFormBytes of its body.
func ServerOptions() []config.Option {
	return []config.Option{
		server.WithStreamBody(true),
		server.WithMaxRequestBodySize(MaxFormBytes),
		server.WithMaxHeaderBytes(maxHeaderBytes),
		server.WithDisablePreParseMultipartForm(true),
	}
}

// Options configures a console.
type Options struct {
	Reader           ctl.Publisher                                               // Reads the published document.
	NewPublisher     func(context.Context, ctl.Signature) (ctl.Publisher, error) // Returns a publisher that uses an operator's signature.
	OperatorKeys     []ed25519.PublicKey                                         // Keys that may publish. If empty, the console is read-only.
	ReadBackInterval time.Duration                                               // Time between two reads after a write of unknown outcome.
	Now              func() time.Time                                            // Defaults to time.Now.
	Log              log.Interface                                               // Defaults to log.Log.
}

// console holds the state that the handlers share.
type console struct {
	options     Options
	tokenSecret [32]byte // HMAC key of the CSRF tokens.
	drafts      *draftStore
	sections    []section
	importSlot  chan struct{} // Capacity 1: imports are read and parsed one at a time.
}

// Register adds the console's routes under /console.
func Register(h *server.Hertz, options Options) error {
	if options.Now == nil {
		options.Now = time.Now
	}
	if options.Log == nil {
		options.Log = log.Log
	}
	ui := &console{options: options, drafts: newDraftStore(options.Now), sections: allSections(), importSlot: make(chan struct{}, 1)}
	if _, err := rand.Read(ui.tokenSecret[:]); err != nil {
		return err
	}
	h.GET("/console", ui.getHandler(ui.showOverview))
	h.GET("/console/style.css", serveStylesheet)
	h.GET("/console/edit/:section", ui.getHandler(ui.showSection))
	h.GET("/console/export", ui.getHandler(ui.exportDocument))
	h.GET("/console/review", ui.getHandler(ui.showReview))
	h.POST("/console/draft", ui.postHandler(MaxFormBytes, ui.startDraft))
	h.POST("/console/discard", ui.postHandler(MaxFormBytes, ui.discardDraft))
	h.POST("/console/edit/:section", ui.postHandler(MaxFormBytes, ui.saveSection))
	h.POST("/console/import", ui.uploadHandler(ui.importDocument))
	h.POST("/console/publish", ui.postHandler(MaxFormBytes, ui.publish))
	h.POST("/console/resolve", ui.postHandler(MaxFormBytes, ui.resolveConflicts))
	h.POST("/console/readback", ui.postHandler(MaxFormBytes, ui.readBackWrite))
	h.POST("/console/abandon", ui.postHandler(MaxFormBytes, ui.abandonWrite))
	return nil
}

// request is an HTTP request of an operator's session.
type request struct {
	*app.RequestContext
	session string
	upload  uploadedFile // Set only for an import.
	draft   *draft       // The session's draft or nil. Locked while a handler runs.
}

// handler responds to a request. An error that it returns is shown as an error
// page.
type handler func(ctx context.Context, r *request) error

// getHandler wraps a handler of GET requests: it checks the host and identifies
// the session.
func (ui *console) getHandler(next handler) app.HandlerFunc {
	return func(ctx context.Context, c *app.RequestContext) {
		ui.setSecurityHeaders(c)
		r := &request{RequestContext: c}
		if err := checkHost(c); err != nil {
			ui.renderError(r, err)
			return
		}
		session, err := ui.sessionID(c)
		if err != nil {
			ui.renderError(r, err)
			return
		}
		r.session = session
		ui.serve(ctx, r, next)
	}
}

// postHandler wraps a handler of POST requests: it checks the origin, the token
// and that the body has at most limit bytes.
func (ui *console) postHandler(limit int, next handler) app.HandlerFunc {
	return func(ctx context.Context, c *app.RequestContext) {
		ui.setSecurityHeaders(c)
		r := &request{RequestContext: c}
		if err := ui.checkForm(r, limit); err != nil {
			c.SetConnectionClose() // The body may be unread.
			ui.renderError(r, err)
			return
		}
		ui.serve(ctx, r, next)
	}
}

// serve calls the handler with the draft of the session locked.
func (ui *console) serve(ctx context.Context, r *request, next handler) {
	if d := ui.drafts.get(r.session); d != nil {
		d.mu.Lock()
		defer d.mu.Unlock()
		if !d.ended {
			r.draft = d
		}
	}
	if err := next(ctx, r); err != nil {
		ui.renderError(r, err)
	}
}

// readSession returns a session that can only read the published document.
func (ui *console) readSession() ctl.Session {
	return ctl.Session{Publisher: ui.options.Reader, ReadBackInterval: ui.options.ReadBackInterval}
}
