package lookup

import "github.com/jacinthstall/jacinthstall/events"

// LogDecision logs a look-up decision together with its inputs. Waited reports
// whether the look-up waited for a change.
func LogDecision(l *events.Log, query Query, rules *SteeringPolicy, decision *Decision, waited bool) {
	if !l.Enabled(events.LookupDecided.Level) {
		return
	}
	l.EmitFields(&events.LookupDecided,
		events.Addr("caller", query.Caller),
		events.String("site", decision.Site),
		events.String("service", query.Service),
		events.Uint("policyVersion", rules.Version),
		events.Uint("answerVersion", decision.Version),
		events.Int("domainLive", int64(decision.LiveInDomain)),
		events.Strings("regions", decision.Regions),
		events.Strings("chosen", decision.Names()),
		events.Bool("waited", waited),
	)
}
