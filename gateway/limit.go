package gateway

import (
	"errors"
	"fmt"
	"math"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/jacinthstall/jacinthstall/balance"
	"github.com/jacinthstall/jacinthstall/steering"
)

// errOwnerUnavailable means that the instance that admits requests to a limited
// target is unknown here or has failed lately.
var errOwnerUnavailable = errors.New("instance that admits requests to the limited target is not available")

// limitRefusal means that the owner of a limited target did not admit a request.
type limitRefusal struct {
	wait  time.Duration // Time until the owner may be asked again.
	limit *balance.LimitStatement
}

func (refusal *limitRefusal) Error() string {
	return fmt.Sprintf("target takes no more requests at present; next in %s", refusal.wait)
}

// Is makes a limitRefusal equivalent to errRelayRefused.
func (refusal *limitRefusal) Is(err error) bool { return err == errRelayRefused }

// formatLimit encodes a limit for headerRelayLimit.
func formatLimit(statement balance.LimitStatement) string {
	perSecond := math.Inf(1)
	if statement.Active {
		perSecond = statement.PerSecond
	}
	return fmt.Sprintf("%g;%d", perSecond, statement.Age.Milliseconds())
}

// parseLimit decodes headerRelayLimit. It returns nil if the header is missing or
// invalid.
func parseLimit(text string) *balance.LimitStatement {
	rate, age, ok := strings.Cut(text, ";")
	perSecond, err := strconv.ParseFloat(rate, 64)
	ms, ageErr := strconv.ParseInt(age, 10, 32)
	limited := !math.IsInf(perSecond, 1)
	if !ok || err != nil || ageErr != nil || ms < 0 || limited && !(perSecond >= 0 && perSecond <= balance.MaxRate) { // Also excludes NaN.
		return nil
	}
	statement := balance.LimitStatement{Age: time.Duration(ms) * time.Millisecond}
	if limited {
		statement.RateLimit = balance.RateLimit{Active: true, PerSecond: perSecond}
	}
	return &statement
}

// setRefusal adds the reason of a refusal to the response to a peer.
func setRefusal(header http.Header, target *steering.Target, admission balance.Admission) {
	if admission.Leaving || admission.Pause > 0 {
		setAvailabilityRefusal(header, target, admission)
		return
	}
	header.Set(headerRelayLimit, formatLimit(admission.Limit))
	header.Set(headerRelayWait, strconv.FormatInt(admission.Wait.Milliseconds(), 10))
}

// readLimitRefusal returns the refusal in a relay's response; nil if it contains
// none.
func readLimitRefusal(header http.Header) *limitRefusal {
	ms, err := strconv.ParseInt(header.Get(headerRelayWait), 10, 32)
	if err != nil || ms < 0 {
		return nil
	}
	return &limitRefusal{wait: time.Duration(ms) * time.Millisecond, limit: parseLimit(header.Get(headerRelayLimit))}
}

// deferTarget stops using a target for some time after a relay has refused a
// request to it, or the owner of a limited target could not be reached.
func (g *Gateway) deferTarget(request *routedRequest, grant balance.Grant, targetAtFault bool, err error) {
	var refusal *limitRefusal
	var unavailable *availabilityRefusal
	switch {
	case errors.As(err, &unavailable):
		g.recordAvailability(grant.Target, unavailable.leaving, unavailable.pause, balance.StatementFromRelay)
	case errors.As(err, &refusal):
		request.overflowRefused = request.overflowRefused || grant.Overflow
		g.Balancer.DeferTarget(time.Now(), grant, refusal.wait, refusal.limit)
	case grant.Owner.Name != "" && !targetAtFault:
		g.Balancer.DeferTarget(time.Now(), grant, relayBackoff, nil)
	}
}
