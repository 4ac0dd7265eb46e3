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

// incomingRequest is one request, independent of how it arrived.
type incomingRequest struct {
	method, uri    string
	header         http.Header
	idempotencyKey string
	hops           uint32 // Relays so far.
	forwards       uint32 // Times that the request was forwarded to another region.
	moveKey        string // policy.Move.Key of the move that the request belongs to, or "".
	bodyLength     int64  // Bytes of the body; -1 when unknown.
	arrived        time.Time
	deadline       time.Time

	document *policy.Document
	service  policy.Service

	bodyPrefix    []byte    // First bytes of the body, at most quarantine.MaxFingerprintBodyBytes.
	bodyRemainder io.Reader // What follows the prefix; nil when the prefix is all.
	remainderRead bool      // Bytes of rest may have been read.
}

// readBodyPrefix reads the part of the body that the fingerprint covers, before a
// target is occupied.
func (r *incomingRequest) readBodyPrefix(body io.Reader) *outcome.Outcome {
	if r.bodyLength > maxRequestBytes {
		return bodyTooLarge()
	}
	if body == nil || r.bodyLength == 0 {
		return nil
	}
	buffer := make([]byte, quarantine.MaxFingerprintBodyBytes)
	if r.bodyLength > 0 && r.bodyLength < int64(len(buffer)) {
		buffer = buffer[:r.bodyLength]
	}
	n, err := io.ReadFull(body, buffer)
	r.bodyPrefix = buffer[:n]
	switch {
	case r.bodyLength > 0 && int64(n) == r.bodyLength:
		return nil
	case err == nil:
		r.bodyRemainder = &limitedBody{source: body, remaining: maxRequestBytes - int64(n)}
		return nil
	case r.bodyLength < 0 && (err == io.EOF || (err == io.ErrUnexpectedEOF && atEOF(body))):
		r.bodyLength = int64(n)
		return nil
	}
	return &outcome.Outcome{Status: 408, Reason: outcome.ReasonBadRequest, Executed: outcome.No}
}

// atEOF tells a body that is over from one that broke off: io.ReadFull reports
// both as io.ErrUnexpectedEOF.
func atEOF(body io.Reader) bool {
	var one [1]byte
	n, err := body.Read(one[:])
	return n == 0 && err == io.EOF
}

func bodyTooLarge() *outcome.Outcome {
	return &outcome.Outcome{Status: 413, Reason: outcome.ReasonBodyTooLarge, Executed: outcome.No}
}

// limitedBody fails when a body is longer than the bound.
type limitedBody struct {
	source    io.Reader
	remaining int64
}

// Read returns errBodyTooLarge at the first byte beyond the bound.
func (b *limitedBody) Read(p []byte) (int, error) {
	n, err := b.source.Read(p)
	if b.remaining -= int64(n); b.remaining < 0 {
		return 0, errBodyTooLarge
	}
	return n, err
}

// trackedRemainder notes that the rest of a body is being read.
type trackedRemainder struct {
	request *incomingRequest
}

// Read reads the rest of the body.
func (m trackedRemainder) Read(p []byte) (int, error) {
	m.request.remainderRead = true
	return m.request.bodyRemainder.Read(p)
}

func (r *incomingRequest) fingerprint() quarantine.Fingerprint {
	request := quarantine.Request{Service: r.service.Name, Method: r.method, URI: r.uri, Body: r.bodyPrefix, BodyLength: r.bodyLength}
	return request.Fingerprint()
}

// targetRequest returns the request for a target.
func (r *incomingRequest) targetRequest() *forward.Request {
	out := &forward.Request{Method: r.method, URI: r.uri, Header: r.header, Length: r.bodyLength}
	switch {
	case r.bodyRemainder != nil:
		out.Body = io.MultiReader(bytes.NewReader(r.bodyPrefix), trackedRemainder{r})
	case len(r.bodyPrefix) > 0:
		out.Body = bytes.NewReader(r.bodyPrefix)
	}
	return out
}

// retryable reports whether the request can be sent again.
func (r *incomingRequest) retryable() bool { return !r.remainderRead }

func (r *incomingRequest) serviceTargets() []quarantine.Target {
	var list []quarantine.Target
	for _, t := range r.document.Targets {
		if t.Service == r.service.Name {
			list = append(list, quarantine.Target{Name: t.Name, Domain: t.Domain})
		}
	}
	return list
}
