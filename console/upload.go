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

// upload is an imported file.
type upload struct {
	name string
	src  []byte
}

// upload serves the form that imports a file. The token comes first in the
// form and is checked before anything of the file is read. One file is read
// and parsed at a time, for at most ImportTime; then the connection is closed.
// The file stays in memory: instances have no disks.
func (s *console) upload(next handler) app.HandlerFunc {
	return func(ctx context.Context, c *app.RequestContext) {
		s.secure(c)
		r := &request{RequestContext: c}
		if err := s.checkHead(r, MaxImportBytes); err != nil {
			c.SetConnectionClose() // The body was not read.
			s.fail(r, err)
			return
		}
		limit := time.AfterFunc(ImportTime, func() { _ = c.GetConn().Close() })
		defer limit.Stop()
		s.imports <- struct{}{}
		defer func() { <-s.imports }()
		if err := s.readImport(r); err != nil {
			c.SetConnectionClose()
			s.fail(r, err)
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
	_, token, err := readPart(form, tokenField, maxTokenBytes)
	if err != nil {
		return err
	}
	if err := s.checkToken(r, string(token)); err != nil {
		return err
	}
	r.upload.name, r.upload.src, err = readPart(form, documentField, policy.MaxDocumentBytes+1)
	if err == nil && r.upload.name == "" {
		return errNoFile
	}
	return err
}

// readPart reads at most limit bytes of the next part of a form, which must
// have the given name.
func readPart(form *multipart.Reader, name string, limit int64) (fileName string, content []byte, err error) {
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
