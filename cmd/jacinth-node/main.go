// Command jacinth-node runs one entry instance on a platform that provides
// settings in a file and keeps records in a store. With the argument explain, it asks
// a running instance how it would route a request.
package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"os"
	"os/signal"
	"runtime/debug"
	"slices"
	"syscall"
	"time"

	"github.com/apex/log"
	"github.com/cloudwego/hertz/pkg/common/hlog"
	"github.com/peterbourgon/ff/v3"

	"github.com/jacinthstall/jacinthstall/events"
	"github.com/jacinthstall/jacinthstall/node"
	"github.com/jacinthstall/jacinthstall/platform"
	"github.com/jacinthstall/jacinthstall/settings"
)

const (
	// gcPercent trades processor time, of which an instance uses little, for a
	// smaller heap.
	gcPercent = 50
	// memoryLimitFraction is the fraction of the allowed memory that is set as
	// the soft memory limit of the Go runtime.
	memoryLimitFraction = 0.7
	// logCloseTimeout limits writing the queued log lines at the end of the
	// process.
	logCloseTimeout = 200 * time.Millisecond
)

// Values of the flag -learn-capacity.
const (
	learnAlways      = "always"
	learnNever       = "never"
	learnWhereStated = "stated"
)

func main() {
	// SIGHUP may arrive during the start, see hangup_cgo.go.
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	// A write to a closed standard output would end the process too. It fails
	// instead, and the handler counts it.
	signal.Ignore(syscall.SIGPIPE)
	err := run(os.Args[1:], os.Stdout, hangups)
	if err != nil && !errors.Is(err, flag.ErrHelp) {
		code := 1
		if exit := (*exitError)(nil); errors.As(err, &exit) {
			code = exit.code
		}
		if code != exitRefused {
			fmt.Fprintln(os.Stderr, "jacinth-node:", err)
		}
		os.Exit(code)
	}
}

// run parses the command line and serves, unless -check, -version or the argument
// explain is given.
func run(args []string, out io.Writer, hangups <-chan os.Signal) error {
	if len(args) > 0 && args[0] == "explain" {
		return explain(args[1:], out)
	}
	fs := flag.NewFlagSet("jacinth-node", flag.ContinueOnError)
	file := fs.String("settings", "", "settings file of this instance (default: the file that the platform sets in the environment)")
	check := fs.Bool("check", false, "check the settings, print all findings and exit")
	version := fs.Bool("version", false, "print the version and exit")
	learn := fs.String("learn-capacity", learnWhereStated, "learn the speed and the limits of targets from their responses: always, never, or stated (for services whose targets state how loaded their machines are)")
	if err := ff.Parse(fs, args, ff.WithEnvVarPrefix("JACINTH_NODE")); err != nil {
		return err
	}
	if *version {
		_, err := fmt.Fprintln(out, "jacinth-node", buildVersion())
		return err
	}
	load := platform.LoadSettings
	if *file != "" {
		load = func() (settings.Node, error) { return platform.LoadSettingsFile(*file) }
	}
	s, err := load()
	if err != nil {
		return err
	}
	if *check {
		_, err := fmt.Fprintf(out, "settings of instance %s in failure domain %s are valid\n", s.Name, s.Domain)
		return err
	}
	if !slices.Contains([]string{learnAlways, learnNever, learnWhereStated}, *learn) {
		return fmt.Errorf("-learn-capacity is %q, want always, never or stated", *learn)
	}
	return serve(s, load, *learn, hangups)
}

// buildVersion returns the version of the module and the commit of the build.
func buildVersion() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return "unknown"
	}
	text := info.Main.Version
	for _, setting := range info.Settings {
		if setting.Key == "vcs.revision" {
			text += " " + setting.Value
		}
	}
	return text
}

func serve(s settings.Node, load func() (settings.Node, error), learn string, hangups <-chan os.Signal) error {
	debug.SetGCPercent(gcPercent)
	if s.MemoryBytes > 0 {
		debug.SetMemoryLimit(int64(memoryLimitFraction * float64(s.MemoryBytes)))
	}
	hlog.SetLevel(hlog.LevelFatal)
	handler := events.NewDroppingHandler(os.Stdout)
	defer closeLog(handler)
	logger := &log.Logger{Handler: handler, Level: log.DebugLevel}
	store, err := platform.NewStore(s.StoreAddress)
	if err != nil {
		return err
	}
	n, err := node.New(node.Options{Settings: s, Platform: platform.Codec{}, Headers: platform.Headers{}, Store: store,
		Log: logger.WithField("instance", s.Name), Reload: load, FixedCapacity: learn == learnNever, LearnWhereStated: learn == learnWhereStated,
		StoreCalls: store.CallCount, DroppedLines: handler.DroppedLines, OnInvalidEra: store.OnInvalidEra})
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	return n.Run(ctx, reloadRequests(ctx, hangups))
}

// closeLog writes the queued log lines. It gives up after logCloseTimeout, since a
// write blocks while nobody reads the standard output.
func closeLog(handler *events.Handler) {
	closed := make(chan struct{})
	go func() {
		defer close(closed)
		_ = handler.Close() // Always nil.
	}()
	select {
	case <-closed:
	case <-time.After(logCloseTimeout):
	}
}

// reloadRequests converts SIGHUP signals to requests to reload the settings.
func reloadRequests(ctx context.Context, hangups <-chan os.Signal) <-chan struct{} {
	out := make(chan struct{}, 1)
	go func() {
		for {
			select {
			case <-hangups:
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
