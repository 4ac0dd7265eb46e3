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

// Options configure runs.
type Options struct {
	ProgramDir      string // Directory of the built programs.
	KeyFile         string // File with the private key that signs the document.
	Layout          Layout
	Seed            uint64
	ScenarioTimeout time.Duration // Time limit of the faults of one scenario.
	LogDir          string        // Directory for settings and logs; empty for a temporary one.
}

// DefaultLayout is one region with two instances in each failure domain and two
// targets of each service in each failure domain.
func DefaultLayout() Layout {
	return Layout{Regions: []string{"palermo"}, InstancesPerDomain: 2, TargetsPerDomain: 2, LinkCapMbit: 100,
		Services: []ServiceLayout{
			{Name: "catalogue", Idempotent: true, Slots: 5, ServiceTime: "20ms"},
			{Name: "enrolment", Slots: 3, ServiceTime: "20ms"},
		}}
}

// Run runs one scenario on a deployment of its own. The error is one of
// starting programs, of the faults or of the reports; violations are part of
// the result.
func Run(ctx context.Context, o Options, s Scenario) (Result, error) {
	dir, err := os.MkdirTemp(o.LogDir, "jacinth-"+s.Name+"-")
	if err != nil {
		return Result{}, err
	}
	if o.LogDir == "" {
		defer func() { _ = os.RemoveAll(dir) }()
	}
	if o.KeyFile, err = filepath.Abs(o.KeyFile); err != nil {
		return Result{}, err
	}
	r, err := startDeployment(o, dir)
	defer r.close()
	if err != nil {
		return Result{}, err
	}
	answers, err := runUnderLoad(ctx, o, s, r)
	if err != nil {
		return Result{}, err
	}
	reports, err := r.targetReports()
	if err != nil {
		return Result{}, err
	}
	result := verify(s.Name, answers, reports, s.checks)
	result.LongestShutdown = r.longestShutdown
	return result, nil
}

// runUnderLoad injects the faults of a scenario while callers send.
func runUnderLoad(ctx context.Context, o Options, s Scenario, r *deployment) ([]RequestOutcome, error) {
	ctx, cancel := context.WithTimeout(ctx, o.ScenarioTimeout)
	defer cancel()
	l := &loadGenerator{deployment: r, seed: o.Seed}
	sent := make(chan error, 1)
	go func() { sent <- l.sendAll(ctx) }()
	err := sleep(ctx, settleTime)
	if err == nil {
		err = s.injectFaults(ctx, r, rand.New(rand.NewPCG(o.Seed, 0)))
	}
	if err == nil {
		err = sleep(ctx, settleTime)
	}
	cancel()
	if sendErr := <-sent; err == nil {
		err = sendErr
	}
	return l.outcomes, err
}

// PrintResults writes a table of results, the counts of other answers and each
// violation to w.
func PrintResults(w io.Writer, results []Result) {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "scenario\trequests\tyes\tno\tunknown\tbroken\tresent\tkeys\tcrashes\tviolations")
	for _, r := range results {
		fmt.Fprintf(t, "%s\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\n", r.Scenario, r.Requests, r.Executed, r.NotExecuted, r.Unknown,
			r.BrokenAttempts, r.Resent, r.ExecutedKeys, r.Crashes, len(r.Violations))
	}
	_ = t.Flush()
	for _, r := range results {
		if r.LongestShutdown > 0 {
			fmt.Fprintf(w, "%s: longest planned stop %s\n", r.Scenario, r.LongestShutdown.Round(time.Millisecond))
		}
		for _, kind := range slices.Sorted(maps.Keys(r.OtherOutcomes)) {
			fmt.Fprintf(w, "%s: %d answers %s\n", r.Scenario, r.OtherOutcomes[kind], kind)
		}
		for _, v := range r.Violations {
			fmt.Fprintf(w, "%s: %s\n", r.Scenario, v)
		}
	}
}
