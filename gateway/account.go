package gateway

import (
	"fmt"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"pistachioford.example/core/account"
	"pistachioford.example/core/sharedrate"
	"pistachioford.example/core/steer"
	"pistachioford.example/pistachioford/platform"
	"pistachioford.example/pistachioford/telemetry"
)

// usage guards the usage caps of the client accounts. It has a lock of its own,
// so that a flood of one account does not delay decisions on targets.
type usage struct {
	mu   sync.Mutex
	caps *account.Caps
	// wanting receives a signal when tokens may have to be borrowed.
	wanting chan struct{}
}

func newUsage(node *platform.Node) *usage {
	return &usage{caps: account.NewCaps(node.Name, node.Bounds.Cap), wanting: make(chan struct{}, 1)}
}

func (u *usage) with(f func(c *account.Caps)) {
	u.mu.Lock()
	defer u.mu.Unlock()
	f(u.caps)
}

// Reasons of refusals because of client accounts.
const (
	reasonNoAccount     = "no_account"
	reasonOldAccounts   = "accounts_may_be_old"
	reasonNoRegion      = "no_allowed_region"
	reasonOverCap       = "over_cap"
	textUnauthenticated = "the request has no key of a client account"
	textOldAccounts     = "the key is not known, and the document may be old"
	textNoRegion        = "no region is allowed for both the client account and the route"
	textOverCap         = "the client account has reached its usage cap"
)

// admitAccount determines the client account of a request and takes a token of
// its usage cap. It returns a reply if the request is refused.
func (g *Gateway) admitAccount(r *request, accounts *account.Directory) *reply {
	var credentials account.Credentials
	for _, value := range r.header.PeekAll(platform.HeaderAuthorization) {
		credentials.AddField(value)
	}
	r.Account = credentials.Account(accounts)
	if r.Account == nil {
		if r.Route.Public {
			return nil
		}
		return g.refuseUnlessCurrent(r, accountRefusal{
			status: fasthttp.StatusUnauthorized, reason: reasonNoAccount, text: textUnauthenticated,
		})
	}
	if !r.AllowsAnyRegion() {
		return g.refuseUnlessCurrent(r, accountRefusal{
			status: fasthttp.StatusForbidden, reason: reasonNoRegion, text: textNoRegion,
		})
	}
	decision := g.takeToken(r.Account)
	if decision.Admitted {
		r.holdsToken = true
		return nil
	}
	retryAfter := decision.RetryAfter
	g.metrics.increment(fmt.Sprintf(`account_refusals_total{reason=%q}`, reasonOverCap))
	g.logOverCap(r, retryAfter)
	return gatewayReply(fasthttp.StatusTooManyRequests, textOverCap, retryAfter)
}

const (
	// maxTokenWait is how long a request waits for a token that was claimed: a
	// round trip between regions.
	maxTokenWait = 150 * time.Millisecond
	// tokenPollInterval is how often a request that waits looks for its token.
	tokenPollInterval = 10 * time.Millisecond
)

// takeToken takes a token of an account's cap. If tokens are on their way, it
// waits for them.
func (g *Gateway) takeToken(a *account.Account) (decision account.Decision) {
	began := time.Now()
	g.usage.with(func(c *account.Caps) {
		decision = c.Take(began, a)
		if c.Wants() {
			g.usage.signal()
		}
	})
	for decision.Wait {
		pause(g.ctx, tokenPollInterval)
		now := time.Now()
		g.usage.with(func(c *account.Caps) { decision = c.Retry(now, a, now.Sub(began) >= maxTokenWait) })
	}
	return decision
}

// accountRefusal is a final refusal, which holds only by the newest document.
type accountRefusal struct {
	status       int
	reason, text string
}

// refuseUnlessCurrent returns a final refusal if the document is known to be
// current, and otherwise one after which the caller tries again.
func (g *Gateway) refuseUnlessCurrent(r *request, final accountRefusal) *reply {
	if !g.storeState.isCurrent(time.Now()) || g.operatorProgress.isBehind() {
		g.metrics.increment(fmt.Sprintf(`account_refusals_total{reason=%q}`, reasonOldAccounts))
		g.logRefused(r, fasthttp.StatusServiceUnavailable, reasonOldAccounts)
		return gatewayReply(fasthttp.StatusServiceUnavailable, textOldAccounts, noDocumentRetryAfter)
	}
	g.metrics.increment(fmt.Sprintf(`account_refusals_total{reason=%q}`, final.reason))
	g.logRefused(r, final.status, final.reason)
	refused := gatewayReply(final.status, final.text, 0)
	refused.challenge = final.status == fasthttp.StatusUnauthorized
	return refused
}

