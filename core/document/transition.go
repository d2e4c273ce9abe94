package document

import (
	"fmt"
	"strings"
)

// TransitionError lists the reasons why a document cannot replace the active
// one.
type TransitionError struct{ Reasons []string }

// Error returns one line per reason.
func (e *TransitionError) Error() string { return strings.Join(e.Reasons, "\n") }

func (e *TransitionError) addf(format string, args ...any) {
	e.Reasons = append(e.Reasons, fmt.Sprintf(format, args...))
}

// CheckTransition returns a *TransitionError if next cannot replace c while
// instances still use c. It refuses a change of the shard that owns a slot or
// of the division of budgets, since the old and the new owner would then both
// use one slot or one part of a budget.
func (c *Compiled) CheckTransition(next *Compiled) error {
	e := &TransitionError{}
	c.checkZones(next, e)
	c.checkTargets(next, e)
	if len(e.Reasons) > 0 {
		return e
	}
	return nil
}

// checkZones refuses added and removed zones, and zones whose shards or region
// change.
func (c *Compiled) checkZones(next *Compiled, e *TransitionError) {
	remaining := make(map[string]*Zone, len(next.Zones))
	for i := range next.Zones {
		remaining[next.Zones[i].Name] = &next.Zones[i]
	}
	for i := range c.Zones {
		old := &c.Zones[i]
		new, ok := remaining[old.Name]
		delete(remaining, old.Name)
		switch {
		case !ok:
			e.addf("zone %q is removed; the set of zones cannot change while the document is active", old.Name)
		case new.Shards != old.Shards:
			e.addf("zone %q changes from %d to %d shards; shards cannot change while the document is active", old.Name, old.Shards, new.Shards)
		case next.Regions[new.Region].Name != c.Regions[old.Region].Name:
			e.addf("zone %q moves from region %q to %q; this changes how link budgets and shift caps are divided", old.Name, c.Regions[old.Region].Name, next.Regions[new.Region].Name)
		}
	}
	for i := range next.Zones {
		if _, added := remaining[next.Zones[i].Name]; added {
			e.addf("zone %q is added; the set of zones cannot change while the document is active", next.Zones[i].Name)
		}
	}
}

// checkTargets refuses an upstream that keeps its address but changes its name
// or its zone, since these determine which shard owns its slots.
func (c *Compiled) checkTargets(next *Compiled, e *TransitionError) {
	oldTargets := make(map[string]*Target, len(c.Targets))
	for i := range c.Targets {
		oldTargets[c.Targets[i].Address] = &c.Targets[i]
	}
	for i := range next.Targets {
		new := &next.Targets[i]
		old, ok := oldTargets[new.Address]
		if !ok {
			continue
		}
		oldZone, newZone := c.Zones[old.Zone].Name, next.Zones[new.Zone].Name
		if old.Name != new.Name || oldZone != newZone {
			e.addf("target %q at %s becomes target %q in zone %q; remove it first, and add it in a later revision", old.Name, old.Address, new.Name, newZone)
		}
	}
}
