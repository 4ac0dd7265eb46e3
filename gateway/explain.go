package gateway

import (
	"errors"
	"fmt"
	"net/http"
	"slices"
	"time"

	"github.com/jacinthstall/jacinthstall/balance"
	"github.com/jacinthstall/jacinthstall/steering"
)

// ExplainQuery describes a request whose routing is to be explained.
type ExplainQuery struct {
	Host, Path string
	Object     string        // Key of the object; empty if the request has none.
	Account    string        // Name of the account, never a key; empty if the request has none.
	Service    string        // One of the route's split; empty for the one that is next.
	Region     string        // Of the caller; empty for that of the instance.
	BodyBytes  int64         // Size of the body.
	Deadline   time.Duration // That the caller states; 0 if it states none.
}

// Explanation tells how a request would be routed. Times are in milliseconds.
type Explanation struct {
	Version   steering.Version     `json:"version"` // Of the configuration; 0 if there is none.
	Route     *ExplainedRoute      `json:"route,omitempty"`
	Account   *ExplainedAccount    `json:"account,omitempty"`
	Rank      string               `json:"rank,omitempty"`     // Of the account and the route; 0 is the highest.
	Services  []ExplainedService   `json:"services,omitempty"` // The route's split.
	Regions   []string             `json:"homeRegions,omitempty"`
	Streamed  bool                 `json:"streamed"` // The body is too long to be buffered: no retry and no relay.
	Placement *balance.Explanation `json:"placement,omitempty"`
	Decision  ExplainedDecision    `json:"decision"`
	Notes     []string             `json:"notes,omitempty"`
}

// ExplainedRoute is the route of a request.
type ExplainedRoute struct {
	Name        string   `json:"name"`
	Host        string   `json:"host"`
	Prefix      string   `json:"prefix"`
	Public      bool     `json:"public"`
	Sticky      bool     `json:"sticky"`
	Idempotent  bool     `json:"idempotent"`
	Priority    int      `json:"priority"`
	ObjectiveMs int64    `json:"objectiveMs"`
	TimeoutMs   int64    `json:"timeoutMs"`
	HomeRegions []string `json:"homeRegions,omitempty"`
}

// ExplainedAccount is the account of a request.
type ExplainedAccount struct {
	Name        string          `json:"name"`
	Priority    int             `json:"priority"`
	HomeRegions []string        `json:"homeRegions,omitempty"`
	Quota       *ExplainedQuota `json:"quota,omitempty"` // Nil if the account has no limit.
}

// ExplainedQuota is the state of an account's limit; see quota.Explanation.
type ExplainedQuota struct {
	PerSecond     float64 `json:"perSecond"`
	Burst         float64 `json:"burst"`
	Share         float64 `json:"share"`
	Demand        float64 `json:"demand"`
	OwnDemand     float64 `json:"ownDemand"`
	Level         float64 `json:"level"`
	AdmittedShare float64 `json:"admittedShare"`
	Admitted      bool    `json:"admitted"`
}

// ExplainedService is a service of a route's split.
type ExplainedService struct {
	Service  string  `json:"service"`
	Weight   float64 `json:"weight"`
	Next     bool    `json:"next"`     // The split selects it for the next request.
	Selected bool    `json:"selected"` // The explanation is about it.
}

// ExplainedDecision is the decision on a request.
type ExplainedDecision struct {
	Sent bool `json:"sent"`
	// ByChance is set if other requests of this kind get the opposite decision now.
	ByChance bool   `json:"byChance"`
	Status   int    `json:"status,omitempty"` // Of the response, if the request is refused.
	Reason   string `json:"reason,omitempty"` // Of the refusal.
	Target   string `json:"target,omitempty"` // That the request is sent to.
	Region   string `json:"region,omitempty"` // Of the target.
	Relay    string `json:"relay,omitempty"`  // Instance that admits requests to the target.
	// Range of the Retry-After; 0 if the refusal has none.
	MinRetryAfterMs int64 `json:"minRetryAfterMs,omitempty"`
	MaxRetryAfterMs int64 `json:"maxRetryAfterMs,omitempty"`
}

