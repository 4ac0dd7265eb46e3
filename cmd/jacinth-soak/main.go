// Command jacinth-soak runs entry instances as processes on loopback, injects
// random faults and checks the guarantees of the system. It exits with status 1 if
// there are violations, and with status 2 if a run fails.
package main

import (
	"context"
	"flag"
	"fmt"
	"io"
	"maps"
	"os"
	"os/signal"
	"path/filepath"
	"slices"
	"strings"

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
	flags := flag.NewFlagSet("jacinth-soak", flag.ContinueOnError)
	binary := flags.String("node", "bin/jacinth-node", "path of the program of an entry instance")
	firstSeed := flags.Uint64("seed", 1, "first seed")
	seedCount := flags.Int("seeds", 1, "number of seeds")
	instances := flags.Int("instances", 6, "number of instances")
	targets := flags.Int("targets", 9, "number of targets")
	callers := flags.Int("callers", 16, "number of callers")
	faults := flags.Int("faults", 20, "number of injected faults per seed")
	throttle := flags.Float64("throttle", 0, "share of the time for which each instance runs, in periods of 100 ms; 0 for always")
	cores := flags.Int("cores", 0, "processors that an instance uses; 0 for all")
	noise := flags.Float64("noise", 0, "probability that an extra or repeated response of a target precedes a response")
	rejects := flags.Float64("rejects", 0, "probability that a target rejects a request though it has room")
	kinds := flags.String("kinds", "", "kinds of faults, separated by commas; empty for all")
	targetFaults := flags.Float64("target-faults", 0, "share of requests that select a fault of the target; 0 for a small one")
	cut := flags.Bool("cut", false, "let targets break off some of their responses")
	dir := flags.String("dir", "", "directory for logs; empty for a new temporary directory")
	recovery := flags.Bool("recovery", false, "measure the recovery after all instances have ended, instead of injecting faults")
	verbose := flags.Bool("v", false, "print the injected faults")
	if err := ff.Parse(flags, args, ff.WithEnvVarPrefix("JACINTH_SOAK")); err != nil {
		return 0, err
	}
	hlog.SetLevel(hlog.LevelFatal)
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	faultLog := io.Discard
	if *verbose {
		faultLog = os.Stdout
	}
	if *dir == "" {
		tempDir, err := os.MkdirTemp("", "jacinth-soak-")
		if err != nil {
			return 0, err
		}
		*dir = tempDir
	}
	if *recovery {
		return 0, measureRecovery(ctx, soak.Options{Binary: *binary, Dir: *dir, Seed: *firstSeed, Instances: *instances, Targets: *targets,
			Callers: *callers, Log: faultLog})
	}
	totalViolations := 0
	for i := range *seedCount {
		seed := *firstSeed + uint64(i)
		result, err := soak.Run(ctx, soak.Options{Binary: *binary, Dir: filepath.Join(*dir, fmt.Sprint("seed", seed)), Seed: seed,
			Instances: *instances, Targets: *targets, Callers: *callers, Faults: *faults,
			Throttle: *throttle, Cores: *cores, Noise: *noise, Rejects: *rejects, TargetFaults: *targetFaults, CutResponses: *cut,
			Kinds: strings.FieldsFunc(*kinds, func(r rune) bool { return r == ',' }), Log: faultLog})
		if err != nil {
			return totalViolations, err
		}
		fmt.Printf("seed %d: %d requests, %d answered, %d refused or failed (%d with a promise), %d unanswered, %d planned stops, %d violations\n",
			seed, result.Requests, result.Succeeded, result.Refused, result.Promised, result.NoResponse, result.PlannedStops, len(result.Violations))
		for _, cause := range slices.Sorted(maps.Keys(result.Causes)) {
			fmt.Printf("  unanswered, %s: %d\n", cause, result.Causes[cause])
		}
		for _, violation := range result.Violations {
			fmt.Println("  ", violation)
		}
		totalViolations += len(result.Violations)
	}
	fmt.Println("logs:", *dir)
	return totalViolations, nil
}

// measureRecovery ends all instances, starts them again, and prints the times to
// the first response and to full service: once with the store available, once with
// the store unavailable until after the start.
func measureRecovery(ctx context.Context, options soak.Options) error {
	dir := options.Dir
	for _, storeDown := range []bool{false, true} {
		options.Dir = filepath.Join(dir, fmt.Sprint("store-down-", storeDown))
		recovery, err := soak.MeasureRecovery(ctx, options, storeDown)
		if err != nil {
			return err
		}
		since := "start of the instances"
		if storeDown {
			since = "return of the store"
		}
		fmt.Printf("first answer %s, full service %s after the %s\n", recovery.FirstResponse, recovery.FullService, since)
	}
	return nil
}
