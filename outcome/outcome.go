// Package outcome types the result of a request as an entry instance reports
// it to a caller: status, machine-readable reason, and whether a target
// executed the request.
package outcome

// Executed says whether a target executed a request.
type Executed string

const (
	// Yes means that a target answered the request.
	Yes Executed = "yes"
	// No means that no target executed the request, and that this is certain.
	No Executed = "no"
	// Unknown means that a target may have executed the request.
	Unknown Executed = "unknown"
)

// ParseExecuted reads the value of a Request-Executed header. Everything but an
// exact "yes" or "no" is Unknown: a value that is not understood proves nothing.
func ParseExecuted(value string) Executed {
	switch e := Executed(value); e {
	case Yes, No:
		return e
	}
	return Unknown
}

// Reason is the machine-readable cause of an outcome.
type Reason string

// Reasons for outcomes that the entry instance decides.
const (
	ReasonResponded      Reason = "answered"
	ReasonNoService      Reason = "no-service"
	ReasonNoConfig       Reason = "no-configuration"
	ReasonOverloaded     Reason = "overloaded"
	ReasonDeadline       Reason = "deadline-exceeded"
	ReasonNoTarget       Reason = "no-target"
	ReasonShed           Reason = "target-shed"
	ReasonTargetFailed   Reason = "target-failed"
	ReasonTruncated      Reason = "answer-truncated"
	ReasonCanceled       Reason = "canceled"
	ReasonStopping       Reason = "instance-stopping"
	ReasonBadRequest     Reason = "bad-request"
	ReasonBodyTooLarge   Reason = "body-too-large"
	ReasonKeyUnknown     Reason = "key-unknown"
	ReasonKeyExpired     Reason = "key-expired"
	ReasonKeyReused      Reason = "key-reused"
	ReasonIssuerGone     Reason = "issuer-gone"
	ReasonInProgress     Reason = "in-progress"
	ReasonRecordsFull    Reason = "records-full"
	ReasonQuarantined    Reason = "quarantined"
	ReasonLinkCap        Reason = "link-cap"
	ReasonNotPermitted   Reason = "not-permitted"
	ReasonRelayFailed    Reason = "relay-failed"
	ReasonTooManyWaiting Reason = "too-many-waiting"
	// ReasonNoResponse is set by callers when no instance answered.
	ReasonNoResponse Reason = "no-answer"
)

// Headers of requests and answers.
const (
	// HeaderExecuted carries Executed, on answers of instances and on answers
	// of targets that shed a request without executing it.
	HeaderExecuted = "Request-Executed"
	// HeaderReason carries Reason.
	HeaderReason = "Jacinthstall-Reason"
	// HeaderIdempotencyKey carries the idempotency key of a request.
	HeaderIdempotencyKey = "Idempotency-Key"
	// HeaderIdempotencyKeyPrefix carries a fresh key prefix of the answering instance.
	HeaderIdempotencyKeyPrefix = "Idempotency-Key-Prefix"
	// HeaderDeadline carries the remaining time of a request in milliseconds.
	HeaderDeadline = "Request-Deadline-Ms"
	// HeaderTargetState is set to "leaving" by a target that is leaving.
	HeaderTargetState = "Target-State"
	// HeaderTarget names the target that answered.
	HeaderTarget = "Jacinthstall-Target"
	// HeaderInstance names the entry instance that answered.
	HeaderInstance = "Jacinthstall-Instance"
)

// Outcome is the result of a request.
type Outcome struct {
	Status   int // HTTP status code.
	Reason   Reason
	Executed Executed
	Target   string // Empty when no target was chosen.
}
