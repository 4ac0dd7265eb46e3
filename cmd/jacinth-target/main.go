// Command jacinth-target runs a stand-in for a target.
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
	connections := flags.Int("connections", 0, "bound of open connections; 0 means no bound")
	options := targetd.Options{Faults: targetd.DefaultFaults()}
	flags.StringVar(&options.Name, "name", "target", "name of the target")
	flags.IntVar(&options.Slots, "slots", 3, "requests executed at the same time")
	flags.DurationVar(&options.ServiceTime, "service", 20*time.Millisecond, "execution time of a request")
	flags.IntVar(&options.ColdRequests, "cold-requests", 0, "slow requests after a start")
	flags.IntVar(&options.ColdFactor, "cold-factor", 5, "times as long that a slow request takes")
	flags.BoolVar(&options.Faults.ShedWithoutProof, "shed-without-proof", false, "shed without saying that nothing was executed")
	flags.StringVar(&options.Faults.ReportedState, "health-state", "", "state to report whatever it is")
	flags.IntVar(&options.Faults.LoadLagMs, "load-lag-ms", 0, "delay of the reported load, in milliseconds")
	flags.IntVar(&options.Faults.ReportedBusy, "busy", -1, "load to report whatever it is; negative reports the true one")
	flags.IntVar(&options.Faults.DownMs, "down-ms", 1000, "time that a crash lasts, in milliseconds")
	flags.IntVar(&options.Faults.LateMs, "late-ms", 1000, "delay of requests that are marked as late, in milliseconds")
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