// Errors of queries that do not describe a request.
var (
	ErrUnknownAccount = errors.New("no account has this name")
	ErrUnknownService = errors.New("the route does not send requests to this service")
)

// Explain returns how a request would be routed now. It changes no state and writes no
// log line. Crashes that a request with this content has caused are not considered.
func (g *Gateway) Explain(now time.Time, query ExplainQuery) (*Explanation, error) {
	e := &explanation{gateway: g, now: now, query: query, Explanation: &Explanation{Streamed: query.BodyBytes > maxBufferedBodyBytes}}
	if err := e.explain(); err != nil {
		return nil, err
	}
	return e.Explanation, nil
}

// explanation is an Explanation in progress.
type explanation struct {
	*Explanation
	gateway *Gateway
	now     time.Time
	query   ExplainQuery
	request *routedRequest
}

// explain follows Gateway.handle.
func (e *explanation) explain() error {
	config := e.gateway.State().Config
	if config == nil {
		e.refuse(http.StatusServiceUnavailable, "no-configuration", noConfigRetryAfter)
		return nil
	}
	e.Version = config.Version
	e.request = &routedRequest{incomingRequest: &incomingRequest{arrived: e.now}, config: config, route: config.Match(e.query.Host, e.query.Path)}
	if limit := config.Limits.MaxBodyBytes; limit > 0 && e.query.BodyBytes > limit {
		e.refuse(http.StatusRequestEntityTooLarge, "body-too-large", 0)
		return nil
	}
	if e.request.route == nil {
		e.refuse(http.StatusNotFound, "no-route", 0)
		return nil
	}
	e.Route = explainRoute(e.request.route)
	if admitted, err := e.authenticate(); err != nil || !admitted {
		return err
	}
	if e.request.account != nil {
		e.Account = e.explainAccount(e.request.account)
	}
	e.Rank = config.RankOf(e.request.account, e.request.route).String()
	e.Regions = e.request.homeRegions
	if err := e.chooseService(); err != nil {
		return err
	}
	e.setObject()
	e.request.setDeadline(e.query.Deadline, e.query.Deadline > 0, responseMargin, e.gateway.deadlines.sinceFirstRequestUncounted)
	if !e.admitByQuota() {
		return nil
	}
	e.place()
	return nil
}

func (e *explanation) refuse(status int, reason string, retryAfter time.Duration) {
	e.Decision = ExplainedDecision{Status: status, Reason: reason, MinRetryAfterMs: retryAfter.Milliseconds(), MaxRetryAfterMs: retryAfter.Milliseconds()}
}

func (e *explanation) note(format string, values ...any) {
	e.Notes = append(e.Notes, fmt.Sprintf(format, values...))
}

func explainRoute(route *steering.Route) *ExplainedRoute {
	return &ExplainedRoute{Name: route.Name, Host: route.Host, Prefix: route.Prefix, Public: route.Public, Sticky: route.Sticky, Idempotent: route.Idempotent,
		Priority: route.Priority, ObjectiveMs: route.Objective.Milliseconds(), TimeoutMs: route.Timeout.Milliseconds(), HomeRegions: route.HomeRegions}
}

// authenticate follows Gateway.authenticate, with the name of the account in place of a
// key. It reports false if the request is refused.
func (e *explanation) authenticate() (bool, error) {
	request, config := e.request, e.request.config
	request.homeRegions = request.route.HomeRegions
	switch {
	case !config.AccountsRequired || request.route.Public:
		if e.query.Account != "" {
			e.note("the account is ignored: the route is public or the configuration has no accounts")
		}
	case config.AccountsUnknown:
		e.refuse(http.StatusServiceUnavailable, reasonAccountsUnknown, configChangeRetryAfter)
		return false, nil
	case e.query.Account == "":
		e.refuse(http.StatusUnauthorized, reasonNoKey, 0)
		return false, nil
	default:
		if request.account = config.Accounts[e.query.Account]; request.account == nil {
			return false, ErrUnknownAccount
		}
		if len(request.account.KeyHashes) == 0 {
			e.note("the account has no key, so no request can be of this account")
		}
		request.homeRegions = request.homeRegions.Intersect(request.account.HomeRegions)
	}
	if config.AccountsRequired && request.homeRegions.AllowsNone() {
		e.refuse(http.StatusServiceUnavailable, reasonNoHomeRegion, configChangeRetryAfter)
		return false, nil
	}
	return true, nil
}

