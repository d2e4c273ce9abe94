// Package idempotency remembers the outcomes of keyed requests for their owner
// shard and recognizes requests that crash upstreams.
//
// Nothing here reads a clock or is safe for concurrent use; the traffic engine
// owns it.
package idempotency
