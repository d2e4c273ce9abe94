package gateway

import (
	"errors"
	"fmt"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/valyala/fasthttp"

	"pistachioford.example/core/poison"
	"pistachioford.example/core/steer"
	"pistachioford.example/pistachioford/platform"
	"pistachioford.example/pistachioford/telemetry"
)

// Upper limit and significant digits of the latency histograms.
const (
	maxLatencyMS  = 60_000
	latencyDigits = 2
)

// metrics holds the counters and latency histograms of one instance. It is
// safe for concurrent use.
type metrics struct {
	mu        sync.Mutex
	counters  map[string]uint64
	latencies map[string]*hdrhistogram.Histogram
}

func newMetrics() *metrics {
	return &metrics{counters: map[string]uint64{}, latencies: map[string]*hdrhistogram.Histogram{}}
}

func (m *metrics) increment(name string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.counters[name]++
}

func (m *metrics) countExchange(service string, result steer.Result) {
	m.increment(fmt.Sprintf(`exchanges_total{service=%q,result=%q}`, service, result))
}

// countFeedCall counts a call of a feed by its source and outcome.
func (m *metrics) countFeedCall(feed platform.Feed, relayed, changed bool, err error) {
	source := "store"
	if relayed {
		source = "instance"
	}
	result := "unchanged"
	switch {
	case errors.Is(err, errPollAbandoned):
		result = "given_up"
	case errors.Is(err, platform.ErrHistoryDropped):
		result = "history_dropped"
	case errors.Is(err, errStaleResponse):
		result = "stale"
	case errors.Is(err, errRelayRefused):
		result = "refused"
	case err != nil:
		result = "failed"
	case changed:
		result = "changed"
	}
	m.increment(fmt.Sprintf(`feed_calls_total{feed=%q,source=%q,result=%q}`, feed, source, result))
}

// recordLatency records the time from a request's arrival to its response.
func (m *metrics) recordLatency(route string, took time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	h := m.latencies[route]
	if h == nil {
		h = hdrhistogram.New(1, maxLatencyMS, latencyDigits)
		m.latencies[route] = h
	}
	_ = h.RecordValue(min(max(took.Milliseconds(), 1), maxLatencyMS))
}

// percentiles are the latency percentiles on the metrics page.
var percentiles = []float64{50, 90, 99, 99.9}

// render renders the metrics and further lines, one per line.
func (m *metrics) render(further []string) string {
	m.mu.Lock()
	defer m.mu.Unlock()
	lines := further
	for name, value := range m.counters {
		lines = append(lines, fmt.Sprintf("%s %d", name, value))
	}
	for route, h := range m.latencies {
		for _, q := range percentiles {
			lines = append(lines, fmt.Sprintf(`latency_ms{route=%q,quantile="%g"} %d`, route, q/100, h.ValueAtQuantile(q)))
		}
		lines = append(lines, fmt.Sprintf(`latency_ms_count{route=%q} %d`, route, h.TotalCount()))
	}
	sort.Strings(lines)
	return strings.Join(lines, "\n") + "\n"
}

func (g *Gateway) handleMetrics(ctx *fasthttp.RequestCtx) {
	further := append(g.accountMetrics(time.Now()), g.connMetrics.lines(g.callers)...)
	further = append(further, g.admissions.lines()...)
	further = append(further, g.overloadLines(time.Now())...)
	ctx.SetBodyString(g.metrics.render(further))
}

func routeName(r *request) string {
	if r.Route == nil {
		return ""
	}
	return r.Route.Name
}

// logServed counts and logs a request that got a target's response.
func (g *Gateway) logServed(r *request, s *steer.Send, status int) {
	took := time.Since(r.arrived)
	g.metrics.increment(fmt.Sprintf(`requests_total{route=%q,status="%d"}`, r.Route.Name, status))
	g.metrics.recordLatency(r.Route.Name, took)
	telemetry.Routine("served", telemetry.F("request", string(r.id)), telemetry.F("route", r.Route.Name),
		telemetry.F("target", s.Target), telemetry.F("zone", s.Zone), telemetry.F("attempt", s.Attempt),
		telemetry.F("object", strconv.FormatUint(r.Object, 36)), telemetry.F("place", s.Rank), telemetry.F("warm", s.Cached),
		telemetry.F("load", oneDecimal(s.Load)), telemetry.F("load_age_ms", s.LoadAge.Milliseconds()),
		telemetry.F("expected_ms", s.EstimatedCost.Milliseconds()), telemetry.F("took_ms", took.Milliseconds()),
		telemetry.F("delayed_ms", r.delayed.Milliseconds()), telemetry.F("status", status))
}

