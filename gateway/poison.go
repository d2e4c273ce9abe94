package gateway

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"time"

	"github.com/valyala/fasthttp"

	"pistachioford.example/core/poison"
	"pistachioford.example/core/presence"
	"pistachioford.example/core/steer"
	"pistachioford.example/pistachioford/telemetry"
)

const (
	// verdictsPath is the path on which an instance tells others which requests
	// it refuses since they crash targets.
	verdictsPath = "/poison"
	// verdictSaveInterval is how often new verdicts are saved in the store, and
	// maxSavedVerdicts how many at once.
	verdictSaveInterval = time.Second
	maxSavedVerdicts    = 8
)

// sendPoison sends what concerns requests that crash targets and cannot wait for
// a regular heartbeat to reach an instance: reports to keepers, and new verdicts
// to all.
func (p *peers) sendPoison(live []presence.Heartbeat, m poison.Messages) {
	p.mu.Lock()
	own := p.table.Self()
	p.mu.Unlock()
	for _, heartbeat := range live {
		message := heartbeatMessage{
			own: own, reports: m.Reports[heartbeat.Name], verdicts: slices.Concat(m.New, m.Cleared[heartbeat.Name]),
		}
		if len(message.reports)+len(message.verdicts) > 0 {
			p.write(heartbeat.PeerAddr, message)
		}
	}
}

func names(instances []presence.Heartbeat) []string {
	var names []string
	for _, heartbeat := range instances {
		names = append(names, heartbeat.Name)
	}
	return names
}

// serveVerdicts responds with all verdicts, unless this instance does not know
// them itself yet.
func (g *Gateway) serveVerdicts(ctx *fasthttp.RequestCtx) {
	if !g.verdictsKnown.Load() {
		ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
		return
	}
	var verdicts []poison.Verdict
	g.withEngine(func(e *steer.Engine) { verdicts = e.Poison().Verdicts(time.Now()) })
	body, err := json.Marshal(verdicts)
	if err != nil {
		ctx.SetStatusCode(fasthttp.StatusInternalServerError)
		return
	}
	ctx.SetContentType("application/json")
	ctx.SetBody(body)
}

// readVerdicts reads the verdicts of another instance.
func (r *relays) readVerdicts(address string) ([]poison.Verdict, error) {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.SetRequestURI("http://" + address + verdictsPath)
	if err := r.client.DoTimeout(req, resp, relayTimeoutMargin); err != nil {
		return nil, fmt.Errorf("step=verdicts peer=%s: %w", address, err)
	}
	if status := resp.StatusCode(); status != fasthttp.StatusOK {
		return nil, fmt.Errorf("step=verdicts peer=%s: status %d", address, status)
	}
	var verdicts []poison.Verdict
	if err := json.Unmarshal(resp.Body(), &verdicts); err != nil {
		return nil, fmt.Errorf("step=verdicts peer=%s: %w", address, err)
	}
	return verdicts, nil
}

// learnVerdicts makes a starting instance learn which requests the others refuse
// since they crash targets. It asks src, from which the instance also gets the
// targets, and if that fails another source.
func (g *Gateway) learnVerdicts(ctx context.Context, src source) {
	if g.verdictsKnown.Load() {
		return
	}
	var fromStore, fromPeer error
	peer := readyPeer(g.peers.live(time.Now()))
	if relay, ok := src.(*relaySource); ok {
		peer = relay.address
		if fromPeer = g.learnFromInstance(peer); fromPeer == nil {
			return
		}
		fromStore = g.learnFromStore(ctx)
	} else if fromStore = g.learnFromStore(ctx); fromStore != nil && peer != "" {
		fromPeer = g.learnFromInstance(peer)
	}
	if !g.verdictsKnown.Load() {
		telemetry.Failure("verdicts_unknown", errors.Join(fromStore, fromPeer))
	}
}

func (g *Gateway) learnFromInstance(address string) error {
	verdicts, err := g.relays.readVerdicts(address)
	if err != nil {
		return err
	}
	g.learned(address, verdicts)
	return nil
}

func (g *Gateway) learnFromStore(ctx context.Context) error {
	var verdicts []poison.Verdict
	if !g.node.FirstStart {
		now := time.Now()
		saved, refused, err := g.storeClient.ReadVerdicts(ctx, now)
		if err != nil {
			return err
		}
		for _, err := range refused {
			telemetry.Failure("verdict_refused", err)
		}
		verdicts = saved
	}
	g.learned(g.storeClient.Name(), verdicts)
	return nil
}

func (g *Gateway) learned(source string, verdicts []poison.Verdict) {
	g.guard("verdicts", func() {
		g.withEngine(func(e *steer.Engine) { e.Poison().RecordVerdicts(time.Now(), verdicts) })
	})
	g.verdictsKnown.Store(true)
	if len(verdicts) > 0 {
		telemetry.Event("verdicts_learned", telemetry.F("source", source), telemetry.F("verdicts", len(verdicts)))
	}
}

// readyPeer returns the address of a live instance that is ready, or an empty
// string.
func readyPeer(live []presence.Heartbeat) string {
	for _, heartbeat := range live {
		if heartbeat.Ready {
			return heartbeat.PeerAddr
		}
	}
	return ""
}

// maintainVerdicts saves the verdicts that this instance declares, for instances
// that start after all others have stopped. It also goes on to ask for those of
// the others if they could not be learned at the start.
func (g *Gateway) maintainVerdicts() {
	for g.ctx.Err() == nil {
		pause(g.ctx, verdictSaveInterval)
		if g.storeState.hasRegistry() {
			g.learnVerdicts(g.ctx, g.storeClient)
		}
		g.saveVerdicts()
	}
}

func (g *Gateway) saveVerdicts() {
	var unsaved []poison.Verdict
	g.guard("verdicts", func() {
		g.withEngine(func(e *steer.Engine) { unsaved = e.Poison().Unsaved(time.Now(), maxSavedVerdicts) })
	})
	for _, verdict := range unsaved {
		if err := g.storeClient.WriteVerdict(g.ctx, time.Now(), verdict); err != nil {
			telemetry.Failure("verdict_not_saved", err, telemetry.F("fingerprint", formatFingerprint(verdict.Fingerprint)))
			return
		}
		g.guard("verdicts", func() {
			g.withEngine(func(e *steer.Engine) { e.Poison().Saved(time.Now(), verdict) })
		})
	}
}
