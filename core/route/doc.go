// Package route chooses upstream targets in the instance's own availability
// zone, based on the instance's own measurements.
//
// Each choice compares two random candidates: targets with a free slot that this
// instance owns. It takes the one with the lower score, which rises with the
// latency, the exchanges in flight, failures and sheds; the reported load decides
// between scores that are about equal. Tick ejects targets whose failure rate or
// latency is far above that of the group, as long as half of the targets stay
// usable. Targets that are new, return to service or accept connections again
// get a rate that rises from a tenth to the full rate (slow start).
//
// A Table is deterministic: it reads no clock, and its random choices follow
// the seed. It is not safe for concurrent use; the traffic engine owns it.
package route
