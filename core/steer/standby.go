package steer

import (
	"cmp"
	"slices"
	"time"
)

// Standby connections are opened to targets in other regions before a request
// needs them, if some of the own region's objects have their homes there. With
// many instances and targets most pairs have no open connection, and opening one
// takes a round trip before the request itself is sent, which can be a quarter
// of the route's latency objective.
const (
	// minStandbyRTT is the round-trip time from which connections are kept
	// ready. Shorter ones are small compared with the latency objectives of
	// routes, which begin at 100 ms.
	minStandbyRTT = 15 * time.Millisecond
	// minStandbyFraction is the fraction of a service's objects with homes in
	// other regions from which connections to these regions are kept ready.
	minStandbyFraction = 0.05
	// maxStandbyTargets bounds the connections kept ready: each costs a file
	// descriptor here and at the target, and is reopened every few seconds.
	maxStandbyTargets = 256
)

// Endpoint is where a target accepts connections.
type Endpoint struct {
	Target  TargetID
	Address string
	Zone    string
}

// StandbyEndpoints returns the endpoints to which a connection should be open
// before a request needs it.
func (e *Engine) StandbyEndpoints(now time.Time) []Endpoint {
	var wanted []*target
	for service, targets := range e.byService {
		own, others := e.regionLoads(now, targets)
		if e.spillOf(service).fraction(own.slots, others.slots) < minStandbyFraction {
			continue
		}
		for _, t := range targets {
			if t.region != e.self.Region && e.rtt(t) >= minStandbyRTT && e.inService(now, t) && t.health.ejections == 0 {
				wanted = append(wanted, t)
			}
		}
	}
	// A round trip matters most where the latency objective is shortest. Among
	// the targets of a service the order differs between instances, so that
	// those that cannot hold all connections leave out different targets.
	objectives := e.shortestObjectives()
	slices.SortFunc(wanted, func(a, b *target) int {
		return cmp.Or(cmp.Compare(objectives[a.Service], objectives[b.Service]),
			cmp.Compare(rendezvousRank(e.self.Name, a.hash), rendezvousRank(e.self.Name, b.hash)))
	})
	endpoints := make([]Endpoint, 0, min(len(wanted), maxStandbyTargets))
	for _, t := range wanted[:min(len(wanted), maxStandbyTargets)] {
		endpoints = append(endpoints, Endpoint{Target: t.ID, Address: t.Address, Zone: t.Zone})
	}
	return endpoints
}

// shortestObjectives returns, for each service, the shortest latency objective
// of the routes that send it at least half of their requests.
func (e *Engine) shortestObjectives() map[string]time.Duration {
	shortest := map[string]time.Duration{}
	if e.document == nil {
		return shortest
	}
	for i := range e.document.Routes {
		route := &e.document.Routes[i]
		objective := route.LatencyObjective
		if objective <= 0 {
			objective = route.Timeout
		}
		total := 0
		for _, share := range route.Shares {
			total += share.Weight
		}
		for _, share := range route.Shares {
			if 2*share.Weight < total {
				continue
			}
			if known, found := shortest[share.Service]; !found || objective < known {
				shortest[share.Service] = objective
			}
		}
	}
	return shortest
}
