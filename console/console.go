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

// Bounds.
const (
	MaxDrafts        = 8
	MaxDraftBlocks   = 1_200_000 // Client blocks of all drafts; two drafts at the design scale of 570,000.
	DraftIdleTimeout = 12 * time.Hour
	ImportTimeout    = 2 * time.Minute // Longest time that an upload may take.
	MaxFormBytes     = 64 << 10
	MaxImportBytes   = policy.MaxDocumentBytes + 1<<20 // Room for the parts of the form around the document.

	maxHeaderBytes = 16 << 10
)

// ServerOptions are the options of a server for the console. They bound what
// the server reads of a request before a handler checks it to MaxFormBytes of
// body and maxHeaderBytes of head.
func ServerOptions() []config.Option {
	return []config.Option{
		server.WithStreamBody(true),
		server.WithMaxRequestBodySize(MaxFormBytes),
		server.WithMaxHeaderBytes(maxHeaderBytes),
		server.WithDisablePreParseMultipartForm(true),
	}
}

// Options are the surroundings of a console.
type Options struct {
	Reader           ctl.Publisher                                               // Reads the published document.
	NewPublisher     func(context.Context, ctl.Signature) (ctl.Publisher, error) // Publishes with an operator's signature.
	OperatorKeys     []ed25519.PublicKey                                         // Operators who may publish. Without any, the console is read-only.
	ReadBackInterval time.Duration                                               // Between two reads after an uncertain write.
	Now              func() time.Time                                            // time.Now when nil.
	Log              log.Interface                                               // log.Log when nil.
}

// console is the state behind the handlers.
type console struct {
	options     Options
	tokenSecret [32]byte // Key of the tokens against cross-site requests.
	drafts      *draftStore
	sections    []section
	importSlot  chan struct{} // Bounds the imports that are parsed at a time.
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

// request is one request of a session.
type request struct {
	*app.RequestContext
	session string
	upload  uploadedFile // Only set for an import.
	draft   *draft       // nil when the session has none. Locked while a handler runs.
}

// handler answers a request; an error becomes an error page.
type handler func(ctx context.Context, r *request) error

// getHandler serves a GET request.
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

// postHandler serves a POST request with a body of at most limit bytes.
func (ui *console) postHandler(limit int, next handler) app.HandlerFunc {
	return func(ctx context.Context, c *app.RequestContext) {
		ui.setSecurityHeaders(c)
		r := &request{RequestContext: c}
		if err := ui.checkForm(r, limit); err != nil {
			c.SetConnectionClose() // The body may not have been read.
			ui.renderError(r, err)
			return
		}
		ui.serve(ctx, r, next)
	}
}

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

// readSession returns the publishing steps for reading.
func (ui *console) readSession() ctl.Session {
	return ctl.Session{Publisher: ui.options.Reader, ReadBackInterval: ui.options.ReadBackInterval}
}
