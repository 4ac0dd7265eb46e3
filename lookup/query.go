package lookup

import (
	"fmt"
	"net/netip"
	"strconv"
	"time"
)

// Names of the look-up parameters.
const (
	ParameterCaller  = "caller"
	ParameterService = "service"
	ParameterWait    = "wait"
	ParameterVersion = "version"
)

const (
	// MaxWait is the maximum time that a look-up may wait for a change.
	MaxWait = 30 * time.Second

	maxCallerBytes  = 64 // Longest textual IPv6 address, rounded up.
	maxServiceBytes = 128
	maxNumberBytes  = 20 // Digits of the largest 64-bit number.
)

// ParameterError reports an invalid look-up parameter.
type ParameterError struct {
	Parameter string
	Cause     string
}

// Error implements error.
func (e *ParameterError) Error() string {
	return fmt.Sprintf("lookup: parameter %s: %s", e.Parameter, e.Cause)
}

// Query is a look-up with validated parameters.
type Query struct {
	Caller  netip.Addr
	Service string        // Empty when not specified.
	Wait    time.Duration // 0 to MaxWait.
	Version uint64        // Version of the decision that the caller has; 0 for none.
}

// Parameters holds the look-up parameters as received. An empty string means
// that the parameter is absent.
type Parameters struct {
	Caller  string // IP address.
	Service string
	Wait    string // Milliseconds.
	Version string
}

// ParseQuery validates the parameters. Remote is the address that the look-up
// came from; it is used when the caller parameter is absent. The returned error
// is a *ParameterError.
func ParseQuery(parameters Parameters, remote netip.Addr) (Query, error) {
	query := Query{Caller: remote.Unmap().WithZone("")}
	if parameters.Caller != "" {
		address, err := parseCaller(parameters.Caller)
		if err != nil {
			return Query{}, err
		}
		query.Caller = address
	}
	if !query.Caller.IsValid() {
		return Query{}, &ParameterError{Parameter: ParameterCaller, Cause: "missing"}
	}
	if len(parameters.Service) > maxServiceBytes {
		return Query{}, tooLongError(ParameterService, maxServiceBytes)
	}
	query.Service = parameters.Service
	wait, err := parseNumber(ParameterWait, parameters.Wait)
	if err != nil {
		return Query{}, err
	}
	if wait > uint64(MaxWait/time.Millisecond) {
		return Query{}, &ParameterError{Parameter: ParameterWait, Cause: fmt.Sprintf("above %d ms", MaxWait.Milliseconds())}
	}
	query.Wait = time.Duration(wait) * time.Millisecond
	query.Version, err = parseNumber(ParameterVersion, parameters.Version)
	return query, err
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
