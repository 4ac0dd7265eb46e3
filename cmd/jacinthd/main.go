// Command jacinthd runs one entry instance.
package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/apex/log"
	"github.com/cloudwego/hertz/pkg/common/hlog"
	"github.com/peterbourgon/ff/v3"

	"github.com/jacinthstall/jacinthstall/entry"
	"github.com/jacinthstall/jacinthstall/events"
	"github.com/jacinthstall/jacinthstall/settings"
)

func main() {
	// A write to a closed standard error would end the process. It fails instead.
	signal.Ignore(syscall.SIGPIPE)
	if err := run(os.Args[1:]); err != nil {
		fmt.Fprintln(os.Stderr, "jacinthd:", err)
		os.Exit(1)
	}
}

func run(args []string) error {
	flags := flag.NewFlagSet("jacinthd", flag.ContinueOnError)
	settingsFile := flags.String("settings", "settings.json", "settings file of this instance")
	if err := ff.Parse(flags, args, ff.WithEnvVarPrefix("JACINTHD")); err != nil {
		return err
	}
	instanceSettings, err := settings.Load(*settingsFile)
	if err != nil {
		return err
	}
	hlog.SetLevel(hlog.LevelError)
	handler := events.NewHandler(os.Stderr)
	defer func() { _ = handler.Close() }()
	logger := &log.Logger{Handler: handler, Level: log.DebugLevel}
	instance, err := entry.New(instanceSettings, logger.WithField("instance", instanceSettings.Name))
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	return instance.Run(ctx)
}
