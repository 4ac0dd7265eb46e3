// Command jacinth-load is a caller: it looks up the entry instances, sends
// reads and non-idempotent requests through them and prints the outcomes.
package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"strings"
	"time"

	"github.com/peterbourgon/ff/v3"

	"github.com/jacinthstall/jacinthstall/internal/load"
)

func main() {
	if err := run(os.Args[1:]); err != nil {
		fmt.Fprintln(os.Stderr, "jacinth-load:", err)
		os.Exit(1)
	}
}

func run(args []string) error {
	fs := flag.NewFlagSet("jacinth-load", flag.ContinueOnError)
	var o load.Options
	bootstrap := fs.String("bootstrap", "127.0.0.1:7200", "caller addresses (ip:port) of entry instances, separated by commas")
	fs.StringVar(&o.CallerAddress, "caller", "10.0.0.1", "address of the caller for look-ups")
	fs.IntVar(&o.Requests, "requests", 200, "number of requests, at most 100000")
	fs.IntVar(&o.Concurrency, "concurrency", 8, "requests in flight, at most 256")
	fs.StringVar(&o.ReadPath, "read-path", "/catalogue/courses", "path of reads")
	fs.StringVar(&o.WritePath, "write-path", "/enrolment/new", "path of non-idempotent requests")
	fs.DurationVar(&o.Timeout, "timeout", time.Minute, "time limit of the whole run")
	if err := ff.Parse(fs, args, ff.WithEnvVarPrefix("JACINTH_LOAD")); err != nil {
		return err
	}
	o.Bootstrap = strings.Split(*bootstrap, ",")
	report, err := load.Run(context.Background(), o)
	if err != nil {
		return err
	}
	fmt.Print(report)
	return nil
}
