package forward

import (
	"errors"
	"io"
)

// responseBody is the body of a target's response. Read returns io.EOF only
// when the whole body has been read.
type responseBody struct {
	exchange       *exchange
	source         io.ReadCloser
	closeAfter     bool // The target closes the connection after the response.
	closeDelimited bool // Neither a length nor chunked encoding was declared.
	// allowCloseDelimited accepts the end of the connection as the end of a
	// close-delimited body.
	allowCloseDelimited bool
	finished            bool
	err                 error
}

// Read returns the bytes that have arrived. Until Close is called, errors other
// than io.EOF have the type *Error.
func (body *responseBody) Read(p []byte) (int, error) {
	if body.err != nil {
		return 0, body.err
	}
	n, err := body.source.Read(p)
	switch {
	case err == nil:
		return n, nil
	case err == io.EOF && !body.closeDelimited:
		body.complete()
	case err == io.EOF && !body.allowCloseDelimited:
		body.fail(ErrCloseDelimited)
	case err == io.EOF:
		body.connectionEnded()
	default:
		body.fail(err)
	}
	return n, body.err
}

func (body *responseBody) complete() {
	body.err = io.EOF
	end := completed
	if !body.closeAfter && !body.closeDelimited && body.exchange.requestSent() {
		end = reusable
	}
	body.finish(end)
}

// connectionEnded ends a close-delimited body at the end of the connection. The
// body is complete unless the connection failed.
func (body *responseBody) connectionEnded() {
	if err := body.exchange.conn.failureSeenByWriter(); err != nil {
		body.fail(err)
		return
	}
	body.complete()
}

func (body *responseBody) fail(err error) {
	ex := body.exchange
	failure := &Error{Target: ex.target.Address, Stage: StageBody, Err: err, TargetClosed: ex.closedByTarget()}
	if cause := ex.ctx.Err(); cause != nil {
		failure.Err = cause
	}
	body.err = failure
	body.finish(abandoned)
}

func (body *responseBody) finish(end exchangeEnd) {
	if body.finished {
		return
	}
	body.finished = true
	body.exchange.finish(end)
}

var errBodyClosed = errors.New("read on closed response body")

// Close ends the exchange. The connection is closed unless the body was read
// to its end.
func (body *responseBody) Close() error {
	if body.err == nil {
		body.err = errBodyClosed
	}
	body.finish(abandoned)
	return nil
}