// logNotices counts and logs what targets stated.
func (g *Gateway) logNotices(changes []steer.NoticeChange) {
	for _, change := range changes {
		g.metrics.increment("target_notices_total")
		telemetry.Event("target_notice", telemetry.F("target", change.Target), telemetry.F("limit", change.Limit),
			telemetry.F("leaving", change.Leaving), telemetry.F("pause", change.Pause), telemetry.F("reported", change.Reported))
	}
}

// logVerdicts counts and logs the requests that began or ceased to be refused
// since they crash targets.
func (g *Gateway) logVerdicts(changes []poison.Change) {
	for _, change := range changes {
		g.metrics.increment(fmt.Sprintf(`poison_verdicts_total{blocked="%t",received="%t"}`, change.Blocked, change.Received))
		telemetry.Event("poison_verdict", telemetry.F("fingerprint", formatFingerprint(change.Fingerprint)), telemetry.F("blocked", change.Blocked),
			telemetry.F("crashes", change.Crashes), telemetry.F("serial", change.Serial), telemetry.F("received", change.Received))
	}
}

func formatFingerprint(fingerprint uint64) string { return strconv.FormatUint(fingerprint, 16) }

// logExchange logs an exchange that ended with any result but steer.Responded.
// retried reports whether the request is sent again.
func (g *Gateway) logExchange(r *request, s *steer.Send, out *outcome, retried bool) {
	if retried {
		g.metrics.increment(fmt.Sprintf(`repeats_total{service=%q,reason=%q}`, r.Service, out.Result))
	}
	cause := ""
	if out.Result == steer.Broken {
		cause = out.Cause.String()
	}
	telemetry.Event("exchange_failed", telemetry.F("request", string(r.id)), telemetry.F("route", r.Route.Name),
		telemetry.F("target", s.Target), telemetry.F("address", s.Address), telemetry.F("zone", s.Zone),
		telemetry.F("attempt", s.Attempt), telemetry.F("result", out.Result), telemetry.F("cause", cause), telemetry.F("error", out.err),
		telemetry.F("forgotten", out.StaleConnection), telemetry.F("fingerprint", formatFingerprint(r.Fingerprint)),
		telemetry.F("load", oneDecimal(s.Load)), telemetry.F("load_age_ms", s.LoadAge.Milliseconds()),
		telemetry.F("expected_ms", s.EstimatedCost.Milliseconds()), telemetry.F("document", g.documentVersion()),
		telemetry.F("took_ms", time.Since(r.arrived).Milliseconds()), telemetry.F("repeated", retried))
}

func oneDecimal(value float64) string { return strconv.FormatFloat(value, 'f', 1, 64) }

// documentVersion returns the version of the active document, or 0 before the
// first.
func (g *Gateway) documentVersion() uint64 {
	if doc := g.document.Load(); doc != nil {
		return doc.Version
	}
	return 0
}

// logRefused counts and logs a request that got no target's response. fields
// are the inputs of that decision.
func (g *Gateway) logRefused(r *request, status int, reason string, fields ...telemetry.Field) {
	g.metrics.increment(fmt.Sprintf(`refusals_total{route=%q,status="%d",reason=%q}`, routeName(r), status, reason))
	took := time.Duration(0)
	if !r.arrived.IsZero() {
		took = time.Since(r.arrived)
	}
	line := []telemetry.Field{
		telemetry.F("request", string(r.id)), telemetry.F("route", routeName(r)), telemetry.F("service", r.Service),
		telemetry.F("status", status), telemetry.F("reason", reason), telemetry.F("took_ms", took.Milliseconds()),
		telemetry.F("document", g.documentVersion()), telemetry.F("store_age_ms", g.storeState.age(time.Now()).Milliseconds()),
	}
	if reason == steer.ReasonCrasher.String() {
		line = append(line, telemetry.F("fingerprint", formatFingerprint(r.Fingerprint)))
	}
	telemetry.Event("refused", append(line, fields...)...)
}

// refusalFields returns the inputs of a refusal as fields of a log line.
func refusalFields(refusal *steer.Refusal) []telemetry.Field {
	if refusal.Best == "" {
		return nil
	}
	return []telemetry.Field{
		telemetry.F("best", refusal.Best), telemetry.F("expected_ms", refusal.ResponseTime.Milliseconds()),
		telemetry.F("load", oneDecimal(refusal.Load)), telemetry.F("load_age_ms", refusal.LoadAge.Milliseconds()),
		telemetry.F("retry_after_ms", refusal.RetryAfter.Milliseconds()),
	}
}
