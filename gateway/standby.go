package gateway

import (
	"time"

	concpool "github.com/sourcegraph/conc/pool"

	"pistachioford.example/core/steer"
	"pistachioford.example/pistachioford/telemetry"
)

const (
	// standbyInterval is how often missing standby connections are opened. It
	// is a small part of maxTargetIdle, after which unused ones are closed and
	// have to be opened again.
	standbyInterval = time.Second
	// maxStandbyDials limits the connections that are opened at a time, so that
	// a starting instance does not open hundreds at once.
	maxStandbyDials = 8
)

// maintainStandby keeps connections open to the targets that the engine expects
// to need, while lookups return this instance.
func (g *Gateway) maintainStandby() {
	for g.ctx.Err() == nil {
		if !g.leaving.Load() && g.isAdvertised() {
			var wanted []steer.Endpoint
			g.guard("standby", func() {
				g.withEngine(func(e *steer.Engine) { wanted = e.StandbyEndpoints(time.Now()) })
			})
			g.openStandbyConns(wanted)
		}
		pause(g.ctx, standbyInterval)
	}
}

// openStandbyConns opens the connections that are missing and reports the
// round-trip times to the engine.
func (g *Gateway) openStandbyConns(wanted []steer.Endpoint) {
	dials := concpool.New().WithMaxGoroutines(maxStandbyDials)
	for _, endpoint := range wanted {
		if g.ctx.Err() != nil {
			break
		}
		if g.pools.hasIdle(endpoint.Target) {
			continue
		}
		dials.Go(func() {
			conn, rtt, err := g.pools.dial(endpoint.Address, dialTimeout)
			if err != nil {
				// The failure is not reported to the engine: only requests
				// decide on a target's health.
				telemetry.Debug("standby_failed", telemetry.F("target", endpoint.Target), telemetry.F("error", err))
				return
			}
			g.pools.putUnused(time.Now(), endpoint.Target, conn)
			g.withEngine(func(e *steer.Engine) { e.ObserveRTT(endpoint.Zone, rtt) })
		})
	}
	dials.Wait()
}
