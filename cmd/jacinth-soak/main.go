// Command jacinth-soak runs entry instances as processes on loopback under
// random faults and checks the promises of the system.
package main

import (
	"context"
	"flag"
	"fmt"
	"io"
	"os"
	"os/signal"
	"path/filepath"

	"github.com/cloudwego/hertz/pkg/common/hlog"
	"github.com/peterbourgon/ff/v3"

	"github.com/jacinthstall/jacinthstall/internal/soak"
)

func main() {
	violations, err := run(os.Args[1:])
	if err != nil {
		fmt.Fprintln(os.Stderr, "jacinth-soak:", err)
		os.Exit(2)
	}
	if violations > 0 {
		os.Exit(1)
	}
}

func run(args []string) (int, error) {
	fs := flag.NewFlagSet("jacinth-soak", flag.ContinueOnError)
	binary := fs.String("node", "bin/jacinth-node", "program of an entry instance")
	first := fs.Uint64("seed", 1, "first seed")
	seeds := fs.Int("seeds", 1, "number of seeds")
	instances := fs.Int("instances", 6, "number of instances")
	targets := fs.Int("targets", 9, "number of targets")
	callers := fs.Int("callers", 16, "number of callers")
	faults := fs.Int("faults", 20, "number of faults for each seed")
	dir := fs.String("dir", "", "directory for logs; empty for a new temporary one")
	recovery := fs.Bool("recovery", false, "measure how service comes back after all instances have ended, instead of faults")
	verbose := fs.Bool("v", false, "print the faults")
	if err := ff.Parse(fs, args, ff.WithEnvVarPrefix("JACINTH_SOAK")); err != nil {
		return 0, err
	}
	hlog.SetLevel(hlog.LevelFatal)
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	logs := io.Discard
	if *verbose {
		logs = os.Stdout
	}
	if *dir == "" {
		made, err := os.MkdirTemp("", "jacinth-soak-")
		if err != nil {
			return 0, err
		}
		*dir = made
	}
	if *recovery {
		return 0, measureRecovery(ctx, soak.Options{Binary: *binary, Dir: *dir, Seed: *first, Instances: *instances, Targets: *targets,
			Callers: *callers, Log: logs})
	}
	total := 0
	for i := range *seeds {
		seed := *first + uint64(i)
		result, err := soak.Run(ctx, soak.Options{Binary: *binary, Dir: filepath.Join(*dir, fmt.Sprint("seed", seed)), Seed: seed,
			Instances: *instances, Targets: *targets, Callers: *callers, Faults: *faults, Log: logs})
		if err != nil {
			return total, err
		}
		fmt.Printf("seed %d: %d requests, %d answered, %d refused, %d unanswered, %d violations\n", seed, result.Requests,
			result.Succeeded, result.Refused, result.NoResponse, len(result.Violations))
		for _, v := range result.Violations {
			fmt.Println("  ", v)
		}
		total += len(result.Violations)
	}
	fmt.Println("logs:", *dir)
	return total, nil
}

// measureRecovery prints the times to the first answer and to full service,
// with the store at hand and with the store down.
func measureRecovery(ctx context.Context, o soak.Options) error {
	dir := o.Dir
	for _, storeDown := range []bool{false, true} {
		o.Dir = filepath.Join(dir, fmt.Sprint("store-down-", storeDown))
		r, err := soak.MeasureRecovery(ctx, o, storeDown)
		if err != nil {
			return err
		}
		from := "start of the instances"
		if storeDown {
			from = "return of the store"
		}
		fmt.Printf("first answer %s, full service %s after the %s\n", r.FirstResponse, r.FullService, from)
	}
	return nil
}
