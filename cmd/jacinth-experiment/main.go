// Command jacinth-experiment runs the programs under load and faults and
// compares what callers were told with what targets executed.
package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"time"

	"github.com/peterbourgon/ff/v3"

	"github.com/jacinthstall/jacinthstall/internal/experiment"
)

func main() {
	if err := run(os.Args[1:]); err != nil {
		fmt.Fprintln(os.Stderr, "jacinth-experiment:", err)
		os.Exit(1)
	}
}

// scenariosError means that scenarios failed or broke a rule.
type scenariosError struct {
	failedScenarios, violations int
}

func (e *scenariosError) Error() string {
	return fmt.Sprintf("%d scenarios failed, %d violations", e.failedScenarios, e.violations)
}

func run(args []string) error {
	fs := flag.NewFlagSet("jacinth-experiment", flag.ContinueOnError)
	o := experiment.Options{Layout: experiment.DefaultLayout()}
	only := fs.String("scenario", "", "name of the scenario to run; empty runs all")
	fs.StringVar(&o.ProgramDir, "programs", "bin", "directory of the built programs")
	fs.StringVar(&o.KeyFile, "key", "demo/demo-only-keys/operator.key", "file with the operator's private key")
	fs.Uint64Var(&o.Seed, "seed", 1, "seed of the fault schedule")
	fs.DurationVar(&o.ScenarioTimeout, "limit", 20*time.Second, "time limit of one scenario")
	fs.StringVar(&o.LogDir, "logs", "", "directory to keep settings and logs in")
	if err := ff.Parse(fs, args, ff.WithEnvVarPrefix("JACINTH_EXPERIMENT")); err != nil {
		return err
	}
	return runScenarios(o, *only)
}

func runScenarios(o experiment.Options, only string) error {
	var results []experiment.Result
	var bad scenariosError
	for _, s := range experiment.Scenarios() {
		if only != "" && only != s.Name {
			continue
		}
		r, err := experiment.Run(context.Background(), o, s)
		if err != nil {
			bad.failedScenarios++
			fmt.Fprintf(os.Stderr, "%s: %v\n", s.Name, err)
			continue
		}
		bad.violations += len(r.Violations)
		results = append(results, r)
	}
	experiment.PrintResults(os.Stdout, results)
	if bad.failedScenarios > 0 || bad.violations > 0 || len(results) == 0 {
		return &bad
	}
	return nil
}
