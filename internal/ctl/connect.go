package ctl

import (
	"context"
	"errors"
	"fmt"

	"github.com/jacinthstall/jacinthstall/configsync"
	"github.com/jacinthstall/jacinthstall/kv"
)

// Connect returns a Publisher for the platform of a connection. If the connection
// names an instance, Connect first fetches the version in force there and fails
// if the instance does not respond.
func Connect(ctx context.Context, connection Connection) (Publisher, error) {
	client, err := kv.NewClient(connection.Platform)
	if err != nil {
		return nil, err
	}
	configPublisher := &configsync.Publisher{KV: client}
	if connection.Key != nil {
		configPublisher.Sign = configsync.SignWith(connection.Key)
	}
	publisher := &PlatformPublisher{Publisher: configPublisher}
	if connection.Instance == "" {
		return publisher, nil
	}
	status, err := fetchStatus(ctx, connection.Instance)
	if err != nil {
		return nil, &notInForceError{fmt.Sprintf("instance %s does not tell its version in force; nothing was published: %v", connection.Instance, err)}
	}
	publisher.MinVersion = status.Version
	return publisher, nil
}

// PlatformPublisher is a Publisher that uses the platform. It converts the errors
// of configsync to those of this package.
type PlatformPublisher struct {
	Publisher  *configsync.Publisher
	MinVersion uint64 // Version known to be in force. Reads and writes fail with *StaleError if the platform holds an older one.
}

// Current implements Publisher.
func (platform *PlatformPublisher) Current(ctx context.Context) ([]byte, uint64, error) {
	doc, version, err := platform.Publisher.Current(ctx)
	if err != nil {
		return nil, 0, convertError(err)
	}
	if version < platform.MinVersion {
		return nil, 0, &StaleError{Platform: version, InForce: platform.MinVersion}
	}
	return doc, version, nil
}

// Publish implements Publisher. The platform accepts a publication only if base
// is the version that it holds, so checking base also checks the platform.
func (platform *PlatformPublisher) Publish(ctx context.Context, doc []byte, base uint64) (uint64, error) {
	if base < platform.MinVersion {
		return 0, &StaleError{Platform: base, InForce: platform.MinVersion}
	}
	version, err := platform.Publisher.Publish(ctx, doc, base)
	return version, convertError(err)
}

// convertError converts an error of configsync. Errors without a counterpart in
// this package, such as findings and damaged records, are returned unchanged.
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

// convertConflict distinguishes a lost race from a platform that has reverted to
// an older version. Merging into that version would undo later publications.
func convertConflict(conflict *configsync.ConflictError) error {
	if conflict.Version < conflict.Base {
		return &StaleError{Platform: conflict.Version, InForce: conflict.Base}
	}
	return &RaceError{Document: conflict.Document, Version: conflict.Version}
}

// isUnavailable reports whether a call could not be completed and nothing was
// published. This includes kv.ErrUncertain, because here it can only concern the
// write of a segment, which no published version refers to yet.
func isUnavailable(err error) bool {
	for _, cause := range []error{kv.ErrUnavailable, kv.ErrRateLimited, kv.ErrUncertain, kv.ErrNotFound,
		context.DeadlineExceeded, context.Canceled} {
		if errors.Is(err, cause) {
			return true
		}
	}
	return false
}
