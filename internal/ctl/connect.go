package ctl

import (
	"context"
	"errors"
	"fmt"

	"github.com/jacinthstall/jacinthstall/configsync"
	"github.com/jacinthstall/jacinthstall/kv"
)

// Connect returns a Publisher for the platform of a connection. With an
// instance in the connection it first asks for the version in force there; it
// fails when the instance does not answer.
func Connect(ctx context.Context, c Connection) (Publisher, error) {
	kv, err := kv.NewClient(c.Platform)
	if err != nil {
		return nil, err
	}
	inner := &configsync.Publisher{KV: kv}
	if c.Key != nil {
		inner.Sign = configsync.SignWith(c.Key)
	}
	p := &PlatformPublisher{Publisher: inner}
	if c.Instance == "" {
		return p, nil
	}
	status, err := fetchStatus(ctx, c.Instance)
	if err != nil {
		return nil, &notInForceError{fmt.Sprintf("instance %s does not tell its version in force; nothing was published: %v", c.Instance, err)}
	}
	p.MinVersion = status.Version
	return p, nil
}

// PlatformPublisher is a Publisher on the platform. It maps the errors of
// configsync to those of this package.
type PlatformPublisher struct {
	Publisher  *configsync.Publisher
	MinVersion uint64 // Version known to be in force; a platform behind it is refused.
}

// Current implements Publisher.
func (p *PlatformPublisher) Current(ctx context.Context) ([]byte, uint64, error) {
	doc, version, err := p.Publisher.Current(ctx)
	if err != nil {
		return nil, 0, convertError(err)
	}
	if version < p.MinVersion {
		return nil, 0, &StaleError{Platform: version, InForce: p.MinVersion}
	}
	return doc, version, nil
}

// Publish implements Publisher. A publication is only accepted on the version
// that the platform holds, so checking base covers the platform as well.
func (p *PlatformPublisher) Publish(ctx context.Context, doc []byte, base uint64) (uint64, error) {
	if base < p.MinVersion {
		return 0, &StaleError{Platform: base, InForce: p.MinVersion}
	}
	version, err := p.Publisher.Publish(ctx, doc, base)
	return version, convertError(err)
}

// convertError maps an error of configsync. Errors without a counterpart, such
// as findings and damaged records, stay as they are.
func convertError(err error) error {
	var conflict *configsync.ConflictError
	var stale *configsync.StalePlatformError
	var uncertain *configsync.UncertainOutcomeError
	switch {
	case errors.As(err, &conflict):
		return convertConflict(conflict)
	case errors.As(err, &stale):
		return &StaleError{Platform: stale.Platform, InForce: stale.InForce}
	case errors.As(err, &uncertain):
		return &UncertainError{Cause: uncertain.Cause}
	case hasType[*configsync.SigningError](err), hasType[*configsync.SignatureError](err):
		return &NoKeyError{Reason: err.Error()}
	case isUnavailable(err):
		return &UnavailableError{Cause: err}
	}
	return err
}

// convertConflict tells a lost race from a platform that has returned to an older
// version: merging into that would undo what was published since.
func convertConflict(e *configsync.ConflictError) error {
	if e.Version < e.Base {
		return &StaleError{Platform: e.Version, InForce: e.Base}
	}
	return &RaceError{Document: e.Document, Version: e.Version}
}

// isUnavailable reports whether a call failed without publishing. Writes
// of unknown outcome are those of segments, which nothing refers to yet.
func isUnavailable(err error) bool {
	for _, kind := range []error{kv.ErrUnavailable, kv.ErrRateLimited, kv.ErrUncertain, kv.ErrNotFound,
		context.DeadlineExceeded, context.Canceled} {
		if errors.Is(err, kind) {
			return true
		}
	}
	return false
}
