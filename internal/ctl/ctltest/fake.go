package ctltest

import (
	"context"
	"errors"
	"sync"

	"github.com/jacinthstall/jacinthstall/internal/ctl"
)

// Fault is a simulated fault.
type Fault int

// Faults.
const (
	None          Fault = iota
	LostResponse        // The next write takes effect and its response is lost.
	LostRequest         // The next write is lost, which the writer cannot tell from LostResponse.
	Unavailable         // Reads and writes fail.
	KeyNotAllowed       // Writes fail because the platform does not accept the key.
)

// Publisher is a fake ctl.Publisher. Its methods may be called concurrently.
type Publisher struct {
	mu          sync.Mutex
	document    []byte
	version     uint64
	fault       Fault
	beforeWrite func()
	writes      int
}

// New returns a publisher that holds a document of the given version.
func New(document []byte, version uint64) *Publisher {
	return &Publisher{document: document, version: version}
}

// SetDocument replaces the document, as a publication by another operator does.
func (publisher *Publisher) SetDocument(document []byte, version uint64) {
	publisher.mu.Lock()
	defer publisher.mu.Unlock()
	publisher.document, publisher.version = document, version
}

// SetFault sets the fault. LostResponse and LostRequest end with the write that
// they affect, the others with the next call of SetFault.
func (publisher *Publisher) SetFault(f Fault) {
	publisher.mu.Lock()
	defer publisher.mu.Unlock()
	publisher.fault = f
}

// BeforeNextWrite sets a function that is called once, immediately before the next
// write.
func (publisher *Publisher) BeforeNextWrite(f func()) {
	publisher.mu.Lock()
	defer publisher.mu.Unlock()
	publisher.beforeWrite = f
}

// Writes returns the number of calls to Publish.
func (publisher *Publisher) Writes() int {
	publisher.mu.Lock()
	defer publisher.mu.Unlock()
	return publisher.writes
}

var errOutage = errors.New("outage")

// Current implements ctl.Publisher.
func (publisher *Publisher) Current(context.Context) ([]byte, uint64, error) {
	publisher.mu.Lock()
	defer publisher.mu.Unlock()
	if publisher.fault == Unavailable {
		return nil, 0, &ctl.UnavailableError{Cause: errOutage}
	}
	return publisher.document, publisher.version, nil
}

// Publish implements ctl.Publisher.
func (publisher *Publisher) Publish(_ context.Context, doc []byte, base uint64) (uint64, error) {
	publisher.runBeforeWrite()
	publisher.mu.Lock()
	defer publisher.mu.Unlock()
	publisher.writes++
	switch publisher.fault {
	case Unavailable:
		return 0, &ctl.UnavailableError{Cause: errOutage}
	case KeyNotAllowed:
		return 0, &ctl.NoKeyError{Reason: "not in the list of operators"}
	case LostRequest:
		publisher.fault = None
		return 0, &ctl.UncertainError{Cause: errOutage}
	}
	if base != publisher.version {
		return 0, &ctl.RaceError{Document: publisher.document, Version: publisher.version}
	}
	publisher.document = doc
	publisher.version++
	if publisher.fault == LostResponse {
		publisher.fault = None
		return 0, &ctl.UncertainError{Cause: errOutage}
	}
	return publisher.version, nil
}

func (publisher *Publisher) runBeforeWrite() {
	publisher.mu.Lock()
	before := publisher.beforeWrite
	publisher.beforeWrite = nil
	publisher.mu.Unlock()
	if before != nil {
		before()
	}
}
