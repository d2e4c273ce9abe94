package presence

import (
	"cmp"
	"slices"
)

// Concentration answers a zone with many instances, some of them far stronger
// than others. Each instance decides by what it has seen itself, so few of them
// with many requests each place work better than many with few: they know the
// loads of targets and where objects are at hand, and keep their connections.
// Weak instances also delay requests on their narrow links. The others stand
// by: callers are sent to them as soon as strong ones are missing.
const (
	// fewestNamed leaves a caller another instance when one fails.
	fewestNamed = 2
	// namedCPU and namedLink are the least parts of a zone's processors and
	// links that the named instances must have, so that none gets more than two
	// and a half times the requests that it would get if all were named.
	namedCPU  = 0.4
	namedLink = 0.5
	// likeStrength is the part of the strongest instance's processor and link
	// from which another one counts as like it. Callers choose among the named
	// ones by chance, so unlike ones must not be named together.
	likeStrength = 0.5
)

// Named returns the instances of a zone to which callers are to be sent: the
// fewest like ones that can take the zone's load, or all.
func Named(zone []Beat) []Beat {
	ordered := slices.Clone(zone)
	slices.SortFunc(ordered, func(a, b Beat) int {
		return cmp.Or(cmp.Compare(b.CPU, a.CPU), cmp.Compare(b.Link, a.Link), cmp.Compare(a.Name, b.Name))
	})
	var cpu, link int
	for _, b := range ordered {
		cpu += b.CPU
		link += b.Link
	}
	var namedOfCPU, namedOfLink int
	for i, b := range ordered {
		if !b.like(ordered[0]) {
			return ordered
		}
		namedOfCPU += b.CPU
		namedOfLink += b.Link
		if i+1 >= fewestNamed && float64(namedOfCPU) >= namedCPU*float64(cpu) && float64(namedOfLink) >= namedLink*float64(link) {
			return ordered[:i+1]
		}
	}
	return ordered
}

// like tells whether b is about as strong as the strongest instance.
func (b Beat) like(strongest Beat) bool {
	return float64(b.CPU) >= likeStrength*float64(strongest.CPU) && float64(b.Link) >= likeStrength*float64(strongest.Link)
}

// ColdSenders returns the names of the other known instances, live or not, that
// callers are sent to if all live, and whether this one is among them. Only
// they meet enough requests to be chosen as senders to a cold target.
func (t *Table) ColdSenders() (names []string, self bool) {
	zones := map[string][]Beat{t.self.Zone: {t.self}}
	for _, r := range t.rows {
		zones[r.Zone] = append(zones[r.Zone], r.Beat)
	}
	for _, zone := range zones {
		for _, b := range Named(zone) {
			if b.Name == t.self.Name {
				self = true
			} else {
				names = append(names, b.Name)
			}
		}
	}
	return names, self
}
