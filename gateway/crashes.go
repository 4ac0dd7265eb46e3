package gateway

import (
	"context"
	"errors"
	"io"
	"sync"
	"time"

	"github.com/apex/log"

	"github.com/jacinthstall/jacinthstall/balance"
	"github.com/jacinthstall/jacinthstall/events"
	"github.com/jacinthstall/jacinthstall/forward"
	"github.com/jacinthstall/jacinthstall/quarantine"
	"github.com/jacinthstall/jacinthstall/steering"
)

const (
	// crashCheckDelay is the time between the end of a connection and the check
	// whether its target accepts others. All connections to a target that crashes
	// end at about the same time.
	crashCheckDelay = 30 * time.Millisecond
	// crashCheckTimeout limits a check.
	crashCheckTimeout = time.Second
)

// crashStage is the part of the response that was outstanding when a target closed
// the connection.
type crashStage string

const (
	crashBeforeHead crashStage = "head"
	crashInBody     crashStage = "body"
)

// possibleCrash is the end of an attempt with its connection.
type possibleCrash struct {
	count   balance.CrashCount // Of the request, including this crash if it was one.
	checked chan struct{}      // Closed when count is final.
}

// suspectCrash records that a target closed the connection while it executed the
// request. It counts as a crash if the target is down afterwards: targets also lose
// responses and close connections for other reasons.
func (g *Gateway) suspectCrash(request *routedRequest, target *steering.Target, stage crashStage) {
	crash := &possibleCrash{count: request.crashesWhenSent, checked: make(chan struct{})}
	earlier, fingerprint := request.uncheckedWhenSent, request.fingerprint()
	g.crashChecks.setUnchecked(fingerprint, crash)
	check := g.startCrashCheck(target)
	go func() {
		defer g.crashChecks.removeUnchecked(fingerprint, crash)
		defer close(crash.checked)
		if earlier != nil { // This attempt was sent after it.
			<-earlier.checked
			if earlier.count.Compare(crash.count) > 0 {
				crash.count = earlier.count
			}
		}
		<-check.done
		if !check.crashed {
			return
		}
		crash.count = g.Suspects.RecordCrash(time.Now(), fingerprint, crash.count)
		g.events.Emit(events.CrashCounted, log.Fields{"request": request.id, "target": target.ID, "service": request.service,
			"fingerprint": fingerprint.String(), "stage": string(stage), "crashes": crash.count.Crashes})
	}()
}

// crashCheck finds out whether a target has crashed.
type crashCheck struct {
	done    chan struct{}
	crashed bool // Valid after done is closed.
}

// crashChecks holds the checks of targets that have not begun yet and the crashes
// that are not checked yet.
type crashChecks struct {
	mu        sync.Mutex
	waiting   map[string]*crashCheck                    // By target ID.
	unchecked map[quarantine.Fingerprint]*possibleCrash // The latest of each request.
}

func (checks *crashChecks) setUnchecked(f quarantine.Fingerprint, crash *possibleCrash) {
	checks.mu.Lock()
	defer checks.mu.Unlock()
	if checks.unchecked == nil {
		checks.unchecked = map[quarantine.Fingerprint]*possibleCrash{}
	}
	checks.unchecked[f] = crash
}

func (checks *crashChecks) removeUnchecked(f quarantine.Fingerprint, crash *possibleCrash) {
	checks.mu.Lock()
	defer checks.mu.Unlock()
	if checks.unchecked[f] == crash {
		delete(checks.unchecked, f)
	}
}

// uncheckedOf returns the latest crash of a request that is not checked yet, if any.
func (checks *crashChecks) uncheckedOf(request *routedRequest) *possibleCrash {
	checks.mu.Lock()
	none := len(checks.unchecked) == 0
	checks.mu.Unlock()
	if none {
		return nil
	}
	fingerprint := request.fingerprint()
	checks.mu.Lock()
	defer checks.mu.Unlock()
	return checks.unchecked[fingerprint]
}

// noteCrashesWhenSent records which crashes of the request are known when an attempt
// is sent.
func (g *Gateway) noteCrashesWhenSent(request *routedRequest, known balance.CrashCount) {
	request.crashesWhenSent, request.uncheckedWhenSent = known, g.crashChecks.uncheckedOf(request)
}

// startCrashCheck returns a check of a target that begins after crashCheckDelay at
// most. Connections that end together share it.
func (g *Gateway) startCrashCheck(target *steering.Target) *crashCheck {
	checks := &g.crashChecks
	checks.mu.Lock()
	defer checks.mu.Unlock()
	if check := checks.waiting[target.ID]; check != nil {
		return check
	}
	check := &crashCheck{done: make(chan struct{})}
	if checks.waiting == nil {
		checks.waiting = map[string]*crashCheck{}
	}
	checks.waiting[target.ID] = check
	time.AfterFunc(crashCheckDelay, func() {
		checks.mu.Lock()
		delete(checks.waiting, target.ID)
		checks.mu.Unlock()
		check.crashed = g.isDown(target)
		close(check.done)
	})
	return check
}

// isDown reports whether an incarnation of a target has ended, or does not accept
// connections.
func (g *Gateway) isDown(target *steering.Target) bool {
	if current := g.State().Targets[target.ID]; current != nil && current.StartedMs != target.StartedMs {
		return true
	}
	ctx, cancel := context.WithTimeout(context.Background(), crashCheckTimeout)
	defer cancel()
	err := g.Forwarder.CheckAccepting(ctx, forward.Target{Address: target.Address, MaxConnections: g.connectionShare(g.State().Config, target.Service)})
	return err != nil && !errors.Is(err, forward.ErrConnectionLimit)
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
			g.suspectCrash(request, target, crashInBody)
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
