// Command jacinth-target runs a stand-in for a target with optional fault
// injection.
package main

import (
	"flag"
	"fmt"
	"os"
	"time"

	"github.com/cloudwego/hertz/pkg/common/hlog"
	"github.com/peterbourgon/ff/v3"

	"github.com/jacinthstall/jacinthstall/standin/targetd"
)

func main() {
	if err := run(os.Args[1:]); err != nil {
		fmt.Fprintln(os.Stderr, "jacinth-target:", err)
		os.Exit(1)
	}
}

func run(args []string) error {
	flags := flag.NewFlagSet("jacinth-target", flag.ContinueOnError)
	address := flags.String("address", "127.0.0.1:7100", "ip:port to listen on")
	connections := flags.Int("connections", 0, "maximum number of open connections; 0 means no limit")
	options := targetd.Options{Faults: targetd.DefaultFaults()}
	flags.StringVar(&options.Name, "name", "target", "name of the target")
	flags.IntVar(&options.Slots, "slots", 3, "maximum number of concurrent executions")
	flags.DurationVar(&options.ServiceTime, "service", 20*time.Millisecond, "execution time of a request")
	flags.IntVar(&options.ColdRequests, "cold-requests", 0, "number of slow requests after a start")
	flags.IntVar(&options.ColdFactor, "cold-factor", 5, "factor of the execution time of a slow request")
	flags.BoolVar(&options.Faults.ShedWithoutProof, "shed-without-proof", false, "do not state in the response that a shed request was not executed")
	flags.StringVar(&options.Faults.ReportedState, "health-state", "", "state in health reports; empty for the actual state")
	flags.IntVar(&options.Faults.LoadLagMs, "load-lag-ms", 0, "age of the reported load, in milliseconds")
	flags.IntVar(&options.Faults.ReportedBusy, "busy", -1, "number of busy slots in health reports; negative for the actual number")
	flags.IntVar(&options.Faults.DownMs, "down-ms", 1000, "downtime after a crash, in milliseconds")
	flags.IntVar(&options.Faults.LateMs, "late-ms", 1000, "additional execution time of requests marked \"late\", in milliseconds")
	if err := ff.Parse(flags, args, ff.WithEnvVarPrefix("JACINTH_TARGET")); err != nil {
		return err
	}
	hlog.SetLevel(hlog.LevelError)
	listener, err := targetd.Listen(*address, *connections)
	if err != nil {
		return err
	}
	_, httpServer := targetd.NewServer(options, listener)
	return httpServer.Run()
}