// settleToken gives the token of a request back if the request did not run.
func (g *Gateway) settleToken(r *request) {
	if r.holdsToken && !r.MayHaveRun() {
		g.usage.with(func(c *account.Caps) { c.Return(time.Now(), r.Account) })
	}
	r.holdsToken = false
}

// checkAccounts returns an error if a document must not become active because of
// its client accounts.
func (g *Gateway) checkAccounts(doc *steer.Document) error {
	known := map[string]bool{}
	for _, region := range g.node.Zones {
		known[region] = true
	}
	if err := doc.Accounts.CheckRegions(func(region string) bool { return known[region] }); err != nil {
		return fmt.Errorf("document r%d: %w", doc.Version, err)
	}
	return nil
}

// reportDemands returns the demands for accounts that the next heartbeats carry.
func (g *Gateway) reportDemands(now time.Time) (demands []sharedrate.Demand) {
	if !g.hasAccounts() {
		return nil
	}
	g.usage.with(func(c *account.Caps) { demands = c.Report(now) })
	return demands
}

// updateShares passes on what the others reported of their demands for accounts.
func (g *Gateway) updateShares(now time.Time, f fleet, advertised bool) {
	if !g.hasAccounts() || !f.membersRead && f.live == 0 {
		return
	}
	peers := g.peers.accountPeers()
	g.usage.with(func(c *account.Caps) { c.SetPeers(now, advertised, peers) })
}

func (g *Gateway) hasAccounts() bool {
	doc := g.document.Load()
	return doc != nil && doc.Accounts != nil
}

// logCapChanges logs the accounts that began or ceased to be refused since they
// exceeded their caps.
func (g *Gateway) logCapChanges(now time.Time) {
	var changes []account.CapChange
	g.usage.with(func(c *account.Caps) { changes = c.TakeChanges(now) })
	for _, change := range changes {
		telemetry.Event("account_capped", telemetry.F("account", change.Account), telemetry.F("capped", change.Capped),
			telemetry.F("cap", change.Rate), telemetry.F("share", fmt.Sprintf("%.3f", change.Fraction)),
			telemetry.F("owner", change.Owner), telemetry.F("fallback", change.Fallback),
			telemetry.F("demand", oneDecimal(change.Demand)), telemetry.F("refused", change.Refusals), telemetry.F("lasted", change.Duration))
	}
}

// logOverCap counts and logs a request over its account's cap. An account that
// floods gets no more than the routine lines.
func (g *Gateway) logOverCap(r *request, retryAfter time.Duration) {
	g.metrics.increment(fmt.Sprintf(`refusals_total{route=%q,status="%d",reason=%q}`, routeName(r), fasthttp.StatusTooManyRequests, reasonOverCap))
	telemetry.Routine("refused", telemetry.F("request", string(r.id)), telemetry.F("route", routeName(r)),
		telemetry.F("status", fasthttp.StatusTooManyRequests), telemetry.F("reason", reasonOverCap), telemetry.F("account", r.Account.Name),
		telemetry.F("retry_after_ms", retryAfter.Milliseconds()), telemetry.F("document", g.documentVersion()))
}

// maxAccountMetrics is the number of accounts, those with the most requests here,
// that the metrics page shows.
const maxAccountMetrics = 20

// accountMetrics returns the lines of the metrics page on accounts.
func (g *Gateway) accountMetrics(now time.Time) []string {
	if !g.hasAccounts() {
		return nil
	}
	var usages []account.Usage
	g.usage.with(func(c *account.Caps) { usages = c.Usages(now, maxAccountMetrics) })
	var lines []string
	for _, u := range usages {
		lines = append(lines,
			fmt.Sprintf(`account_cap_per_s{account=%q} %g`, u.Account, u.Rate),
			fmt.Sprintf(`account_cap_share{account=%q} %.4f`, u.Account, u.Fraction),
			fmt.Sprintf(`account_demand_per_s{account=%q} %.2f`, u.Account, u.Demand),
			fmt.Sprintf(`account_admitted_total{account=%q} %d`, u.Account, u.Taken),
			fmt.Sprintf(`account_over_cap_total{account=%q} %d`, u.Account, u.Refused))
	}
	return lines
}
