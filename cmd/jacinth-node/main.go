// Command jacinth-node runs one entry instance on a platform that hands out
// settings in a file and keeps records in a store.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/apex/log"
	"github.com/cloudwego/hertz/pkg/common/hlog"

	"github.com/jacinthstall/jacinthstall/events"
	"github.com/jacinthstall/jacinthstall/node"
	"github.com/jacinthstall/jacinthstall/platform"
)

const (
	// gcPercent trades processor time, of which an instance uses little, for
	// memory.
	gcPercent = 50
	// memoryPart is the part of the allowed memory at which the collector works
	// harder.
	memoryPart = 0.7
)

func main() {
	if err := run(); err != nil {
		fmt.Fprintln(os.Stderr, "jacinth-node:", err)
		os.Exit(1)
	}
}

func run() error {
	s, err := platform.LoadSettings()
	if err != nil {
		return err
	}
	debug.SetGCPercent(gcPercent)
	if s.Memory > 0 {
		debug.SetMemoryLimit(int64(memoryPart * float64(s.Memory)))
	}
	hlog.SetLevel(hlog.LevelFatal)
	handler := events.NewDroppingHandler(os.Stdout)
	defer func() { _ = handler.Close() }()
	logger := &log.Logger{Handler: handler, Level: log.DebugLevel}
	store, err := platform.NewStore(s.Store)
	if err != nil {
		return err
	}
	n, err := node.New(node.Options{Settings: s, Platform: platform.Codec{}, Headers: platform.Headers{}, Store: store,
		Log: logger.WithField("instance", s.Name), Reload: platform.LoadSettings,
		StoreCalls: store.Calls, DroppedLines: handler.Dropped})
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	return n.Run(ctx, reloads(ctx))
}

// reloads turns SIGHUP into requests to read the settings again.
func reloads(ctx context.Context) <-chan struct{} {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGHUP)
	out := make(chan struct{}, 1)
	go func() {
		for {
			select {
			case <-signals:
				select {
				case out <- struct{}{}:
				default:
				}
			case <-ctx.Done():
				return
			}
		}
	}()
	return out
}
