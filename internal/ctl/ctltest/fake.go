package ctltest

import (
	"context"
	"errors"
	"sync"

	"github.com/jacinthstall/jacinthstall/internal/ctl"
)

// Fault is a fault of the next write.
type Fault int

// Faults.
const (
	None          Fault = iota
	LostResponse        // The write takes effect and its response is lost.
	LostRequest         // The write is lost; the writer cannot tell.
	Unavailable         // Reads and writes fail.
	KeyNotAllowed       // The platform's check refuses the key.
)

// Publisher is the fake. Its methods may be called concurrently.
type Publisher struct {
	mu          sync.Mutex
	document    []byte
	version     uint64
	fault       Fault
	beforeWrite func()
	writes      int
}

// New returns a publisher with a document of the given version.
func New(document []byte, version uint64) *Publisher {
	return &Publisher{document: document, version: version}
}

// SetDocument replaces the document as another operator would.
func (p *Publisher) SetDocument(document []byte, version uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.document, p.version = document, version
}

// SetFault sets the fault of the next write; Unavailable lasts until the next call.
func (p *Publisher) SetFault(f Fault) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.fault = f
}

// BeforeNextWrite sets a function that runs once, just before the next write.
func (p *Publisher) BeforeNextWrite(f func()) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.beforeWrite = f
}

// Writes returns the number of calls of Publish.
func (p *Publisher) Writes() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.writes
}

var errOutage = errors.New("outage")

// Current implements ctl.Publisher.
func (p *Publisher) Current(context.Context) ([]byte, uint64, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.fault == Unavailable {
		return nil, 0, &ctl.UnavailableError{Cause: errOutage}
	}
	return p.document, p.version, nil
}

// Publish implements ctl.Publisher.
func (p *Publisher) Publish(_ context.Context, doc []byte, base uint64) (uint64, error) {
	p.runBeforeWrite()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.writes++
	switch p.fault {
	case Unavailable:
		return 0, &ctl.UnavailableError{Cause: errOutage}
	case KeyNotAllowed:
		return 0, &ctl.NoKeyError{Reason: "not in the list of operators"}
	case LostRequest:
		p.fault = None
		return 0, &ctl.UncertainError{Cause: errOutage}
	}
	if base != p.version {
		return 0, &ctl.RaceError{Document: p.document, Version: p.version}
	}
	p.document = doc
	p.version++
	if p.fault == LostResponse {
		p.fault = None
		return 0, &ctl.UncertainError{Cause: errOutage}
	}
	return p.version, nil
}

func (p *Publisher) runBeforeWrite() {
	p.mu.Lock()
	before := p.beforeWrite
	p.beforeWrite = nil
	p.mu.Unlock()
	if before != nil {
		before()
	}
}
