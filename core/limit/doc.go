// Package limit holds the limits that an instance enforces on its own parts:
// token buckets, the budget of a link, the cap of a shift with its ramp, the
// retry budget, and the scheduler of priorities with guaranteed shares.
//
// Nothing here reads a clock or is safe for concurrent use; the traffic engine
// owns it.
package limit
