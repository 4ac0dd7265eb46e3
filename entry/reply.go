package entry

import (
	"io"
	"net/http"

	"github.com/jacinthstall/jacinthstall/outcome"
)

// response is the result of a request, independent of how it is passed on.
type response struct {
	outcome.Outcome
	header     http.Header
	bodyLength int64         // Bytes of the body; -1 when unknown.
	body       io.ReadCloser // Nil when the outcome has no answer of a target.
}

func refusalResponse(o outcome.Outcome) *response { return &response{Outcome: o} }

// targetBody passes on the body of a target's answer and calls done once with
// its end: nil when it was complete.
type targetBody struct {
	io.ReadCloser
	keepLimit int    // Bytes to keep.
	kept      []byte // First bytes of the body, at most limit+1.
	onEnd     func(b *targetBody, err error)
	finished  bool
}

// Read returns io.EOF only at the declared end of the answer.
func (b *targetBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if room := b.keepLimit + 1 - len(b.kept); b.keepLimit > 0 && room > 0 {
		b.kept = append(b.kept, p[:min(n, room)]...)
	}
	if err == io.EOF {
		b.finish(nil)
	} else if err != nil {
		b.finish(err)
	}
	return n, err
}

// Close ends the exchange with the target.
func (b *targetBody) Close() error {
	err := b.ReadCloser.Close()
	b.finish(errBodyNotRead)
	return err
}

func (b *targetBody) finish(err error) {
	if !b.finished {
		b.finished = true
		b.onEnd(b, err)
	}
}
