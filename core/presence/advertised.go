package presence

import (
	"cmp"
	"slices"
)

// Lookups return only the advertised instances of a zone: the strongest ones,
// as few of them as can take the zone's load. Each instance decides by what it
// has observed itself, so that a few instances with many requests each choose
// better targets than many with few: they know the loads of targets and where
// objects are cached, and keep their connections open. Weak instances also
// delay requests on their narrow links. The other instances are a reserve:
// lookups return them as soon as strong ones are missing.
const (
	// minAdvertised is the least number of advertised instances, so that
	// callers have another one if one fails.
	minAdvertised = 2
	// minAdvertisedCPU and minAdvertisedLink are the least fractions of a zone's
	// processors and link bandwidth that the advertised instances must have, so
	// that none gets more than two and a half times the requests that it would
	// get if all were advertised.
	minAdvertisedCPU  = 0.4
	minAdvertisedLink = 0.5
	// minSimilarStrength is the fraction of the strongest instance's processor
	// and link from which another instance is treated as similar. Callers choose
	// among the advertised instances at random, so a selection must not mix
	// dissimilar ones.
	minSimilarStrength = 0.5
)

// Advertised returns the instances of a zone that lookups return: the strongest
// ones, as few similar ones as can take the zone's load, or all if the similar
// ones cannot.
func Advertised(zone []Heartbeat) []Heartbeat {
	ordered := slices.Clone(zone)
	slices.SortFunc(ordered, func(a, b Heartbeat) int {
		return cmp.Or(cmp.Compare(b.MilliCPU, a.MilliCPU), cmp.Compare(b.LinkMbps, a.LinkMbps), cmp.Compare(a.Name, b.Name))
	})
	var totalCPU, totalLink int
	for _, b := range ordered {
		totalCPU += b.MilliCPU
		totalLink += b.LinkMbps
	}
	var advertisedCPU, advertisedLink int
	for i, b := range ordered {
		if !b.similarTo(ordered[0]) {
			return ordered
		}
		advertisedCPU += b.MilliCPU
		advertisedLink += b.LinkMbps
		if i+1 >= minAdvertised && float64(advertisedCPU) >= minAdvertisedCPU*float64(totalCPU) && float64(advertisedLink) >= minAdvertisedLink*float64(totalLink) {
			return ordered[:i+1]
		}
	}
	return ordered
}

// similarTo reports whether b is about as strong as the strongest instance.
func (b Heartbeat) similarTo(strongest Heartbeat) bool {
	return float64(b.MilliCPU) >= minSimilarStrength*float64(strongest.MilliCPU) && float64(b.LinkMbps) >= minSimilarStrength*float64(strongest.LinkMbps)
}

// ColdSenders returns the names of the other known instances, live or not, that
// would be advertised if all were live, and whether this instance is among the
// advertised ones. Only these get enough requests to be chosen as senders to a
// cold target.
func (t *Table) ColdSenders() (names []string, selfIncluded bool) {
	zones := map[string][]Heartbeat{t.self.Zone: {t.self}}
	for _, m := range t.members {
		zones[m.Zone] = append(zones[m.Zone], m.Heartbeat)
	}
	for _, zone := range zones {
		for _, b := range Advertised(zone) {
			if b.Name == t.self.Name {
				selfIncluded = true
			} else {
				names = append(names, b.Name)
			}
		}
	}
	return names, selfIncluded
}
