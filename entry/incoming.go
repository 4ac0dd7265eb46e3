package entry

import (
	"bytes"
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/jacinthstall/jacinthstall/forward"
	"github.com/jacinthstall/jacinthstall/outcome"
	"github.com/jacinthstall/jacinthstall/policy"
	"github.com/jacinthstall/jacinthstall/quarantine"
)

var (
	errBodyTooLarge = errors.New("request body is too large")
	errBodyTooSlow  = errors.New("request body arrives too slowly")
)

// incoming is one request, independent of how it arrived.
type incoming struct {
	method, uri string
	header      http.Header
	key         string
	hops        uint32 // Relays so far.
	forwards    uint32 // Times that the request was forwarded to another region.
	move        string // policy.Move.Key of the move that the request belongs to, or "".
	length      int64  // Bytes of the body; -1 when unknown.
	arrived     time.Time
	deadline    time.Time

	document *policy.Document
	service  policy.Service

	prefix []byte    // First bytes of the body, at most quarantine.MaxFingerprintBodyBytes.
	rest   io.Reader // What follows the prefix; nil when the prefix is all.
	used   bool      // Bytes of rest may have been read.
}

// readPrefix reads the part of the body that the fingerprint covers, before a
// target is occupied.
func (r *incoming) readPrefix(body io.Reader) *outcome.Outcome {
	if r.length > maxRequestBytes {
		return tooLarge()
	}
	if body == nil || r.length == 0 {
		return nil
	}
	buffer := make([]byte, quarantine.MaxFingerprintBodyBytes)
	if r.length > 0 && r.length < int64(len(buffer)) {
		buffer = buffer[:r.length]
	}
	n, err := io.ReadFull(body, buffer)
	r.prefix = buffer[:n]
	switch {
	case r.length > 0 && int64(n) == r.length:
		return nil
	case err == nil:
		r.rest = &bounded{from: body, left: maxRequestBytes - int64(n)}
		return nil
	case r.length < 0 && (err == io.EOF || (err == io.ErrUnexpectedEOF && ended(body))):
		r.length = int64(n)
		return nil
	}
	return &outcome.Outcome{Status: 408, Reason: outcome.ReasonBadRequest, Executed: outcome.No}
}

// ended tells a body that is over from one that broke off: io.ReadFull reports
// both as io.ErrUnexpectedEOF.
func ended(body io.Reader) bool {
	var one [1]byte
	n, err := body.Read(one[:])
	return n == 0 && err == io.EOF
}

func tooLarge() *outcome.Outcome {
	return &outcome.Outcome{Status: 413, Reason: outcome.ReasonBodyTooLarge, Executed: outcome.No}
}

// bounded fails when a body is longer than the bound.
type bounded struct {
	from io.Reader
	left int64
}

// Read returns errBodyTooLarge at the first byte beyond the bound.
func (b *bounded) Read(p []byte) (int, error) {
	n, err := b.from.Read(p)
	if b.left -= int64(n); b.left < 0 {
		return 0, errBodyTooLarge
	}
	return n, err
}

// markUsed notes that the rest of a body is being read.
type markUsed struct {
	r *incoming
}

// Read reads the rest of the body.
func (m markUsed) Read(p []byte) (int, error) {
	m.r.used = true
	return m.r.rest.Read(p)
}

func (r *incoming) fingerprint() quarantine.Fingerprint {
	request := quarantine.Request{Service: r.service.Name, Method: r.method, URI: r.uri, Body: r.prefix, BodyLength: r.length}
	return request.Fingerprint()
}

// outgoing returns the request for a target.
func (r *incoming) outgoing() *forward.Request {
	out := &forward.Request{Method: r.method, URI: r.uri, Header: r.header, Length: r.length}
	switch {
	case r.rest != nil:
		out.Body = io.MultiReader(bytes.NewReader(r.prefix), markUsed{r})
	case len(r.prefix) > 0:
		out.Body = bytes.NewReader(r.prefix)
	}
	return out
}

// repeatable reports whether the request can be sent again.
func (r *incoming) repeatable() bool { return !r.used }

func (r *incoming) targets() []quarantine.Target {
	var list []quarantine.Target
	for _, t := range r.document.Targets {
		if t.Service == r.service.Name {
			list = append(list, quarantine.Target{Name: t.Name, Domain: t.Domain})
		}
	}
	return list
}
