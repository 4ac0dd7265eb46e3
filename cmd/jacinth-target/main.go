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
	fs := flag.NewFlagSet("jacinth-target", flag.ContinueOnError)
	address := fs.String("address", "127.0.0.1:7100", "ip:port to listen on")
	connections := fs.Int("connections", 0, "bound of open connections; 0 means no bound")
	o := targetd.Options{Faults: targetd.DefaultFaults()}
	fs.StringVar(&o.Name, "name", "target", "name of the target")
	fs.IntVar(&o.Slots, "slots", 3, "requests executed at the same time")
	fs.DurationVar(&o.ServiceTime, "service", 20*time.Millisecond, "execution time of a request")
	fs.IntVar(&o.ColdRequests, "cold-requests", 0, "slow requests after a start")
	fs.IntVar(&o.ColdFactor, "cold-factor", 5, "times as long that a slow request takes")
	fs.BoolVar(&o.Faults.ShedWithoutProof, "shed-without-proof", false, "shed without saying that nothing was executed")
	fs.StringVar(&o.Faults.ReportedState, "health-state", "", "state to report whatever it is")
	fs.IntVar(&o.Faults.LoadLagMs, "load-lag-ms", 0, "delay of the reported load, in milliseconds")
	fs.IntVar(&o.Faults.ReportedBusy, "busy", -1, "load to report whatever it is; negative reports the true one")
	fs.IntVar(&o.Faults.DownMs, "down-ms", 1000, "time that a crash lasts, in milliseconds")
	fs.IntVar(&o.Faults.LateMs, "late-ms", 1000, "delay of requests that are marked as late, in milliseconds")
	if err := ff.Parse(fs, args, ff.WithEnvVarPrefix("JACINTH_TARGET")); err != nil {
		return err
	}
	hlog.SetLevel(hlog.LevelError)
	listener, err := targetd.Listen(*address, *connections)
	if err != nil {
		return err
	}
	_, h := targetd.NewServer(o, listener)
	return h.Run()
}
