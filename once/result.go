package once

import "github.com/jacinthstall/jacinthstall/outcome"

// MaxBodyBytes is the maximum size of a response body that a record keeps for
// replay.
const MaxBodyBytes = 4 << 10

// MaxTotalBodyBytes limits the total size of the bodies in the records of a
// registry. Without it, MaxRecords records with bodies of MaxBodyBytes would take
// 289 MB.
const MaxTotalBodyBytes = 3 << 20

// Fingerprint identifies the content of a request.
type Fingerprint [16]byte

// Result is the outcome of executing a request.
type Result struct {
	Executed    outcome.Executed
	Status      int // HTTP status code of the response; 0 unless Executed is yes.
	Reason      outcome.Reason
	ContentType string
	Body        []byte
	// BodyDropped is true when the response's body is not kept because it is
	// longer than MaxBodyBytes or exceeds what is left of MaxTotalBodyBytes.
	BodyDropped bool
}

// limitBody returns the result with a copy of its body, or without a body if this
// is longer than MaxBodyBytes or freeBytes.
func (result Result) limitBody(freeBytes int) Result {
	if len(result.Body) > min(MaxBodyBytes, freeBytes) {
		result.Body, result.BodyDropped = nil, true
		return result
	}
	result.Body = append([]byte(nil), result.Body...)
	return result
}

// unknownResult is the result at a successor when the issuer did not know
// whether the request was executed.
var unknownResult = Result{Executed: outcome.Unknown, Reason: outcome.ReasonIssuerGone}

// Verdict says how to handle a request that carries a key.
type Verdict int

const (
	// Run means that the caller of Begin must execute the request and call
	// Ticket.Finish exactly once.
	Run Verdict = iota + 1
	// Wait means that an earlier request with the key is in flight.
	Wait
	// Replay means that the recorded result is the response to the request.
	Replay
	// Foreign means that another instance issued the key.
	Foreign
	// HandedOver means that the successor decides about the key.
	HandedOver
	// RefuseKeyUnknown means that the key's prefix was never issued. No target
	// executed the request.
	RefuseKeyUnknown
	// RefuseKeyExpired means that the key's record may have been dropped.
	// Whether a target executed the request is unknown.
	RefuseKeyExpired
	// RefuseIssuerGone means that the incarnation that issued the key has ended
	// and that this registry does not hold its records, or not all of them.
	// Whether a target executed the request is unknown.
	RefuseIssuerGone
	// RefuseRecordsFull means that the registry holds its maximum number of
	// records. No target executed the request.
	RefuseRecordsFull
	// RefuseKeyReused means that the key was used for a request with different
	// content. No target executed the refused request.
	RefuseKeyReused
)

var verdictNames = map[Verdict]string{
	Run: "run", Wait: "wait", Replay: "replay", Foreign: "foreign", HandedOver: "handed-over",
	RefuseKeyUnknown: "refuse-unknown", RefuseKeyExpired: "refuse-expired", RefuseIssuerGone: "refuse-gone",
	RefuseRecordsFull: "refuse-full", RefuseKeyReused: "refuse-reused",
}

// String returns the verdict in kebab case.
func (v Verdict) String() string { return verdictNames[v] }

var refusals = map[Verdict]outcome.Outcome{
	RefuseKeyUnknown:  {Status: 409, Reason: outcome.ReasonKeyUnknown, Executed: outcome.No},
	RefuseKeyExpired:  {Status: 409, Reason: outcome.ReasonKeyExpired, Executed: outcome.Unknown},
	RefuseIssuerGone:  {Status: 409, Reason: outcome.ReasonIssuerGone, Executed: outcome.Unknown},
	RefuseRecordsFull: {Status: 503, Reason: outcome.ReasonRecordsFull, Executed: outcome.No},
	RefuseKeyReused:   {Status: 422, Reason: outcome.ReasonKeyReused, Executed: outcome.No},
}

// Refusal returns the outcome with which a request is refused. It returns false
// for a verdict that does not refuse the request.
func (v Verdict) Refusal() (outcome.Outcome, bool) {
	o, ok := refusals[v]
	return o, ok
}

// Decision is the result of Registry.Begin. Which fields are set depends on the
// verdict.
type Decision struct {
	Verdict   Verdict
	Ticket    *Ticket         // Set with Run.
	Done      <-chan struct{} // Set with Wait; closed when the request in flight has finished.
	Result    Result          // Set with Replay.
	Successor Issuer          // Set with HandedOver.
}
