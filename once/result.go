package once

import "github.com/jacinthstall/jacinthstall/outcome"

// MaxBodyBytes bounds the body that a record keeps for replay.
const MaxBodyBytes = 4 << 10

// MaxTotalBodyBytes bounds the bodies of all records of a registry together, in bytes.
// Records with the longest bodies would take 289 MB without it.
const MaxTotalBodyBytes = 3 << 20

// Fingerprint identifies the content of a request.
type Fingerprint [16]byte

// Result is what became of an execution.
type Result struct {
	Executed    outcome.Executed
	Status      int // HTTP status code of the answer; 0 unless Executed is yes.
	Reason      outcome.Reason
	ContentType string
	Body        []byte
	// BodyDropped is true when the answer's body is not kept, since it was
	// longer than MaxBodyBytes or MaxBodies was reached.
	BodyDropped bool
}

// limitBody returns the result without a body that is too long to keep or larger
// than the room that is left.
func (r Result) limitBody(room int) Result {
	if len(r.Body) > min(MaxBodyBytes, room) {
		r.Body, r.BodyDropped = nil, true
		return r
	}
	r.Body = append([]byte(nil), r.Body...)
	return r
}

var unknownResult = Result{Executed: outcome.Unknown, Reason: outcome.ReasonIssuerGone}

// Verdict says what may be done with a request that carries a key.
type Verdict int

const (
	// Run means that the caller of Begin must execute the request and call
	// Ticket.Finish exactly once.
	Run Verdict = iota + 1
	// Wait means that the first request with the key is in flight.
	Wait
	// Replay means that the recorded result answers the request.
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
	// RefuseIssuerGone means that the issuing incarnation has ended or that its
	// hand-over is not complete. Whether a target executed the request is
	// unknown.
	RefuseIssuerGone
	// RefuseRecordsFull means that the registry holds its maximum of records. No
	// target executed the request.
	RefuseRecordsFull
	// RefuseKeyReused means that the key belongs to a request with other content.
	// No target executed this one.
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

// Refusal returns the outcome of a refusing verdict, and false for a verdict
// that does not refuse.
func (v Verdict) Refusal() (outcome.Outcome, bool) {
	o, ok := refusals[v]
	return o, ok
}

// Decision is the answer of Begin.
type Decision struct {
	Verdict   Verdict
	Ticket    *Ticket         // Run only.
	Done      <-chan struct{} // Wait only; closed when the request in flight has finished.
	Result    Result          // Replay only.
	Successor Issuer          // HandedOver only.
}
