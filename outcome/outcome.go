// Package outcome defines the result of a request as reported to callers:
// status, machine-readable reason, and whether a target executed the request.
package outcome

// Executed tells whether a target executed a request.
type Executed string

const (
	// Yes means that a target responded to the request.
	Yes Executed = "yes"
	// No means that certainly no target executed the request.
	No Executed = "no"
	// Unknown means that a target may have executed the request.
	Unknown Executed = "unknown"
)

// ParseExecuted parses the value of a Request-Executed header. Any value other
// than exactly "yes" or "no" is Unknown, because it proves nothing.
func ParseExecuted(value string) Executed {
	switch e := Executed(value); e {
	case Yes, No:
		return e
	}
	return Unknown
}

// Reason is the machine-readable cause of an outcome.
type Reason string

// Reasons of outcomes that the entry instance determines.
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
	// ReasonNoResponse is set by callers that got no response from any
	// instance.
	ReasonNoResponse Reason = "no-answer"
)

// Headers of requests and responses.
const (
	// HeaderExecuted carries an Executed value in responses of instances, and
	// in responses of targets that shed a request without executing it.
	HeaderExecuted = "Request-Executed"
	// HeaderReason carries a Reason.
	HeaderReason         = "Jacinthstall-Reason"
	HeaderIdempotencyKey = "Idempotency-Key"
	// HeaderIdempotencyKeyPrefix carries a new key prefix issued by the
	// responding instance.
	HeaderIdempotencyKeyPrefix = "Idempotency-Key-Prefix"
	// HeaderDeadline carries the remaining time of a request in milliseconds.
	HeaderDeadline = "Request-Deadline-Ms"
	// HeaderTargetState has the value "leaving" in responses of a target that
	// is leaving.
	HeaderTargetState = "Target-State"
	// HeaderTarget names the target that responded.
	HeaderTarget = "Jacinthstall-Target"
	// HeaderInstance names the entry instance that responded.
	HeaderInstance = "Jacinthstall-Instance"
)

// Outcome is the result of a request as reported to its caller.
type Outcome struct {
	Status   int // HTTP status code.
	Reason   Reason
	Executed Executed
	Target   string // Empty if no target was selected.
}
