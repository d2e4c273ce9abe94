package steer

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// A cold target crashes above a rate that holds for all instances together.
// Instances do not agree on a count in time, so only a few of them, chosen by
// hash among all that are known, may send to it, each at a fixed part of the
// rate. Dead and unreachable instances stay among the known ones: those that
// are cut off from each other would otherwise all count themselves in.
const (
	// coldSenders is the number of instances that send to one cold target.
	coldSenders = 3
	// coldPart is the part of the stated rate that all senders use together.
	coldPart = 0.6
	// coldBurst is the number of requests that a sender may send at once.
	coldBurst = 1
)

// coldRate is a sender's token bucket for one cold target.
type coldRate struct {
	tokens float64
	at     time.Time
}

func (c *coldRate) refill(now time.Time, rate float64) {
	if c.at.IsZero() {
		c.tokens = coldBurst
	} else {
		c.tokens = min(coldBurst, c.tokens+rate*now.Sub(c.at).Seconds())
	}
	c.at = now
}

func (c *coldRate) ready(now time.Time, rate float64) bool {
	c.refill(now, rate)
	return c.tokens >= 1
}

func (c *coldRate) take() { c.tokens-- }

// sendsToCold tells whether this instance is one of the senders of a target.
func (e *Engine) sendsToCold(t *target) bool {
	if !e.membersKnown || !e.sender {
		return false
	}
	own := coldRank(e.self.Name, t.hash)
	ahead := 0
	for _, member := range e.members {
		if member != e.self.Name && coldRank(member, t.hash) < own {
			ahead++
		}
	}
	return ahead < coldSenders
}

func coldRank(instance string, target uint64) uint64 {
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
