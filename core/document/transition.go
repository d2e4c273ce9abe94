package document

import (
	"fmt"
	"strings"
)

// TransitionError lists why a document cannot replace an active one.
type TransitionError struct{ Reasons []string }

// Error returns one line per reason.
func (e *TransitionError) Error() string { return strings.Join(e.Reasons, "\n") }

func (e *TransitionError) addf(format string, args ...any) {
	e.Reasons = append(e.Reasons, fmt.Sprintf(format, args...))
}

// CheckTransition reports whether next can replace c while instances still act
// on c. A change of the partition of slots is refused, since the owners of the
// old and of the new partition would both use one slot.
func (c *Compiled) CheckTransition(next *Compiled) error {
	e := &TransitionError{}
	c.checkZones(next, e)
	c.checkTargets(next, e)
	if len(e.Reasons) > 0 {
		return e
	}
	return nil
}

// checkZones compares the sets of zones, which are ordered by name.
func (c *Compiled) checkZones(next *Compiled, e *TransitionError) {
	after := make(map[string]*Zone, len(next.Zones))
	for i := range next.Zones {
		after[next.Zones[i].Name] = &next.Zones[i]
	}
	for i := range c.Zones {
		old := &c.Zones[i]
		new, ok := after[old.Name]
		delete(after, old.Name)
		switch {
		case !ok:
			e.addf("zone %q is removed; the set of zones cannot change while the document is active", old.Name)
		case new.Shards != old.Shards:
			e.addf("zone %q changes from %d to %d shards; shards cannot change while the document is active", old.Name, old.Shards, new.Shards)
		case next.Regions[new.Region].Name != c.Regions[old.Region].Name:
			e.addf("zone %q moves from region %q to %q; this changes the parts of link budgets and shift caps", old.Name, c.Regions[old.Region].Name, next.Regions[new.Region].Name)
		}
	}
	for i := range next.Zones {
		if _, added := after[next.Zones[i].Name]; added {
			e.addf("zone %q is added; the set of zones cannot change while the document is active", next.Zones[i].Name)
		}
	}
}

// checkTargets refuses an upstream that keeps its address under another name or
// in another zone, since both decide which shard owns its slots.
func (c *Compiled) checkTargets(next *Compiled, e *TransitionError) {
	before := make(map[string]*Target, len(c.Targets))
	for i := range c.Targets {
		before[c.Targets[i].Address] = &c.Targets[i]
	}
	for i := range next.Targets {
		new := &next.Targets[i]
		old, ok := before[new.Address]
		if !ok {
			continue
		}
		oldZone, newZone := c.Zones[old.Zone].Name, next.Zones[new.Zone].Name
		if old.Name != new.Name || oldZone != newZone {
			e.addf("target %q at %s becomes target %q in zone %q; remove it first, and add it by a later revision", old.Name, old.Address, new.Name, newZone)
		}
	}
}
