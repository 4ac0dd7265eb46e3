package ctl

import (
	"errors"

	"github.com/jacinthstall/jacinthstall/configsync"
	"github.com/jacinthstall/jacinthstall/finding"
)

// Exit codes of jacinthctl.
const (
	ExitOK          = 0
	ExitFailure     = 1
	ExitUsage       = 2
	ExitInvalid     = 3
	ExitLostRace    = 4
	ExitUndecided   = 5
	ExitUnavailable = 6
	ExitNoKey       = 7
	ExitNotInForce  = 8
	ExitStale       = 9
)

const exitHelp = `EXIT CODES
  0  success
  1  other failure, such as a file that cannot be read
  2  wrong usage
  3  the document or settings are not valid
  4  another operator published first; nothing was published
  5  the outcome of the write is unknown; look before publishing again
  6  the platform is unavailable; nothing was published
  7  no operator key, or it is not accepted; nothing was published
  8  an instance does not answer or has another version in force
  9  the platform holds an older version than the one in force; nothing was published`

// usageError reports wrong arguments.
type usageError struct{ message string }

func (e *usageError) Error() string { return e.message }

func newUsageError(message string) error { return &usageError{message} }

// notInForceError reports instances that lack the published version.
type notInForceError struct{ message string }

func (e *notInForceError) Error() string { return e.message }

// exitCode returns the exit code of an error.
func exitCode(err error) int {
	switch {
	case err == nil:
		return ExitOK
	case hasType[*usageError](err):
		return ExitUsage
	case hasType[*LostRaceError](err), hasType[*staleFileError](err), hasType[*RaceError](err):
		return ExitLostRace
	case hasType[*UndecidedError](err), hasType[*UncertainError](err):
		return ExitUndecided
	case hasType[*finding.Error](err), hasType[*configsync.InvalidDocumentError](err):
		return ExitInvalid
	case hasType[*UnavailableError](err):
		return ExitUnavailable
	case hasType[*NoKeyError](err):
		return ExitNoKey
	case hasType[*StaleError](err):
		return ExitStale
	case hasType[*notInForceError](err):
		return ExitNotInForce
	}
	return ExitFailure
}

func hasType[T error](err error) bool {
	var target T
	return errors.As(err, &target)
}
