// Package route chooses upstream targets in the instance's own availability
// zone by what the instance itself measured.
//
// A Table is deterministic: it reads no clock, and its random choices follow
// the seed. It is not safe for concurrent use; the traffic engine owns it.
package route
