package gateway

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against an upload that is broken off while its target acknowledges probes
// of its closed window, and against one that waits for a target that is gone.
func TestSilence(t *testing.T) {
	start := time.Unix(1000, 0)
	at := func(s float64) time.Time { return start.Add(time.Duration(s * float64(time.Second))) }
	for name, test := range map[string]struct {
		// state returns what the system knows after s seconds.
		state func(s float64) ackState
		// brokenAt is when the connection breaks, 0 for never.
		brokenAt float64
	}{
		"reads at once": {func(s float64) ackState { return ackState{lastAck: at(s)} }, 0},
		"steady acknowledgements of data in flight": {func(s float64) ackState { return ackState{true, 1000, at(s - 0.1)} }, 0},
		"steady progress, times are not known":      {func(s float64) ackState { return ackState{true, 10_000 - int(1000*s), time.Time{}} }, 0},
		"no progress, times are not known":          {func(s float64) ackState { return ackState{true, 1000 - int(500*min(s, 1)), time.Time{}} }, 2.5},
		"closed window, probes are acknowledged":    {func(float64) ackState { return ackState{left: 1000, lastAck: at(0)} }, 0},
		"closed window, a probe is on its way": {func(s float64) ackState {
			// Probes after 0.4, 0.8, 1.6, 3.2 and 6.4 s, each acknowledged 0.3 s later.
			for _, sent := range []float64{0.4, 0.8, 1.6, 3.2, 6.4} {
				if s >= sent && s < sent+0.3 {
					return ackState{true, 1000, at(sent / 2)}
				}
			}
			return ackState{left: 1000, lastAck: at(s)}
		}, 0},
		"data in flight, gone after 1 s":  {func(s float64) ackState { return ackState{true, 1000, at(min(s, 1))} }, 2.5},
		"closed window, gone after 1.7 s": {func(s float64) ackState { return ackState{s >= 3.2, 1000, at(1.6)} }, 4.75},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var s silence
			broken := 0.0
			for tick := 0; tick < 40 && broken == 0; tick++ {
				after := float64(tick) * silenceCheckInterval.Seconds()
				if s.observe(at(after), test.state(after)) {
					broken = after
				}
			}
			is.Equal(broken, test.brokenAt)
		})
	}
}
