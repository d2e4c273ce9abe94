// Package route chooses upstream targets in the instance's own availability
// zone, based on the instance's own measurements.
//
// A Table is deterministic: it reads no clock, and its random choices follow
// the seed. It is not safe for concurrent use; the traffic engine owns it.
package route
