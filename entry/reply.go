package entry

import (
	"io"
	"net/http"

	"github.com/jacinthstall/jacinthstall/outcome"
)

// reply is the result of a request, independent of how it is passed on.
type reply struct {
	outcome.Outcome
	header http.Header
	length int64         // Bytes of the body; -1 when unknown.
	body   io.ReadCloser // Nil when the outcome has no answer of a target.
}

func refused(o outcome.Outcome) *reply { return &reply{Outcome: o} }

// answerBody passes on the body of a target's answer and calls done once with
// its end: nil when it was complete.
type answerBody struct {
	io.ReadCloser
	limit int    // Bytes to keep.
	kept  []byte // First bytes of the body, at most limit+1.
	done  func(b *answerBody, err error)
	ended bool
}

// Read returns io.EOF only at the declared end of the answer.
func (b *answerBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if room := b.limit + 1 - len(b.kept); b.limit > 0 && room > 0 {
		b.kept = append(b.kept, p[:min(n, room)]...)
	}
	if err == io.EOF {
		b.end(nil)
	} else if err != nil {
		b.end(err)
	}
	return n, err
}

// Close ends the exchange with the target.
func (b *answerBody) Close() error {
	err := b.ReadCloser.Close()
	b.end(errNotRead)
	return err
}

func (b *answerBody) end(err error) {
	if !b.ended {
		b.ended = true
		b.done(b, err)
	}
}
