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
	Programs string // Directory of the built programs.
	Key      string // File with the private key that signs the document.
	Layout   Layout
	Seed     uint64
	Limit    time.Duration // Time limit of the faults of one scenario.
	Logs     string        // Directory for settings and logs; empty for a temporary one.
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
	dir, err := os.MkdirTemp(o.Logs, "jacinth-"+s.Name+"-")
	if err != nil {
		return Result{}, err
	}
	if o.Logs == "" {
		defer func() { _ = os.RemoveAll(dir) }()
	}
	if o.Key, err = filepath.Abs(o.Key); err != nil {
		return Result{}, err
	}
	r, err := startAll(o, dir)
	defer r.close()
	if err != nil {
		return Result{}, err
	}
	answers, err := underLoad(ctx, o, s, r)
	if err != nil {
		return Result{}, err
	}
	reports, err := r.reports()
	if err != nil {
		return Result{}, err
	}
	result := verify(s.Name, answers, reports, s.checks)
	result.LongestStop = r.longestStop
	return result, nil
}

// underLoad injects the faults of a scenario while callers send.
func underLoad(ctx context.Context, o Options, s Scenario, r *running) ([]Answer, error) {
	ctx, cancel := context.WithTimeout(ctx, o.Limit)
	defer cancel()
	l := &load{run: r, seed: o.Seed}
	sent := make(chan error, 1)
	go func() { sent <- l.sendAll(ctx) }()
	err := sleep(ctx, settleTime)
	if err == nil {
		err = s.faults(ctx, r, rand.New(rand.NewPCG(o.Seed, 0)))
	}
	if err == nil {
		err = sleep(ctx, settleTime)
	}
	cancel()
	if sendErr := <-sent; err == nil {
		err = sendErr
	}
	return l.answers, err
}

// Print writes a table of results, the counts of other answers and each
// violation to w.
func Print(w io.Writer, results []Result) {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "scenario\trequests\tyes\tno\tunknown\tbroken\tresent\tkeys\tcrashes\tviolations")
	for _, r := range results {
		fmt.Fprintf(t, "%s\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\n", r.Scenario, r.Requests, r.Yes, r.No, r.Unknown,
			r.Broken, r.Resent, r.Keys, r.Crashes, len(r.Violations))
	}
	_ = t.Flush()
	for _, r := range results {
		if r.LongestStop > 0 {
			fmt.Fprintf(w, "%s: longest planned stop %s\n", r.Scenario, r.LongestStop.Round(time.Millisecond))
		}
		for _, kind := range slices.Sorted(maps.Keys(r.Others)) {
			fmt.Fprintf(w, "%s: %d answers %s\n", r.Scenario, r.Others[kind], kind)
		}
		for _, v := range r.Violations {
			fmt.Fprintf(w, "%s: %s\n", r.Scenario, v)
		}
	}
}
