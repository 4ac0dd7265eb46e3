package lookup

import (
	"fmt"
	"net/netip"
	"strconv"
	"time"
)

// Names of the parameters of a look-up.
const (
	ParameterCaller  = "caller"
	ParameterService = "service"
	ParameterWait    = "wait"
	ParameterVersion = "version"
)

const (
	// MaxWait is the longest time that a look-up may wait for a change.
	MaxWait = 30 * time.Second

	maxCallerBytes  = 64 // Longest text of an IPv6 address, rounded up.
	maxServiceBytes = 128
	maxNumberBytes  = 20 // Digits of the largest 64-bit number.
)

// ParameterError reports a parameter that is not valid.
type ParameterError struct {
	Parameter string
	Cause     string
}

// Error names the parameter and the cause.
func (e *ParameterError) Error() string {
	return fmt.Sprintf("lookup: parameter %s: %s", e.Parameter, e.Cause)
}

// Query is a look-up with checked parameters.
type Query struct {
	Caller  netip.Addr
	Service string        // Empty when not named.
	Wait    time.Duration // 0 to MaxWait.
	Version uint64        // Version of the answer that the caller has; 0 for none.
}

// Parameters holds the parameters of a look-up as received. An empty one was
// not given.
type Parameters struct {
	Caller  string // IP address.
	Service string
	Wait    string // Milliseconds.
	Version string
}

// ParseQuery checks the parameters. Remote is the address that the look-up came
// from and stands in for a caller that is not given. The error is a
// *ParameterError.
func ParseQuery(p Parameters, remote netip.Addr) (Query, error) {
	q := Query{Caller: remote.Unmap().WithZone("")}
	if p.Caller != "" {
		address, err := parseCaller(p.Caller)
		if err != nil {
			return Query{}, err
		}
		q.Caller = address
	}
	if !q.Caller.IsValid() {
		return Query{}, &ParameterError{Parameter: ParameterCaller, Cause: "missing"}
	}
	if len(p.Service) > maxServiceBytes {
		return Query{}, tooLongError(ParameterService, maxServiceBytes)
	}
	q.Service = p.Service
	wait, err := parseNumber(ParameterWait, p.Wait)
	if err != nil {
		return Query{}, err
	}
	if wait > uint64(MaxWait/time.Millisecond) {
		return Query{}, &ParameterError{Parameter: ParameterWait, Cause: fmt.Sprintf("above %d ms", MaxWait.Milliseconds())}
	}
	q.Wait = time.Duration(wait) * time.Millisecond
	q.Version, err = parseNumber(ParameterVersion, p.Version)
	return q, err
}

func parseCaller(text string) (netip.Addr, error) {
	if len(text) > maxCallerBytes {
		return netip.Addr{}, tooLongError(ParameterCaller, maxCallerBytes)
	}
	address, err := netip.ParseAddr(text)
	if err != nil || address.Zone() != "" {
		return netip.Addr{}, &ParameterError{Parameter: ParameterCaller, Cause: "not an IP address without a zone"}
	}
	return address.Unmap(), nil
}

func parseNumber(name, text string) (uint64, error) {
	if text == "" {
		return 0, nil
	}
	if len(text) > maxNumberBytes {
		return 0, tooLongError(name, maxNumberBytes)
	}
	n, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		return 0, &ParameterError{Parameter: name, Cause: "not a decimal number of 64 bits"}
	}
	return n, nil
}

func tooLongError(name string, limit int) error {
	return &ParameterError{Parameter: name, Cause: fmt.Sprintf("longer than %d bytes", limit)}
}
