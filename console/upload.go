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

// uploadedFile is a file that an operator imports.
type uploadedFile struct {
	name    string
	content []byte
}

// uploadHandler wraps the handler of the import form. The token is the first part
// of the form and is checked before any of the file is read. Files are read and
// parsed one at a time. After ImportTimeout the connection is closed. The file is
// held in memory because instances have no disks.
func (ui *console) uploadHandler(next handler) app.HandlerFunc {
	return func(ctx context.Context, c *app.RequestContext) {
		ui.setSecurityHeaders(c)
		r := &request{RequestContext: c}
		if err := ui.checkHeaders(r, MaxImportBytes); err != nil {
			c.SetConnectionClose() // The body is unread.
			ui.renderError(r, err)
			return
		}
		timer := time.AfterFunc(ImportTimeout, func() { _ = c.GetConn().Close() })
		defer timer.Stop()
		ui.importSlot <- struct{}{}
		defer func() { <-ui.importSlot }()
		if err := ui.readImport(r); err != nil {
			c.SetConnectionClose()
			ui.renderError(r, err)
			return
		}
		ui.serve(ctx, r, next)
	}
}

// readImport checks the token and then reads the file.
func (ui *console) readImport(r *request) error {
	boundary := string(r.Request.Header.MultipartFormBoundary())
	if boundary == "" {
		return errNoFile
	}
	form := multipart.NewReader(r.RequestBodyStream(), boundary)
	_, token, err := readFormPart(form, tokenField, maxTokenBytes)
	if err != nil {
		return err
	}
	if err := ui.checkToken(r, string(token)); err != nil {
		return err
	}
	r.upload.name, r.upload.content, err = readFormPart(form, documentField, policy.MaxDocumentBytes+1)
	if err == nil && r.upload.name == "" {
		return errNoFile
	}
	return err
}

// readFormPart reads at most limit bytes of the next part of a multipart form,
// which must have the given name.
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
