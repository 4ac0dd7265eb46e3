package experiment

import (
	"context"
	"fmt"
	"io"
	"maps"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
	"text/tabwriter"
	"time"
)

// Options configure the runs of scenarios.
type Options struct {
	ProgramDir      string // Directory of the compiled programs.
	KeyFile         string // File with the private key that signs the policy document.
	Layout          Layout
	Seed            uint64        // Determines the faults.
	ScenarioTimeout time.Duration // Time limit for the load and the faults of one scenario.
	LogDir          string        // Directory for settings and logs; if empty, a temporary one that is removed.
}

// DefaultLayout returns a layout of one region, with two instances and two targets of
// each service in each failure domain.
func DefaultLayout() Layout {
	return Layout{Regions: []string{"palermo"}, InstancesPerDomain: 2, TargetsPerDomain: 2, LinkCapMbit: 100,
		Services: []ServiceLayout{
			{Name: "catalogue", Idempotent: true, Slots: 5, ServiceTime: "20ms"},
			{Name: "enrolment", Slots: 3, ServiceTime: "20ms"},
		}}
}

// Run starts a new deployment and runs one scenario on it. An error means that
// starting programs, injecting faults or fetching reports failed; violations are
// part of the result.
func Run(ctx context.Context, options Options, scenario Scenario) (Result, error) {
	dir, err := os.MkdirTemp(options.LogDir, "jacinth-"+scenario.Name+"-")
	if err != nil {
		return Result{}, err
	}
	if options.LogDir == "" {
		defer func() { _ = os.RemoveAll(dir) }()
	}
	if options.KeyFile, err = filepath.Abs(options.KeyFile); err != nil {
		return Result{}, err
	}
	deployment, err := startDeployment(options, dir)
	defer deployment.close()
	if err != nil {
		return Result{}, err
	}
	outcomes, err := runUnderLoad(ctx, options, scenario, deployment)
	if err != nil {
		return Result{}, err
	}
	reports, err := deployment.targetReports()
	if err != nil {
		return Result{}, err
	}
	result := verify(scenario.Name, outcomes, reports, scenario.checks)
	result.LongestShutdown = deployment.longestShutdown
	return result, nil
}

// runUnderLoad injects the faults of a scenario under load and returns the outcomes of all requests.
func runUnderLoad(ctx context.Context, options Options, scenario Scenario, deployment *deployment) ([]RequestOutcome, error) {
	ctx, cancel := context.WithTimeout(ctx, options.ScenarioTimeout)
	defer cancel()
	generator := &loadGenerator{deployment: deployment, seed: options.Seed}
	loadEnded := make(chan error, 1)
	go func() { loadEnded <- generator.sendAll(ctx) }()
	err := sleep(ctx, settleTime)
	if err == nil {
		err = scenario.injectFaults(ctx, deployment, rand.New(rand.NewPCG(options.Seed, 0)))
	}
	if err == nil {
		err = sleep(ctx, settleTime)
	}
	cancel()
	if sendErr := <-loadEnded; err == nil {
		err = sendErr
	}
	return generator.outcomes, err
}

// PrintResults writes a table of the results, followed by the longest shutdowns, the
// counts of outcomes other than "executed", and all violations, to w.
func PrintResults(w io.Writer, results []Result) {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "scenario\trequests\tyes\tno\tunknown\tbroken\tresent\tkeys\tcrashes\tviolations")
	for _, result := range results {
		fmt.Fprintf(table, "%s\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\n", result.Scenario, result.Requests,
			result.Executed, result.NotExecuted, result.Unknown, result.BrokenAttempts, result.Resent, result.ExecutedKeys, result.Crashes, len(result.Violations))
	}
	_ = table.Flush()
	for _, result := range results {
		if result.LongestShutdown > 0 {
			fmt.Fprintf(w, "%s: longest planned stop %s\n", result.Scenario, result.LongestShutdown.Round(time.Millisecond))
		}
		for _, kind := range slices.Sorted(maps.Keys(result.OtherOutcomes)) {
			fmt.Fprintf(w, "%s: %d answers %s\n", result.Scenario, result.OtherOutcomes[kind], kind)
		}
		for _, violation := range result.Violations {
			fmt.Fprintf(w, "%s: %s\n", result.Scenario, violation)
		}
	}
}
