package entry

import (
	"io"
	"net/http"

	"github.com/jacinthstall/jacinthstall/outcome"
)

// response is the response to a request, for a caller or a peer.
type response struct {
	outcome.Outcome
	header     http.Header
	bodyLength int64         // In bytes; -1 when unknown.
	body       io.ReadCloser // Nil when the request was refused or has no response of a target.
}

func refusalResponse(o outcome.Outcome) *response { return &response{Outcome: o} }

// targetBody is the body of a target's response. It calls onEnd once, with nil
// when the body was read completely.
type targetBody struct {
	io.ReadCloser
	keepLimit int    // Bytes of the body to keep.
	kept      []byte // First bytes of the body, at most keepLimit+1.
	onEnd     func(b *targetBody, err error)
	finished  bool
}

// Read returns io.EOF only at the declared end of the body.
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
