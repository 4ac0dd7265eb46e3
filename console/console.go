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
func Register(h *server.Hertz, o Options) error {
	if o.Now == nil {
		o.Now = time.Now
	}
	if o.Log == nil {
		o.Log = log.Log
	}
	s := &console{options: o, drafts: newDraftStore(o.Now), sections: allSections(), importSlot: make(chan struct{}, 1)}
	if _, err := rand.Read(s.tokenSecret[:]); err != nil {
		return err
	}
	h.GET("/console", s.getHandler(s.showOverview))
	h.GET("/console/style.css", serveStylesheet)
	h.GET("/console/edit/:section", s.getHandler(s.showSection))
	h.GET("/console/export", s.getHandler(s.exportDocument))
	h.GET("/console/review", s.getHandler(s.showReview))
	h.POST("/console/draft", s.postHandler(MaxFormBytes, s.startDraft))
	h.POST("/console/discard", s.postHandler(MaxFormBytes, s.discardDraft))
	h.POST("/console/edit/:section", s.postHandler(MaxFormBytes, s.saveSection))
	h.POST("/console/import", s.uploadHandler(s.importDocument))
	h.POST("/console/publish", s.postHandler(MaxFormBytes, s.publish))
	h.POST("/console/resolve", s.postHandler(MaxFormBytes, s.resolveConflicts))
	h.POST("/console/readback", s.postHandler(MaxFormBytes, s.readBackWrite))
	h.POST("/console/abandon", s.postHandler(MaxFormBytes, s.abandonWrite))
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
func (s *console) getHandler(next handler) app.HandlerFunc {
	return func(ctx context.Context, c *app.RequestContext) {
		s.setSecurityHeaders(c)
		r := &request{RequestContext: c}
		if err := checkHost(c); err != nil {
			s.renderError(r, err)
			return
		}
		session, err := s.sessionID(c)
		if err != nil {
			s.renderError(r, err)
			return
		}
		r.session = session
		s.serve(ctx, r, next)
	}
}

// postHandler serves a POST request with a body of at most limit bytes.
func (s *console) postHandler(limit int, next handler) app.HandlerFunc {
	return func(ctx context.Context, c *app.RequestContext) {
		s.setSecurityHeaders(c)
		r := &request{RequestContext: c}
		if err := s.checkForm(r, limit); err != nil {
			c.SetConnectionClose() // The body may not have been read.
			s.renderError(r, err)
			return
		}
		s.serve(ctx, r, next)
	}
}

func (s *console) serve(ctx context.Context, r *request, next handler) {
	if d := s.drafts.get(r.session); d != nil {
		d.mu.Lock()
		defer d.mu.Unlock()
		if !d.ended {
			r.draft = d
		}
	}
	if err := next(ctx, r); err != nil {
		s.renderError(r, err)
	}
}

// readSession returns the publishing steps for reading.
func (s *console) readSession() ctl.Session {
	return ctl.Session{Publisher: s.options.Reader, ReadBackInterval: s.options.ReadBackInterval}
}
