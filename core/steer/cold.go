package steer

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// A cold target crashes if the requests of all instances together exceed
// Service.ColdRate. The instances cannot count these requests together in time.
// Instead, rendezvous hashing selects a few of all known instances as the
// senders of a cold target, and each sender may use a fixed fraction of the
// rate. Dead and unreachable instances stay candidates: otherwise instances that
// are cut off from each other would all select themselves.
const (
	// sendersPerColdTarget is the number of instances that send to one cold
	// target.
	sendersPerColdTarget = 3
	// coldRateFraction is the fraction of Service.ColdRate that all senders use
	// together.
	coldRateFraction = 0.6
	// coldBurst is the number of requests that a sender may send at once.
	coldBurst = 1
)

// coldBucket is a sender's token bucket for one cold target.
type coldBucket struct {
	tokens     float64
	refilledAt time.Time
}

func (c *coldBucket) refill(now time.Time, rate float64) {
	if c.refilledAt.IsZero() {
		c.tokens = coldBurst
	} else {
		c.tokens = min(coldBurst, c.tokens+rate*now.Sub(c.refilledAt).Seconds())
	}
	c.refilledAt = now
}

func (c *coldBucket) ready(now time.Time, rate float64) bool {
	c.refill(now, rate)
	return c.tokens >= 1
}

func (c *coldBucket) take() { c.tokens-- }

// sendsToColdTarget reports whether this instance is one of the senders of a
// cold target.
func (e *Engine) sendsToColdTarget(t *target) bool {
	if !e.instancesKnown || !e.isSender {
		return false
	}
	own := rendezvousRank(e.self.Name, t.hash)
	ahead := 0
	for _, candidate := range e.senderCandidates {
		if candidate != e.self.Name && rendezvousRank(candidate, t.hash) < own {
			ahead++
		}
	}
	return ahead < sendersPerColdTarget
}

// rendezvousRank returns the rendezvous hash of an instance and a target. Lower
// hashes rank first.
func rendezvousRank(instance string, target uint64) uint64 {
	return mix(xxhash.Sum64String(instance), target)
}

// mix combines two hashes.
func mix(a, b uint64) uint64 {
	x := a ^ (b*0x9e3779b97f4a7c15 + 0x7f4a7c15)
	x ^= x >> 32
	x *= 0xd6e8feb86659fd93
	x ^= x >> 32
	x *= 0xd6e8feb86659fd93
	x ^= x >> 32
	return x
}
