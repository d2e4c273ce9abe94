package account

import (
	"cmp"
	"slices"
	"time"
)

// Usage is what this instance knows of one account's use of its cap.
type Usage struct {
	Account string
	// Rate is the cap in requests per second, Fraction this instance's part of
	// it, Demand the requests per second that reach this instance.
	Rate, Fraction, Demand float64
	// Owner is the instance that lends the account's tokens, empty if there is
	// none. Fallback is set if this instance uses its part instead.
	Owner    string
	Fallback bool
	// Taken and Refused count the requests since the account was known.
	Taken, Refused uint64
}

// Usages returns the accounts with the largest demand here, at most limit.
func (c *Caps) Usages(now time.Time, limit int) []Usage {
	var usages []Usage
	for _, s := range c.states {
		usages = append(usages, s.usage(now))
	}
	slices.SortFunc(usages, func(a, b Usage) int {
		return cmp.Or(cmp.Compare(b.Demand, a.Demand), cmp.Compare(a.Account, b.Account))
	})
	return usages[:min(len(usages), limit)]
}

// CapChange reports that requests of an account began or ceased to be refused
// since they exceeded its cap.
type CapChange struct {
	Usage
	Capped bool
	// Duration and Refusals are how long and how many, once it has ended.
	Duration time.Duration
	Refusals uint64
}

func (c *Caps) recordRefusal(now time.Time, s *capState) {
	s.refusedAt = now
	if s.cappedAt.IsZero() {
		s.cappedAt, s.refusedBefore = now, s.refused-1
		c.changes = append(c.changes, CapChange{Usage: s.usage(now), Capped: true})
	}
}

func (s *capState) usage(now time.Time) Usage {
	return Usage{
		Account: s.account.Name, Rate: s.account.Rate, Fraction: s.fraction, Demand: s.demand.Current(now),
		Taken: s.taken, Refused: s.refused, Owner: s.loan.owner, Fallback: s.loan.usesShare,
	}
}

// TakeChanges returns the changes since the last call. An account ceases to be
// capped when it was not refused for cappedHold.
func (c *Caps) TakeChanges(now time.Time) []CapChange {
	for _, s := range c.states {
		if s.cappedAt.IsZero() || now.Sub(s.refusedAt) < cappedHold {
			continue
		}
		c.changes = append(c.changes, CapChange{
			Usage: s.usage(now), Duration: s.refusedAt.Sub(s.cappedAt), Refusals: s.refused - s.refusedBefore,
		})
		s.cappedAt = time.Time{}
	}
	changes := c.changes
	c.changes = nil
	return changes
}
