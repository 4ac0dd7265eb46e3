package gateway

import (
	"errors"
	"io"
	"time"

	"github.com/apex/log"

	"github.com/jacinthstall/jacinthstall/events"
	"github.com/jacinthstall/jacinthstall/forward"
	"github.com/jacinthstall/jacinthstall/steering"
)

// crashStage is the part of the response that was outstanding when a target closed
// the connection.
type crashStage string

const (
	crashBeforeHead crashStage = "head"
	crashInBody     crashStage = "body"
)

// recordCrash counts that a target closed the connection while it executed the
// request.
func (g *Gateway) recordCrash(request *routedRequest, target *steering.Target, stage crashStage) {
	crashes := g.Suspects.RecordCrash(time.Now(), request.fingerprint(), request.crashesWhenSent)
	g.events.Emit(events.CrashCounted, log.Fields{"request": request.id, "target": target.ID, "service": request.service,
		"fingerprint": request.fingerprint().String(), "stage": string(stage), "crashes": crashes})
}

// recordComplete clears the request of suspicion after a complete response.
func (g *Gateway) recordComplete(request *routedRequest) {
	if g.Suspects.Any() {
		g.Suspects.Clear(time.Now(), request.fingerprint())
	}
}

// watchBody returns the response body of an attempt. How it ends tells whether the
// target crashed, also when the body is passed on while it arrives.
func (g *Gateway) watchBody(request *routedRequest, target *steering.Target, body io.ReadCloser) io.ReadCloser {
	return &watchedBody{ReadCloser: body, onEnd: func(err error) {
		var failure *forward.Error
		switch {
		case err == io.EOF:
			g.recordComplete(request)
		case errors.As(err, &failure) && failure.TargetClosed:
			g.recordCrash(request, target, crashInBody)
		}
	}}
}

// watchRelayedBody is watchBody for a response that comes through a relay. The relay
// records crashes: here, the end of the connection may be that of the relay.
func (g *Gateway) watchRelayedBody(request *routedRequest, body io.ReadCloser) io.ReadCloser {
	return &watchedBody{ReadCloser: body, onEnd: func(err error) {
		if err == io.EOF {
			g.recordComplete(request)
		}
	}}
}

// watchedBody calls onEnd with the error that ends a body, io.EOF after the whole
// body. It is not called if the body is closed before.
type watchedBody struct {
	io.ReadCloser
	onEnd func(error)
}

func (body *watchedBody) Read(p []byte) (int, error) {
	n, err := body.ReadCloser.Read(p)
	if err != nil && body.onEnd != nil {
		body.onEnd(err)
		body.onEnd = nil
	}
	return n, err
}
