// Command jacinth-load acts as a caller: it looks up entry instances, sends reads
// and non-idempotent requests to them and prints a summary of the outcomes.
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
	flags := flag.NewFlagSet("jacinth-load", flag.ContinueOnError)
	var options load.Options
	bootstrap := flags.String("bootstrap", "127.0.0.1:7200", "comma-separated caller addresses (ip:port) of entry instances")
	flags.StringVar(&options.CallerAddress, "caller", "10.0.0.1", "caller address sent in look-ups")
	flags.IntVar(&options.Requests, "requests", 200, "number of requests, at most 100000")
	flags.IntVar(&options.Concurrency, "concurrency", 8, "maximum number of requests in flight, at most 256")
	flags.StringVar(&options.ReadPath, "read-path", "/catalogue/courses", "path of reads")
	flags.StringVar(&options.WritePath, "write-path", "/enrolment/new", "path of non-idempotent requests")
	flags.DurationVar(&options.Timeout, "timeout", time.Minute, "time limit of the run")
	if err := ff.Parse(flags, args, ff.WithEnvVarPrefix("JACINTH_LOAD")); err != nil {
		return err
	}
	options.Bootstrap = strings.Split(*bootstrap, ",")
	report, err := load.Run(context.Background(), options)
	if err != nil {
		return err
	}
	fmt.Print(report)
	return nil
}
