package steer

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against requests that are begun late in a planned stop and cut off at
// its end.
func TestDrainTakesOnlyWhatItCanFinish(t *testing.T) {
	is := is.New(t)
	at := func(seconds float64) time.Time { return start.Add(time.Duration(seconds * float64(time.Second))) }
	p := &DrainPlan{RedirectedAt: at(2.5), EndsAt: at(5.5)}
	is.True(p.Accepts(at(0.1), at(8)))
	is.True(p.Accepts(at(2.4), at(9)))
	is.True(!p.Accepts(at(2.5), at(5.6)))
	is.True(p.Accepts(at(2.5), at(5.5)))
	is.True(p.Accepts(at(5), at(5.4)))
	is.True(!p.Accepts(at(5), at(6)))
}
