// Command jacinth-experiment runs the programs under load with fault injection and
// compares the outcomes reported to callers with the executions on the targets.
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

// scenariosError reports that scenarios could not run or had violations.
type scenariosError struct {
	failedScenarios, violations int
}

func (e *scenariosError) Error() string {
	return fmt.Sprintf("%d scenarios failed, %d violations", e.failedScenarios, e.violations)
}

func run(args []string) error {
	flags := flag.NewFlagSet("jacinth-experiment", flag.ContinueOnError)
	options := experiment.Options{Layout: experiment.DefaultLayout()}
	scenarioName := flags.String("scenario", "", "name of the scenario to run; empty for all")
	flags.StringVar(&options.ProgramDir, "programs", "bin", "directory of the programs")
	flags.StringVar(&options.KeyFile, "key", "demo/demo-only-keys/operator.key", "file with the operator's private key")
	flags.Uint64Var(&options.Seed, "seed", 1, "seed of the fault schedule")
	flags.DurationVar(&options.ScenarioTimeout, "limit", 20*time.Second, "time limit of one scenario")
	flags.StringVar(&options.LogDir, "logs", "", "directory in which settings and logs are kept")
	if err := ff.Parse(flags, args, ff.WithEnvVarPrefix("JACINTH_EXPERIMENT")); err != nil {
		return err
	}
	return runScenarios(options, *scenarioName)
}

func runScenarios(options experiment.Options, scenarioName string) error {
	var results []experiment.Result
	var failure scenariosError
	for _, scenario := range experiment.Scenarios() {
		if scenarioName != "" && scenarioName != scenario.Name {
			continue
		}
		result, err := experiment.Run(context.Background(), options, scenario)
		if err != nil {
			failure.failedScenarios++
			fmt.Fprintf(os.Stderr, "%s: %v\n", scenario.Name, err)
			continue
		}
		failure.violations += len(result.Violations)
		results = append(results, result)
	}
	experiment.PrintResults(os.Stdout, results)
	if failure.failedScenarios > 0 || failure.violations > 0 || len(results) == 0 {
		return &failure
	}
	return nil
}