func (e *explanation) explainAccount(account *steering.Account) *ExplainedAccount {
	explained := &ExplainedAccount{Name: account.Name, Priority: account.Priority, HomeRegions: account.HomeRegions}
	if e.gateway.ExplainQuota == nil {
		return explained
	}
	if q, limited := e.gateway.ExplainQuota(e.now, account.Name); limited {
		explained.Quota = &ExplainedQuota{PerSecond: q.RequestsPerSecond, Burst: q.Burst, Share: q.Share, Demand: q.Demand, OwnDemand: q.OwnDemand,
			Level: q.Level, AdmittedShare: q.AdmittedShare, Admitted: q.Admitted}
		if !q.Admitted {
			e.refuse(http.StatusTooManyRequests, reasonOverQuota, 0)
			e.Decision.MinRetryAfterMs, e.Decision.MaxRetryAfterMs = q.MinRetryAfter.Milliseconds(), q.MaxRetryAfter.Milliseconds()
		}
		e.Decision.ByChance = q.AdmittedShare > 0 && q.AdmittedShare < 1
	}
	return explained
}

// admitByQuota reports whether the account's quota admits the request.
func (e *explanation) admitByQuota() bool {
	return e.Account == nil || e.Account.Quota == nil || e.Account.Quota.Admitted
}

func (e *explanation) chooseService() error {
	route := e.request.route
	next := e.gateway.splitter.next(route)
	e.request.service = next
	if e.query.Service != "" {
		if !slices.ContainsFunc(route.Split, func(s steering.WeightedService) bool { return s.Service == e.query.Service }) {
			return ErrUnknownService
		}
		e.request.service = e.query.Service
	}
	for _, s := range route.Split {
		e.Services = append(e.Services, ExplainedService{Service: s.Service, Weight: s.Weight, Next: s.Service == next, Selected: s.Service == e.request.service})
	}
	return nil
}

func (e *explanation) setObject() {
	if e.request.route.Sticky {
		e.request.objectKey = e.query.Object
	} else if e.query.Object != "" {
		e.note("the object is ignored: the route is not sticky")
	}
}

// place explains the selection of a target.
func (e *explanation) place() {
	criteria := e.request.pickCriteria(e.now)
	criteria.Unrelayable = e.Streamed
	placement := e.gateway.Balancer.Explain(e.now, criteria)
	e.Placement = &placement
	e.explainCallerRegion(placement.Region)
	decision := placement.Decision
	expected := time.Duration(decision.ExpectedMs) * time.Millisecond
	byChance := e.Decision.ByChance || decision.ByChance
	switch {
	case !decision.Granted:
		e.refuse(http.StatusServiceUnavailable, string(decision.Reason), 0)
		e.Decision.MinRetryAfterMs, e.Decision.MaxRetryAfterMs = decision.MinRetryAfterMs, decision.MaxRetryAfterMs
	case e.gateway.stop.outlastsStop(e.now, e.now, e.request.deadline, expected):
		e.refuse(http.StatusServiceUnavailable, "stopping", notExecutedRetryAfter)
	default:
		e.Decision = ExplainedDecision{Sent: true, Target: decision.Target, Region: decision.Region, Relay: decision.Owner}
	}
	e.Decision.ByChance = byChance
}

func (e *explanation) explainCallerRegion(own string) {
	if e.query.Region != "" && e.query.Region != own {
		e.note("callers in region %s usually use an instance there, which decides with its own weights and round trips; this is the decision of an instance in region %s",
			e.query.Region, own)
	}
}
