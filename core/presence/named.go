package presence

import (
	"cmp"
	"slices"
)

// Callers are sent to the named instances of a zone only: the strongest ones,
// as few of them as can take the zone's load. Each instance decides by what it
// has observed itself, so that a few instances with many requests each choose
// better targets than many with few: they know the loads of targets and where
// objects are cached, and keep their connections open. Weak instances also
// delay requests on their narrow links. The other instances are a reserve:
// callers are sent to them as soon as strong ones are missing.
const (
	// minNamed is the least number of named instances, so that callers have
	// another one if one fails.
	minNamed = 2
	// minNamedCPU and minNamedLink are the least parts of a zone's processors
	// and links that the named instances must have, so that none gets more than
	// two and a half times the requests that it would get if all were named.
	minNamedCPU  = 0.4
	minNamedLink = 0.5
	// similarStrength is the part of the strongest instance's processor and
	// link from which another instance counts as similar. Callers choose among
	// the named instances at random, so that a selection must not mix
	// dissimilar ones.
	similarStrength = 0.5
)

// Named returns the instances of a zone that callers are sent to: the strongest
// ones, as few similar ones as can take the zone's load, or all if the similar
// ones cannot.
func Named(zone []Beat) []Beat {
	ordered := slices.Clone(zone)
	slices.SortFunc(ordered, func(a, b Beat) int {
		return cmp.Or(cmp.Compare(b.CPU, a.CPU), cmp.Compare(b.Link, a.Link), cmp.Compare(a.Name, b.Name))
	})
	var totalCPU, totalLink int
	for _, b := range ordered {
		totalCPU += b.CPU
		totalLink += b.Link
	}
	var namedCPU, namedLink int
	for i, b := range ordered {
		if !b.similarTo(ordered[0]) {
			return ordered
		}
		namedCPU += b.CPU
		namedLink += b.Link
		if i+1 >= minNamed && float64(namedCPU) >= minNamedCPU*float64(totalCPU) && float64(namedLink) >= minNamedLink*float64(totalLink) {
			return ordered[:i+1]
		}
	}
	return ordered
}

// similarTo reports whether b is about as strong as the strongest instance.
func (b Beat) similarTo(strongest Beat) bool {
	return float64(b.CPU) >= similarStrength*float64(strongest.CPU) && float64(b.Link) >= similarStrength*float64(strongest.Link)
}

// ColdSenders returns the names of the other known instances, live or not, that
// are named if all are live, and whether this instance is among the named ones.
// Only these get enough requests to be chosen as senders to a cold target.
func (t *Table) ColdSenders() (names []string, selfIncluded bool) {
	zones := map[string][]Beat{t.self.Zone: {t.self}}
	for _, m := range t.members {
		zones[m.Zone] = append(zones[m.Zone], m.Beat)
	}
	for _, zone := range zones {
		for _, b := range Named(zone) {
			if b.Name == t.self.Name {
				selfIncluded = true
			} else {
				names = append(names, b.Name)
			}
		}
	}
	return names, selfIncluded
}
