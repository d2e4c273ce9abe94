package gateway

import (
	"fmt"
	"time"

	"github.com/sourcegraph/conc/panics"
	"github.com/valyala/fasthttp"

	"pistachioford.example/core/steer"
	"pistachioford.example/pistachioford/platform"
	"pistachioford.example/pistachioford/telemetry"
)

// A panic costs only the request, message or row that caused it. State that it
// may have left half changed is not used again: the engine is rebuilt from the
// rows of the feeds, a connection is closed, and a heartbeat's sender is
// forgotten until its next one. A panic in any other part ends the process, see
// Gateway.background.

// guard runs f and returns false if it panicked, which it counts and logs with
// the stack.
func (g *Gateway) guard(part string, f func()) bool {
	recovered := panics.Try(f)
	if recovered == nil {
		return true
	}
	g.metrics.increment(fmt.Sprintf("panics_total{part=%q}", part))
	telemetry.Failure("panic", recovered.AsError(), telemetry.F("part", part))
	return false
}

// guardHandler returns a handler that responds with status 500 if h panics.
func (g *Gateway) guardHandler(part string, h fasthttp.RequestHandler) fasthttp.RequestHandler {
	return func(ctx *fasthttp.RequestCtx) {
		if !g.guard(part, func() { h(ctx) }) {
			ctx.Response.Reset()
			ctx.SetStatusCode(fasthttp.StatusInternalServerError)
		}
	}
}

// withEngine runs f with the engine. If f panics, the engine is rebuilt before
// the panic goes on.
func (g *Gateway) withEngine(f func(e *steer.Engine)) {
	g.mu.Lock()
	defer g.mu.Unlock()
	intact := false
	defer func() {
		if !intact {
			g.rebuildEngine(time.Now())
		}
	}()
	f(g.engine)
	intact = true
}

// rebuildEngine replaces the engine by one with the document, evacuations and
// targets of the feeds, with what targets stated and with the requests that are
// blocked. What the old one had measured is lost, as after a restart. It is called with mu held.
func (g *Gateway) rebuildEngine(now time.Time) {
	broken := g.engine
	g.abandonDelays()
	g.engine = steer.NewEngine(g.engineConfig)
	if broken != nil {
		// What targets stated holds on: they may not state it again in time.
		g.guard("rebuild", func() { g.engine.AdoptNotices(broken) })
		g.guard("rebuild", func() { g.engine.AdoptPoison(now, broken) })
	}
	if doc := g.document.Load(); doc != nil {
		// The newest row may hold a document that was refused.
		g.engine.SetDocument(doc)
	}
	operatorRows, _, _, _ := g.relays.histories[platform.FeedOperator].changesSince(0)
	for _, row := range operatorRows {
		g.guard("rebuild", func() {
			for _, change := range platform.DecodeOperator([]platform.Row{row}) {
				if change.Document == nil || g.checkAccounts(change.Document) == nil {
					applyOperatorChange(g.engine, now, change)
				}
			}
		})
	}
	registryRows, _, _, _ := g.relays.histories[platform.FeedRegistry].changesSince(0)
	for _, row := range registryRows {
		g.guard("rebuild", func() {
			for _, change := range platform.DecodeRegistry([]platform.Row{row}) {
				if change.Err == nil && !change.Removed {
					g.engine.PutTarget(now, change.Record)
				}
			}
		})
	}
	telemetry.Event("engine_rebuilt", telemetry.F("targets", g.engine.Targets()))
}

// applyOperatorChange applies a change to an engine. It returns false for a
// document that is not newer than the active one.
func applyOperatorChange(e *steer.Engine, now time.Time, change platform.OperatorChange) bool {
	switch {
	case change.Err != nil:
		return false
	case change.Document != nil:
		return e.SetDocument(change.Document)
	default:
		e.Evacuate(now, change.Zone, change.Evacuated)
		return true
	}
}
