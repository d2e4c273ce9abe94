package gateway

import (
	"maps"
	"net"
	"slices"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"pistachioford.example/core/presence"
	"pistachioford.example/pistachioford/listeners"
	"pistachioford.example/pistachioford/platform"
	"pistachioford.example/pistachioford/telemetry"
)

const (
	// lookupTTL limits how long callers may cache a result. It is short:
	// callers keep trying a dead instance for this time, and few instances are
	// advertised.
	lookupTTL = time.Second
	// maxLookupAddresses is the number of addresses that callers accept.
	maxLookupAddresses = 64
	// maxAuxiliaryBody limits the body of a request to one of the auxiliary
	// ports, none of which needs one.
	maxAuxiliaryBody = 4 << 10
	// minZoneInstances is the number of instances in the caller's own zone from
	// which on lookups return only those: traffic between zones is charged.
	minZoneInstances = 1
)

// serveAuxiliary serves one of the ports for readiness, lookups, metrics and
// feeds, if it is configured.
func (g *Gateway) serveAuxiliary(listener net.Listener, handler fasthttp.RequestHandler) {
	if listener == nil {
		return
	}
	server := &fasthttp.Server{
		Handler: g.guardHandler("auxiliary", handler), GetOnly: true, MaxRequestBodySize: maxAuxiliaryBody, NoDefaultServerHeader: true, Logger: discardLogger{},
		ReadTimeout: defaultIdleTimeout, IdleTimeout: defaultIdleTimeout,
	}
	g.background("serve", func() {
		if err := server.Serve(listeners.Persistent(listener)); err != nil && g.ctx.Err() == nil {
			telemetry.Failure("serve", err, telemetry.F("address", listener.Addr()))
		}
	})
}

// discardLogger drops the log lines of the HTTP server, which can quote
// requests.
type discardLogger struct{}

func (discardLogger) Printf(string, ...any) {}

func (g *Gateway) handleReadiness(ctx *fasthttp.RequestCtx) {
	if string(ctx.Path()) != platform.PathReadiness {
		ctx.SetStatusCode(fasthttp.StatusNotFound)
		return
	}
	if !g.ready() {
		ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
	}
}

func (g *Gateway) handleLookup(ctx *fasthttp.RequestCtx) {
	if string(ctx.Path()) != platform.PathLookup {
		ctx.SetStatusCode(fasthttp.StatusNotFound)
		return
	}
	args := ctx.QueryArgs()
	addresses := g.lookup(string(args.Peek("name")), string(args.Peek("region")), string(args.Peek("zone")))
	if len(addresses) == 0 {
		ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
		return
	}
	body, err := platform.EncodeLookup(addresses, min(lookupTTL, g.node.Bounds.LookupTTL))
	if err != nil {
		telemetry.Failure("encode_lookup", err)
		ctx.SetStatusCode(fasthttp.StatusInternalServerError)
		return
	}
	ctx.SetContentType("application/json")
	ctx.SetBody(body)
}

// lookup returns the addresses of the instances for a caller, from the nearest
// group that has any: its zone, its region, the regions that all routes of the
// host allow, any zone.
func (g *Gateway) lookup(host, region, zone string) []string {
	instances := g.readyInstances()
	var homeRegions []string
	if doc := g.document.Load(); doc != nil {
		homeRegions = doc.HomeRegions(strings.ToLower(host))
	}
	groups := []func(presence.Heartbeat) bool{
		func(b presence.Heartbeat) bool { return b.Zone == zone },
		func(b presence.Heartbeat) bool { return g.node.Zones[b.Zone] == region },
		func(b presence.Heartbeat) bool { return slices.Contains(homeRegions, g.node.Zones[b.Zone]) },
		func(presence.Heartbeat) bool { return true },
	}
	for i, inGroup := range groups {
		var addresses []string
		for _, b := range advertisedInstances(instances, inGroup) {
			addresses = append(addresses, b.RequestAddr)
		}
		if len(addresses) >= minZoneInstances || i > 0 && len(addresses) > 0 {
			return addresses[:min(len(addresses), maxLookupAddresses)]
		}
	}
	return nil
}

// advertisedInstances returns the advertised instances in a group of zones.
func advertisedInstances(instances []presence.Heartbeat, inGroup func(presence.Heartbeat) bool) []presence.Heartbeat {
	zones := map[string][]presence.Heartbeat{}
	for _, b := range instances {
		if inGroup(b) {
			zones[b.Zone] = append(zones[b.Zone], b)
		}
	}
	var advertised []presence.Heartbeat
	for _, zone := range slices.Sorted(maps.Keys(zones)) {
		advertised = append(advertised, presence.Advertised(zones[zone])...)
	}
	return advertised
}

// isAdvertised reports whether lookups return this instance to callers in its
// zone.
func (g *Gateway) isAdvertised() bool {
	advertised := advertisedInstances(g.readyInstances(), func(b presence.Heartbeat) bool { return b.Zone == g.node.Zone })
	return slices.ContainsFunc(advertised, func(b presence.Heartbeat) bool { return b.Name == g.node.Name })
}

// readyInstances returns the instances that serve requests, including this one.
func (g *Gateway) readyInstances() []presence.Heartbeat {
	var ready []presence.Heartbeat
	for _, b := range g.peers.live(time.Now()) {
		if b.Ready {
			ready = append(ready, b)
		}
	}
	if g.ready() {
		ready = append(ready, g.self())
	}
	return ready
}

// self returns the newest heartbeat of this instance.
func (g *Gateway) self() presence.Heartbeat {
	g.peers.mu.Lock()
	defer g.peers.mu.Unlock()
	return g.peers.table.Self()
}
