package forward

import (
	"errors"
	"io"
)

// responseBody is the body of an answer. It ends with io.EOF only at its declared end.
type responseBody struct {
	exchange       *exchange
	source         io.ReadCloser
	closeAfter     bool // The target closes the connection after the answer.
	closeDelimited bool
	// allowCloseDelimited takes the end of the connection as the end of the body.
	allowCloseDelimited bool
	finished            bool
	err                 error
}

// Read passes on what has arrived. Errors other than io.EOF are an *Error.
func (body *responseBody) Read(p []byte) (int, error) {
	if body.err != nil {
		return 0, body.err
	}
	n, err := body.source.Read(p)
	switch {
	case err == nil:
		return n, nil
	case err == io.EOF && (!body.closeDelimited || body.allowCloseDelimited):
		body.complete()
	case err == io.EOF:
		body.fail(ErrCloseDelimited)
	default:
		body.fail(err)
	}
	return n, body.err
}

func (body *responseBody) complete() {
	body.err = io.EOF
	body.finish(!body.closeAfter && !body.closeDelimited && body.exchange.requestSent())
}

func (body *responseBody) fail(err error) {
	ex := body.exchange
	failure := &Error{Target: ex.target.Address, Stage: StageBody, Err: err, TargetClosed: ex.closedByTarget()}
	if cause := ex.ctx.Err(); cause != nil {
		failure.Err = cause
	}
	body.err = failure
	body.finish(false)
}

func (body *responseBody) finish(reuse bool) {
	if body.finished {
		return
	}
	body.finished = true
	body.exchange.finish(reuse)
}

var errBodyClosed = errors.New("body is closed")

// Close ends the exchange. A connection whose body was not read to its end is
// closed.
func (body *responseBody) Close() error {
	if body.err == nil {
		body.err = errBodyClosed
	}
	body.finish(false)
	return nil
}
