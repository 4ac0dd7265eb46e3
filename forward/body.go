package forward

import (
	"errors"
	"io"
)

// body is the body of an answer. It ends with io.EOF only at its declared end.
type body struct {
	exchange *exchange
	from     io.ReadCloser
	close    bool // The target closes the connection after the answer.
	unframed bool
	// untilClose takes the end of the connection as the end of the body.
	untilClose bool
	ended      bool
	err        error
}

// Read passes on what has arrived. Errors other than io.EOF are an *Error.
func (b *body) Read(p []byte) (int, error) {
	if b.err != nil {
		return 0, b.err
	}
	n, err := b.from.Read(p)
	switch {
	case err == nil:
		return n, nil
	case err == io.EOF && (!b.unframed || b.untilClose):
		b.complete()
	case err == io.EOF:
		b.fail(ErrUnframed)
	default:
		b.fail(err)
	}
	return n, b.err
}

func (b *body) complete() {
	b.err = io.EOF
	b.finish(!b.close && !b.unframed && b.exchange.requestWritten())
}

func (b *body) fail(err error) {
	x := b.exchange
	failure := &Error{Target: x.target.Address, Stage: StageAnswered, Err: err, Crashed: x.crashed()}
	if cause := x.ctx.Err(); cause != nil {
		failure.Err = cause
	}
	b.err = failure
	b.finish(false)
}

func (b *body) finish(reuse bool) {
	if b.ended {
		return
	}
	b.ended = true
	b.exchange.end(reuse)
}

var errClosed = errors.New("body is closed")

// Close ends the exchange. A connection whose body was not read to its end is
// closed.
func (b *body) Close() error {
	if b.err == nil {
		b.err = errClosed
	}
	b.finish(false)
	return nil
}
