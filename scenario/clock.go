package scenario

import (
	"time"

	"pistachioford.example/core/virtual"
)

// epoch is the start of every run; a fixed time keeps logs and keys the same.
var epoch = time.UnixMilli(1_800_000_000_000)

// clock is the time of a run.
type clock struct{ virtual.Clock }

// since returns the time since the start of the run.
func (c *clock) since() time.Duration { return c.Now.Sub(epoch) }
