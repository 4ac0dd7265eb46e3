package gateway

import (
	"net/http"
	"time"
)

// Quotas limits the requests of accounts.
type Quotas interface {
	// Admit takes a token for a request of an account. If it admits none, retryAfter
	// is the time after which the request is expected to be admitted.
	Admit(now time.Time, account string) (admitted bool, retryAfter time.Duration)
	// Return returns the token of a request that was admitted and that no target has
	// executed.
	Return(now time.Time, account string)
}

// Reasons of responses to requests that are refused because of their account.
const (
	reasonNoKey           = "no-key"
	reasonUnknownKey      = "unknown-key"
	reasonAccountsUnknown = "accounts-unknown"
	reasonNoHomeRegion    = "no-home-region"
	reasonOverQuota       = "over-quota"
)

// noHomeRegionRetryAfter is the Retry-After of a request that no region may serve.
// Only a new version of the configuration changes that, which operators write in
// seconds at the soonest.
const noHomeRegionRetryAfter = 2 * time.Second

// authenticate finds the account of a request and the regions that may serve it. It
// returns the response to a request that is refused.
func (g *Gateway) authenticate(request *routedRequest) *response {
	config := request.config
	request.homeRegions = request.route.HomeRegions
	if !config.AccountsRequired || request.route.Public {
		return nil
	}
	if config.AccountsUnknown {
		return g.refuseAccount(request, retryAfterResponse(http.StatusServiceUnavailable, reasonAccountsUnknown, noConfigRetryAfter))
	}
	key := g.Headers.Key(request.httpRequest.Header)
	if key == "" {
		return g.refuseAccount(request, systemResponse(http.StatusUnauthorized, reasonNoKey))
	}
	if request.account = config.AccountOfKey(key); request.account == nil {
		return g.refuseAccount(request, systemResponse(http.StatusUnauthorized, reasonUnknownKey))
	}
	request.homeRegions = request.homeRegions.Intersect(request.account.HomeRegions)
	if request.homeRegions.AllowsNone() {
		return g.refuseAccount(request, retryAfterResponse(http.StatusServiceUnavailable, reasonNoHomeRegion, noHomeRegionRetryAfter))
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
	admitted, retryAfter := g.Quotas.Admit(time.Now(), request.account.Name)
	if !admitted {
		return g.refuseAccount(request, retryAfterResponse(http.StatusTooManyRequests, reasonOverQuota, retryAfter))
	}
	return nil
}

// returnUnusedQuota returns the token of a request that no target can have executed.
func (g *Gateway) returnUnusedQuota(request *routedRequest) {
	if g.Quotas != nil && request.account != nil && !request.mayHaveExecuted {
		g.Quotas.Return(time.Now(), request.account.Name)
	}
}

// refuseAccount records the refusal of a request.
func (g *Gateway) refuseAccount(_ *routedRequest, resp *response) *response { return resp }
