package steer

import (
	"cmp"
	"slices"
	"time"
)

// Standby answers a region that sends a part of its objects far away: a fleet
// of many instances and targets leaves most pairs without an open connection,
// and opening one costs a trip before the request itself travels, which can be
// a quarter of its aim.
const (
	// standbyTrip is the trip from which connections are kept ready. Shorter
	// ones are small beside the aims of routes, which begin at 100 ms.
	standbyTrip = 15 * time.Millisecond
	// standbyPart is the part of a service's objects with homes in other
	// regions from which connections to these regions are kept ready.
	standbyPart = 0.05
	// standbyMost bounds the connections kept ready: each costs a descriptor
	// here and at the target, and is opened again every few seconds.
	standbyMost = 256
)

// Endpoint is where a target accepts connections.
type Endpoint struct {
	Target  TargetID
	Address string
	Zone    string
}

// Standby returns the targets to which a connection is to be open before a
// request needs it.
func (e *Engine) Standby(now time.Time) []Endpoint {
	var wanted []*target
	for service, targets := range e.byService {
		own, others := e.regionLoads(now, targets)
		if e.spillOf(service).part(own.slots, others.slots) < standbyPart {
			continue
		}
		for _, t := range targets {
			if t.region != e.self.Region && e.distance(t) >= standbyTrip && e.listed(now, t) && t.failing.ejections == 0 {
				wanted = append(wanted, t)
			}
		}
	}
	// Instances that cannot hold all of them leave out different ones.
	slices.SortFunc(wanted, func(a, b *target) int {
		return cmp.Compare(coldRank(e.self.Name, a.hash), coldRank(e.self.Name, b.hash))
	})
	endpoints := make([]Endpoint, 0, min(len(wanted), standbyMost))
	for _, t := range wanted[:min(len(wanted), standbyMost)] {
		endpoints = append(endpoints, Endpoint{Target: t.ID, Address: t.Address, Zone: t.Zone})
	}
	return endpoints
}
