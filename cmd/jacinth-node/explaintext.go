package main

import (
	"fmt"
	"io"
	"strings"
	"text/tabwriter"

	"github.com/jacinthstall/jacinthstall/balance"
	"github.com/jacinthstall/jacinthstall/gateway"
	"github.com/jacinthstall/jacinthstall/node"
)

// writeExplanation prints an explanation as text.
func writeExplanation(out io.Writer, e *node.Explanation, shownTargets int) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	line := func(format string, values ...any) { fmt.Fprintf(w, format+"\n", values...) }
	line("instance\t%s, configuration version %d, store revision %d", e.Instance, e.Version, e.StoreRevision)
	if r := e.Route; r != nil {
		line("route\t%s (%s%s), objective %d ms, timeout %d ms, priority %d%s", r.Name, r.Host, r.Prefix, r.ObjectiveMs, r.TimeoutMs, r.Priority,
			marks(mark{r.Public, "public"}, mark{r.Sticky, "sticky"}, mark{r.Idempotent, "idempotent"}))
	}
	if a := e.Account; a != nil {
		line("account\t%s, priority %d", a.Name, a.Priority)
		if q := a.Quota; q != nil {
			line("quota\t%.4g requests/s, burst %.4g, demand %.1f/s (%.1f here), level %.1f, %.0f%% of the limit usable, %.0f%% of requests admitted",
				q.PerSecond, q.Burst, q.Demand, q.OwnDemand, q.Level, 100*q.Share, 100*q.AdmittedShare)
		}
	}
	if e.Rank != "" {
		line("rank\t%s (account/route)", e.Rank)
	}
	for _, s := range e.Services {
		line("service\t%s, weight %.4g%s", s.Service, s.Weight, marks(mark{s.Next, "next"}, mark{s.Selected, "explained"}))
	}
	if len(e.Regions) > 0 {
		line("home regions\t%s", strings.Join(e.Regions, ", "))
	}
	if err := w.Flush(); err != nil {
		return err
	}
	if e.Placement != nil {
		if err := writePlacement(out, e.Placement, shownTargets); err != nil {
			return err
		}
	}
	for _, note := range e.Notes {
		fmt.Fprintln(out, "note:", note)
	}
	_, err := fmt.Fprintln(out, decisionText(e.Decision))
	return err
}

// mark is a property that is printed if it applies.
type mark struct {
	applies bool
	name    string
}

func marks(all ...mark) string {
	text := ""
	for _, m := range all {
		if m.applies {
			text += ", " + m.name
		}
	}
	return text
}

// writePlacement prints the regions and targets that were considered.
func writePlacement(out io.Writer, p *balance.Explanation, shownTargets int) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	line := func(format string, values ...any) { fmt.Fprintf(w, format+"\n", values...) }
	if r := p.Reserve; r != nil {
		reserved := "no higher rank has demand"
		if r.For != "" {
			reserved = fmt.Sprintf("higher ranks need %.0f%% of the slots, rank %s tolerates a wait of %d ms", 100*r.HigherWork, r.For, r.ToleratedMs)
		}
		line("reserve\t%s%s", reserved, marks(mark{r.Unrestricted, "not applied: too few callers of the rank are served"}))
	}
	for i, r := range p.Regions {
		weight := "not known"
		if r.Weight != nil {
			weight = fmt.Sprintf("%.3f", *r.Weight)
		}
		best := "no usable target"
		if r.Best != "" {
			best = "best target " + r.Best
		}
		if !r.Allowed {
			best = "excluded"
		}
		line("region %d\t%s, weight %s, round trip %d ms, %s%s", i+1, r.Region, weight, r.RoundTripMs, best, marks(mark{r.Region == p.Region, "of the instance"}))
	}
	line("")
	line("TARGET\tREGION\tDOMAIN\tLOAD\tAGE\tSLOTS\tWAIT\tTIME\tSTATE\tREASONS")
	shown, hidden := map[string]int{}, 0
	for _, t := range p.Targets {
		if shown[t.Region]++; shownTargets > 0 && shown[t.Region] > shownTargets {
			hidden++
			continue
		}
		age := "-"
		if t.LoadAgeMs >= 0 {
			age = fmt.Sprintf("%d ms", t.LoadAgeMs)
		}
		line("%s\t%s\t%s\t%d\t%s\t%d\t%d ms\t%d ms\t%s\t%s", t.Target, t.Region, t.Domain, t.Load, age, t.Slots, t.WaitMs, t.ExpectedMs, stateText(t), reasonsText(t.Reasons))
	}
	if hidden > 0 {
		line("%d more targets; -targets 0 shows all", hidden)
	}
	line("")
	return w.Flush()
}

func stateText(t balance.ExplainedTarget) string {
	limit := ""
	if t.LimitPerS != nil {
		limit = fmt.Sprintf("takes %.4g/s through %s", *t.LimitPerS, t.Owner)
	}
	text := strings.TrimPrefix(marks(mark{t.Warm, "warm"}, mark{t.Cold, "cold"}, mark{t.Down, "down"}, mark{limit != "", limit}), ", ")
	if text == "" {
		return "-"
	}
	return text
}

func reasonsText(reasons []balance.ExplainedReason) string {
	texts := make([]string, len(reasons))
	for i, r := range reasons {
		texts[i] = string(r.Reason)
		if r.Rank != "" {
			texts[i] += " for rank " + r.Rank
		}
		if r.ForMs > 0 {
			texts[i] += fmt.Sprintf(" for %d ms", r.ForMs)
		}
	}
	return strings.Join(texts, ", ")
}

// decisionText returns the last line of an explanation.
func decisionText(d gateway.ExplainedDecision) string {
	text := "decision: sent to " + d.Target + " in region " + d.Region
	switch {
	case d.Relay != "":
		text += " through instance " + d.Relay
	case !d.Sent:
		text = fmt.Sprintf("decision: refused with %d, %s", d.Status, d.Reason)
		if d.MaxRetryAfterMs > 0 {
			text += fmt.Sprintf(", Retry-After %d to %d ms", d.MinRetryAfterMs, d.MaxRetryAfterMs)
		}
	}
	return text + marks(mark{d.ByChance, "but other requests of this kind get the opposite decision"})
}
