package gateway

import (
	"time"

	concpool "github.com/sourcegraph/conc/pool"

	"pistachioford.example/core/steer"
	"pistachioford.example/pistachioford/telemetry"
)

const (
	// standbyPeriod is how often connections are opened ahead of requests. It
	// is a small part of idleTime, after which they are opened again.
	standbyPeriod = time.Second
	// standbyDials is the number of connections that are opened at a time, so
	// that a start does not open hundreds in one moment.
	standbyDials = 8
)

// keepStandby keeps connections open to the targets that decisions name, while
// callers are sent to this instance.
func (g *Gateway) keepStandby() {
	for g.ctx.Err() == nil {
		if !g.leaving.Load() && g.named() {
			g.mu.Lock()
			wanted := g.engine.Standby(time.Now())
			g.mu.Unlock()
			g.openStandby(wanted)
		}
		pause(g.ctx, standbyPeriod)
	}
}

// openStandby opens the connections that are missing, and measures the trips.
func (g *Gateway) openStandby(wanted []steer.Endpoint) {
	dials := concpool.New().WithMaxGoroutines(standbyDials)
	for _, endpoint := range wanted {
		if g.ctx.Err() != nil {
			break
		}
		if g.pools.holds(endpoint.Target) {
			continue
		}
		dials.Go(func() {
			conn, trip, err := g.pools.dial(endpoint.Address, dialTimeout)
			if err != nil {
				// A request that needs the target decides on its health.
				telemetry.Debug("standby_failed", telemetry.F("target", endpoint.Target), telemetry.F("error", err))
				return
			}
			g.pools.reserve(time.Now(), endpoint.Target, conn)
			g.mu.Lock()
			g.engine.ObserveTrip(endpoint.Zone, trip)
			g.mu.Unlock()
		})
	}
	dials.Wait()
}
