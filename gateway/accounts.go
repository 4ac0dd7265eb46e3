package gateway

import (
	"net/http"
	"time"

	"github.com/apex/log"

	"github.com/jacinthstall/jacinthstall/events"
)

// Quotas limits the requests of accounts.
type Quotas interface {
	// Admit takes a token for a request of an account. If it admits none, retryAfter
	// is the time after which the request is expected to be admitted.
	Admit(now time.Time, account string) (admitted bool, retryAfter time.Duration)
	// Return returns the token of a request that was admitted at the given time and
	// that no target has executed.
	Return(now time.Time, account string, admitted time.Time)
}

// Reasons of responses to requests that are refused because of their account.
const (
	reasonNoKey           = "no-key"
	reasonUnknownKey      = "unknown-key"
	reasonAccountsUnknown = "accounts-unknown"
	reasonNoHomeRegion    = "no-home-region"
	reasonOverQuota       = "over-quota"
)

// configChangeRetryAfter is the Retry-After of a request that can be served only after
// a correction of the configuration. Instances have a new version within 3 s.
const configChangeRetryAfter = 3 * time.Second

// authenticate finds the account of a request and the regions that may serve it. It
// returns the response to a request that is refused.
func (g *Gateway) authenticate(request *routedRequest) *response {
	config := request.config
	request.homeRegions = request.route.HomeRegions
	if !config.AccountsRequired {
		return nil
	}
	if !request.route.Public {
		if refusal := g.findAccount(request); refusal != nil {
			return refusal
		}
		request.homeRegions = request.homeRegions.Intersect(request.account.HomeRegions)
	}
	if request.homeRegions.AllowsNone() {
		return g.refuseAccount(request, retryAfterResponse(http.StatusServiceUnavailable, reasonNoHomeRegion, configChangeRetryAfter))
	}
	return nil
}

// findAccount sets the account to which the key of a request belongs, or returns the
// response to a request without one.
func (g *Gateway) findAccount(request *routedRequest) *response {
	if request.config.AccountsUnknown {
		return g.refuseAccount(request, retryAfterResponse(http.StatusServiceUnavailable, reasonAccountsUnknown, configChangeRetryAfter))
	}
	key := g.Headers.Key(request.httpRequest.Header)
	if key == "" {
		return g.refuseAccount(request, systemResponse(http.StatusUnauthorized, reasonNoKey))
	}
	if request.account = request.config.AccountOfKey(key); request.account == nil {
		return g.refuseAccount(request, systemResponse(http.StatusUnauthorized, reasonUnknownKey))
	}
	return nil
}

// accountName returns the name of the request's account, or "".
func (request *routedRequest) accountName() string {
	if request.account == nil {
		return ""
	}
	return request.account.Name
}

// setAccountHeader replaces the key by the name of the account in the header that is
// sent to targets and peers. In a configuration without accounts, both headers are
// the caller's.
func (request *routedRequest) setAccountHeader(headers Headers) {
	if request.config.AccountsRequired {
		headers.SetAccount(request.httpRequest.Header, request.accountName())
	}
}

// admitByQuota takes a token of the account's quota. It returns the response to a
// request over the quota.
func (g *Gateway) admitByQuota(request *routedRequest) *response {
	if g.Quotas == nil || request.account == nil {
		return nil
	}
	request.admitted = time.Now()
	admitted, retryAfter := g.Quotas.Admit(request.admitted, request.account.Name)
	if !admitted {
		return g.refuseAccount(request, retryAfterResponse(http.StatusTooManyRequests, reasonOverQuota, retryAfter))
	}
	request.quotaTaken = true
	return nil
}

// returnUnusedQuota returns the token of a request that no target can have executed.
func (g *Gateway) returnUnusedQuota(request *routedRequest) {
	if request.quotaTaken && !request.mayHaveExecuted {
		request.quotaTaken = false
		g.Quotas.Return(time.Now(), request.account.Name, request.admitted)
	}
}

// refuseAccount records the refusal of a request.
func (g *Gateway) refuseAccount(request *routedRequest, resp *response) *response {
	g.counters.recordRefusal(resp.reason)
	if refused, write := g.refusalLog.Record(time.Now(), resp.reason); write {
		g.events.Emit(events.AccountRefused, log.Fields{"reason": resp.reason, "request": request.id, "route": request.route.Name,
			"account": request.accountName(), "refused": refused, "version": uint64(request.version)})
	}
	return resp
}

// refusalLogInterval is the shortest time between two log lines of one reason. Callers
// with a wrong key may send any number of requests.
const refusalLogInterval = time.Second
