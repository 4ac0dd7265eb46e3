// Command jacinthctl validates, compares and publishes the policy document,
// shows the state of a deployment, and drains targets and instances.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/jacinthstall/jacinthstall/internal/ctl"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	app := &ctl.App{
		Out:              os.Stdout,
		Err:              os.Stderr,
		Connect:          ctl.Connect,
		ReadBackInterval: ctl.DefaultReadBackInterval,
	}
	code := app.Run(ctx, os.Args[1:])
	stop()
	os.Exit(code)
}
