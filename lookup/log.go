package lookup

import "github.com/jacinthstall/jacinthstall/events"

// LogDecision writes the log line of a decision with the inputs that decided
// it. Waited says whether the caller waited for a change.
func LogDecision(l *events.Log, q Query, s *SteeringPolicy, a *Decision, waited bool) {
	if !l.Enabled(events.LookupDecided.Level) {
		return
	}
	l.EmitFields(&events.LookupDecided,
		events.Addr("caller", q.Caller),
		events.String("site", a.Site),
		events.String("service", q.Service),
		events.Uint("policyVersion", s.Version),
		events.Uint("answerVersion", a.Version),
		events.Int("domainLive", int64(a.LiveInDomain)),
		events.Strings("regions", a.Regions),
		events.Strings("chosen", a.Names()),
		events.Bool("waited", waited),
	)
}
