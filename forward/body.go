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
func (b *responseBody) Read(p []byte) (int, error) {
	if b.err != nil {
		return 0, b.err
	}
	n, err := b.source.Read(p)
	switch {
	case err == nil:
		return n, nil
	case err == io.EOF && (!b.closeDelimited || b.allowCloseDelimited):
		b.complete()
	case err == io.EOF:
		b.fail(ErrCloseDelimited)
	default:
		b.fail(err)
	}
	return n, b.err
}

func (b *responseBody) complete() {
	b.err = io.EOF
	b.finish(!b.closeAfter && !b.closeDelimited && b.exchange.requestSent())
}

func (b *responseBody) fail(err error) {
	x := b.exchange
	failure := &Error{Target: x.target.Address, Stage: StageBody, Err: err, TargetClosed: x.closedByTarget()}
	if cause := x.ctx.Err(); cause != nil {
		failure.Err = cause
	}
	b.err = failure
	b.finish(false)
}

func (b *responseBody) finish(reuse bool) {
	if b.finished {
		return
	}
	b.finished = true
	b.exchange.finish(reuse)
}

var errBodyClosed = errors.New("body is closed")

// Close ends the exchange. A connection whose body was not read to its end is
// closed.
func (b *responseBody) Close() error {
	if b.err == nil {
		b.err = errBodyClosed
	}
	b.finish(false)
	return nil
}
