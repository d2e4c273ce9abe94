// Package idempotency records the outcomes of keyed requests at the owner shard
// of the key and detects requests that crash upstreams.
//
// The types read no clock and are not safe for concurrent use. The traffic
// engine owns them.
package idempotency
