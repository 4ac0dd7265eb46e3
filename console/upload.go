package console

import (
	"context"
	"io"
	"mime/multipart"
	"time"

	"github.com/cloudwego/hertz/pkg/app"

	"github.com/jacinthstall/jacinthstall/policy"
)

const (
	documentField = "document"
	maxTokenBytes = 256
)

var errNoFile = &pageError{status: 400, message: "choose a file to import"}

// uploadedFile is an imported file.
type uploadedFile struct {
	name    string
	content []byte
}

// uploadHandler serves the form that imports a file. The token comes first in the
// form and is checked before anything of the file is read. One file is read
// and parsed at a time, for at most ImportTime; then the connection is closed.
// The file stays in memory: instances have no disks.
func (s *console) uploadHandler(next handler) app.HandlerFunc {
	return func(ctx context.Context, c *app.RequestContext) {
		s.setSecurityHeaders(c)
		r := &request{RequestContext: c}
		if err := s.checkHeaders(r, MaxImportBytes); err != nil {
			c.SetConnectionClose() // The body was not read.
			s.renderError(r, err)
			return
		}
		limit := time.AfterFunc(ImportTimeout, func() { _ = c.GetConn().Close() })
		defer limit.Stop()
		s.importSlot <- struct{}{}
		defer func() { <-s.importSlot }()
		if err := s.readImport(r); err != nil {
			c.SetConnectionClose()
			s.renderError(r, err)
			return
		}
		s.serve(ctx, r, next)
	}
}

// readImport checks the token and reads the file that follows it.
func (s *console) readImport(r *request) error {
	boundary := string(r.Request.Header.MultipartFormBoundary())
	if boundary == "" {
		return errNoFile
	}
	form := multipart.NewReader(r.RequestBodyStream(), boundary)
	_, token, err := readFormPart(form, tokenField, maxTokenBytes)
	if err != nil {
		return err
	}
	if err := s.checkToken(r, string(token)); err != nil {
		return err
	}
	r.upload.name, r.upload.content, err = readFormPart(form, documentField, policy.MaxDocumentBytes+1)
	if err == nil && r.upload.name == "" {
		return errNoFile
	}
	return err
}

// readFormPart reads at most limit bytes of the next part of a form, which must
// have the given name.
func readFormPart(form *multipart.Reader, name string, limit int64) (fileName string, content []byte, err error) {
	part, err := form.NextPart()
	if err != nil || part.FormName() != name {
		return "", nil, errNoFile
	}
	content, err = io.ReadAll(io.LimitReader(part, limit))
	if err != nil {
		return "", nil, errNoFile
	}
	return part.FileName(), content, nil
}
