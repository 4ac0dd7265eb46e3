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

// incomingRequest is a request to serve, received from a caller or from a peer.
type incomingRequest struct {
	method, uri    string
	header         http.Header
	idempotencyKey string
	hops           uint32 // Number of relays so far.
	forwards       uint32 // Number of times the request was forwarded to another region.
	moveKey        string // policy.Move.Key of the move that applies to the request, or "".
	bodyLength     int64  // In bytes; -1 when unknown.
	arrived        time.Time
	deadline       time.Time

	document *policy.Document
	service  policy.Service

	bodyPrefix    []byte    // First bytes of the body, at most quarantine.MaxFingerprintBodyBytes.
	bodyRemainder io.Reader // Body after bodyPrefix; nil when bodyPrefix is the whole body.
	remainderRead bool      // Whether bytes of bodyRemainder may have been read.
}

// readBodyPrefix reads the part of the body that the fingerprint covers. It is
// called before the request occupies a target.
func (request *incomingRequest) readBodyPrefix(body io.Reader) *outcome.Outcome {
	if request.bodyLength > maxRequestBytes {
		return bodyTooLarge()
	}
	if body == nil || request.bodyLength == 0 {
		return nil
	}
	buffer := make([]byte, quarantine.MaxFingerprintBodyBytes)
	if request.bodyLength > 0 && request.bodyLength < int64(len(buffer)) {
		buffer = buffer[:request.bodyLength]
	}
	n, err := io.ReadFull(body, buffer)
	request.bodyPrefix = buffer[:n]
	switch {
	case request.bodyLength > 0 && int64(n) == request.bodyLength:
		return nil
	case err == nil:
		request.bodyRemainder = &limitedBody{source: body, remaining: maxRequestBytes - int64(n)}
		return nil
	case request.bodyLength < 0 && (err == io.EOF || (err == io.ErrUnexpectedEOF && atEOF(body))):
		request.bodyLength = int64(n)
		return nil
	}
	return &outcome.Outcome{Status: 408, Reason: outcome.ReasonBadRequest, Executed: outcome.No}
}

// atEOF distinguishes a complete body from a truncated one, since io.ReadFull
// reports io.ErrUnexpectedEOF for both.
func atEOF(body io.Reader) bool {
	var buffer [1]byte
	n, err := body.Read(buffer[:])
	return n == 0 && err == io.EOF
}

func bodyTooLarge() *outcome.Outcome {
	return &outcome.Outcome{Status: 413, Reason: outcome.ReasonBodyTooLarge, Executed: outcome.No}
}

// limitedBody returns an error when a body is longer than the limit.
type limitedBody struct {
	source    io.Reader
	remaining int64
}

// Read returns errBodyTooLarge at the first byte beyond the limit.
func (b *limitedBody) Read(p []byte) (int, error) {
	n, err := b.source.Read(p)
	if b.remaining -= int64(n); b.remaining < 0 {
		return 0, errBodyTooLarge
	}
	return n, err
}

// trackedRemainder reads the remainder of a request's body and records that it
// was read, which rules out a retry.
type trackedRemainder struct {
	request *incomingRequest
}

// Read implements io.Reader.
func (t trackedRemainder) Read(p []byte) (int, error) {
	t.request.remainderRead = true
	return t.request.bodyRemainder.Read(p)
}

func (request *incomingRequest) fingerprint() quarantine.Fingerprint {
	content := quarantine.Request{Destination: request.service.Name, Method: request.method, URI: request.uri,
		Body: request.bodyPrefix, BodyLength: request.bodyLength}
	return content.Fingerprint()
}

// targetRequest returns the request to send to a target.
func (request *incomingRequest) targetRequest() *forward.Request {
	out := &forward.Request{Method: request.method, URI: request.uri, Header: request.header, Length: request.bodyLength,
		CloseAfter: statesNotExecuted}
	switch {
	case request.bodyRemainder != nil:
		out.Body = io.MultiReader(bytes.NewReader(request.bodyPrefix), trackedRemainder{request})
	case len(request.bodyPrefix) > 0:
		out.Body = bytes.NewReader(request.bodyPrefix)
	}
	return out
}

// retryable reports whether the request can be sent again. The remainder of the
// body is streamed and cannot be read a second time.
func (request *incomingRequest) retryable() bool { return !request.remainderRead }

func (request *incomingRequest) serviceTargets() []quarantine.Target {
	var list []quarantine.Target
	for _, t := range request.document.Targets {
		if t.Service == request.service.Name {
			list = append(list, quarantine.Target{Name: t.Name, Domain: t.Domain})
		}
	}
	return list
}
