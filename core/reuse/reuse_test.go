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
	var l IdleLimit
	is.Equal(l.MaxIdle(now, false), Unlimited)
	l.RecordReset(now, 3*time.Second)
	is.Equal(l.MaxIdle(now, false), initialLimit)
	is.Equal(l.MaxIdle(now, true), Unlimited) // one may be a broken target
	l.RecordReset(now, 2*time.Second)
	is.Equal(l.MaxIdle(now, true), initialLimit)
	is.Equal(l.MaxIdle(now, false), initialLimit)
	now = now.Add(limitTTL - 1)
	is.Equal(l.MaxIdle(now, false), initialLimit)
	is.Equal(l.MaxIdle(now.Add(1), false), Unlimited)
}

// TestLimitShrinksUntilResetsStop guards against a limit that stays above the
// time for which idle connections are kept.
func TestLimitShrinksUntilResetsStop(t *testing.T) {
	is := is.New(t)
	for _, keepAlive := range []time.Duration{300, 170, 90, 40, 12} {
		keepAlive *= time.Millisecond
		now := time.Unix(100, 0)
		var l IdleLimit
		resets := 0
		for i := range 400 {
			now = now.Add(time.Duration(10+i%50) * time.Millisecond)
			idle := time.Duration(5+(i*37)%900) * time.Millisecond
			if idle <= l.MaxIdle(now, false) && idle > keepAlive {
				l.RecordReset(now, idle)
				resets++
			}
		}
		is.True(resets <= 4)
	}
}
