package reuse

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestResetLimitsIdleTime guards against requests that are lost one after the
// other on idle connections that the targets have dropped.
func TestResetLimitsIdleTime(t *testing.T) {
	is := is.New(t)
	now := time.Unix(100, 0)
	var r Rule
	is.Equal(r.MostRest(now, false), Unlimited)
	r.Reset(now, 3*time.Second)
	is.Equal(r.MostRest(now, false), initialLimit)
	is.Equal(r.MostRest(now, true), Unlimited) // one may be a broken target
	r.Reset(now, 2*time.Second)
	is.Equal(r.MostRest(now, true), initialLimit)
	is.Equal(r.MostRest(now, false), initialLimit)
	now = now.Add(limitTTL - 1)
	is.Equal(r.MostRest(now, false), initialLimit)
	is.Equal(r.MostRest(now.Add(1), false), Unlimited)
}

// TestLimitShrinksUntilResetsStop guards against a limit that stays above the
// time for which idle connections are kept.
func TestLimitShrinksUntilResetsStop(t *testing.T) {
	is := is.New(t)
	for _, keepAlive := range []time.Duration{300, 170, 90, 40, 12} {
		keepAlive *= time.Millisecond
		now := time.Unix(100, 0)
		var r Rule
		resets := 0
		for i := range 400 {
			now = now.Add(time.Duration(10+i%50) * time.Millisecond)
			idle := time.Duration(5+(i*37)%900) * time.Millisecond
			if idle <= r.MostRest(now, false) && idle > keepAlive {
				r.Reset(now, idle)
				resets++
			}
		}
		is.True(resets <= 4)
	}
}
