package reuse

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against requests that are lost one after the other on connections
// that the targets have forgotten.
func TestResetsLimitTheRest(t *testing.T) {
	is := is.New(t)
	now := time.Unix(100, 0)
	var r Rule
	is.Equal(r.MostRest(now, false), Unlimited)
	r.Reset(now, 3*time.Second)
	is.Equal(r.MostRest(now, false), firstLimit)
	is.Equal(r.MostRest(now, true), Unlimited) // one may be a broken target
	r.Reset(now, 2*time.Second)
	is.Equal(r.MostRest(now, true), firstLimit)
	is.Equal(r.MostRest(now, false), firstLimit)
	now = now.Add(cautionTime - 1)
	is.Equal(r.MostRest(now, false), firstLimit)
	is.Equal(r.MostRest(now.Add(1), false), Unlimited)
}

// Guards against a limit above the time for which connections are kept.
func TestLimitFallsUntilResetsEnd(t *testing.T) {
	is := is.New(t)
	for _, kept := range []time.Duration{300, 170, 90, 40, 12} {
		kept *= time.Millisecond
		now := time.Unix(100, 0)
		var r Rule
		resets := 0
		for i := range 400 {
			now = now.Add(time.Duration(10+i%50) * time.Millisecond)
			rested := time.Duration(5+(i*37)%900) * time.Millisecond
			if rested <= r.MostRest(now, false) && rested > kept {
				r.Reset(now, rested)
				resets++
			}
		}
		is.True(resets <= 4)
	}
}
