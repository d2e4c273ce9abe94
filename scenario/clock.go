package scenario

import (
	"time"

	"pistachioford.example/core/virtual"
)

// epoch is the start time of every run. It is fixed so that logs and keys are
// the same in every run.
var epoch = time.UnixMilli(1_800_000_000_000)

// clock is the virtual clock of a run.
type clock struct{ virtual.Clock }

// since returns the virtual time elapsed since the start of the run.
func (c *clock) since() time.Duration { return c.Now.Sub(epoch) }
