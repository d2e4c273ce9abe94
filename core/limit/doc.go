// Package limit enforces an instance's own part of each shared limit: token
// buckets, the byte budget of a link between regions, the cap on shifted
// requests with its ramp, the retry budget, and the scheduler of priorities
// with guaranteed shares.
//
// The types read no clock and are not safe for concurrent use. The traffic
// engine owns them.
package limit
