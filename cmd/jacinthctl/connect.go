package main

import (
	"context"
	"errors"

	"github.com/jacinthstall/jacinthstall/internal/ctl"
)

var errNoPublisher = errors.New("this build has no publisher for the platform")

// connect fails until configsync provides a Publisher; the subcommands that
// only work on files do not need it.
func connect(context.Context, ctl.Connection) (ctl.Publisher, error) {
	return nil, &ctl.UnavailableError{Cause: errNoPublisher}
}
