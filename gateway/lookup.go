package gateway

import (
	"maps"
	"net"
	"slices"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"pistachioford.example/core/presence"
	"pistachioford.example/pistachioford/platform"
	"pistachioford.example/pistachioford/telemetry"
)

const (
	// lookupTTL is how long callers may keep an answer: short, since a dead
	// instance stays with them for this time, and few are named.
	lookupTTL = time.Second
	// lookupMost is the number of addresses that callers take.
	lookupMost = 64
	// zoneEnough is the number of instances in the caller's own zone from
	// which no others are named: bytes between zones are priced.
	zoneEnough = 1
)

// serveSmall serves the ports for readiness, lookups and counters.
func (g *Gateway) serveSmall(listener net.Listener, handler fasthttp.RequestHandler) {
	if listener == nil {
		return
	}
	server := &fasthttp.Server{
		Handler: handler, NoDefaultServerHeader: true, Logger: quietLogger{},
		ReadTimeout: firstIdle, IdleTimeout: firstIdle,
	}
	g.background("serve", func() {
		if err := server.Serve(listener); err != nil && g.ctx.Err() == nil {
			telemetry.Failure("serve", err, telemetry.F("address", listener.Addr()))
		}
	})
}

// quietLogger drops the server's own lines, which can quote requests.
type quietLogger struct{}

func (quietLogger) Printf(string, ...any) {}

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
	answer, err := platform.EncodeLookup(addresses, min(lookupTTL, g.node.Bounds.LookupTTL))
	if err != nil {
		telemetry.Failure("encode_lookup", err)
		ctx.SetStatusCode(fasthttp.StatusInternalServerError)
		return
	}
	ctx.SetContentType("application/json")
	ctx.SetBody(answer)
}

// lookup names the instances for a caller, from the nearest group that has any.
func (g *Gateway) lookup(host, region, zone string) []string {
	instances := g.serving()
	var homes []string
	if doc := g.document.Load(); doc != nil {
		homes = doc.HomeRegions(strings.ToLower(host))
	}
	groups := []func(presence.Beat) bool{
		func(b presence.Beat) bool { return b.Zone == zone },
		func(b presence.Beat) bool { return g.node.Zones[b.Zone] == region },
		func(b presence.Beat) bool { return slices.Contains(homes, g.node.Zones[b.Zone]) },
		func(presence.Beat) bool { return true },
	}
	for i, in := range groups {
		var addresses []string
		for _, b := range namedIn(instances, in) {
			addresses = append(addresses, b.Requests)
		}
		if len(addresses) >= zoneEnough || i > 0 && len(addresses) > 0 {
			return addresses[:min(len(addresses), lookupMost)]
		}
	}
	return nil
}

// namedIn returns the instances of a group of zones to which callers are sent.
func namedIn(instances []presence.Beat, in func(presence.Beat) bool) []presence.Beat {
	zones := map[string][]presence.Beat{}
	for _, b := range instances {
		if in(b) {
			zones[b.Zone] = append(zones[b.Zone], b)
		}
	}
	var named []presence.Beat
	for _, zone := range slices.Sorted(maps.Keys(zones)) {
		named = append(named, presence.Named(zones[zone])...)
	}
	return named
}

// named tells whether callers of the own zone are sent to this instance.
func (g *Gateway) named() bool {
	named := namedIn(g.serving(), func(b presence.Beat) bool { return b.Zone == g.node.Zone })
	return slices.ContainsFunc(named, func(b presence.Beat) bool { return b.Name == g.node.Name })
}

// serving returns the instances that serve requests, this one included.
func (g *Gateway) serving() []presence.Beat {
	var serving []presence.Beat
	for _, b := range g.peers.live(time.Now()) {
		if b.Ready {
			serving = append(serving, b)
		}
	}
	if g.ready() {
		serving = append(serving, g.self())
	}
	return serving
}

// self returns the own newest heartbeat.
func (g *Gateway) self() presence.Beat {
	g.peers.mu.Lock()
	defer g.peers.mu.Unlock()
	return g.peers.table.Self()
}
