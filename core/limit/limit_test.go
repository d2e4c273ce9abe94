package limit

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"pistachioford.example/core/document"
)

var start = time.Unix(1_700_000_000, 0)

// Guards against a second in which more requests move than the current rate,
// against a start at the full cap while caches are cold, and against a cap
// that cannot be used.
func TestShiftStaysWithinCap(t *testing.T) {
	cases := map[string]struct{ startRate, maxRate, minInLastSecond float64 }{
		"many":         {20, 200, 175},
		"few":          {2, 8, 5},
		"less than 1":  {0.2, 0.5, 0},
		"start higher": {50, 10, 8},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var s Shift
			s.Set(c.startRate, c.maxRate, 10*time.Second)
			var taken []time.Time
			for now := start; now.Before(start.Add(20 * time.Second)); now = now.Add(time.Millisecond) {
				if !s.Take(now) {
					continue
				}
				taken = append(taken, now)
				bound := max(1, s.Rate(now))
				is.True(float64(countAfter(taken, now.Add(-time.Second))) <= bound) // more than the rate in a second
			}
			last := countAfter(taken, start.Add(19*time.Second))
			is.True(float64(last) >= c.minInLastSecond)
			is.True(float64(countAfter(taken, start)-countAfter(taken, start.Add(time.Second))) <= max(1, (c.startRate+c.maxRate)/2)+1)
		})
	}
}

func countAfter(times []time.Time, since time.Time) int {
	n := 0
	for _, t := range times {
		if t.After(since) {
			n++
		}
	}
	return n
}

// Guards against a full rate without a ramp after a pause in which caches have
// cooled.
func TestShiftRampRestartsAfterPause(t *testing.T) {
	is := is.New(t)
	var s Shift
	s.Set(10, 100, time.Minute)
	for i := range 70 {
		s.Take(start.Add(time.Duration(i) * time.Second))
	}
	is.Equal(s.Rate(start.Add(70*time.Second)), 100.0)
	resumed := start.Add(140 * time.Second)
	s.Take(resumed)
	is.Equal(s.Rate(resumed), 10.0)
}

// Guards against a second that exceeds the budget, against an upload that can
// never start, and against a flood or an upload that stops urgent requests.
func TestLinkBudget(t *testing.T) {
	const rate = 1_000_000
	is := is.New(t)
	var l Link
	is.True(!l.Charge(start, 1, document.Urgent)) // no budget
	l.Set(start, rate)
	now, sent := start, int64(0)
	for ; now.Before(start.Add(5 * time.Second)); now = now.Add(time.Millisecond) {
		for l.Charge(now, 1000, document.Background) {
			sent += 1000
		}
	}
	is.True(sent <= 5*rate)
	is.True(sent >= 5*rate*85/100)
	is.True(l.Charge(now, 1000, document.Urgent)) // the flood leaves a reserve
	is.True(!l.Charge(now, 10*rate, document.Normal))
	now = now.Add(time.Second)
	is.True(l.Charge(now, 10*rate, document.Background)) // larger than the burst
	is.True(!l.Charge(now, 10*rate, document.Background))
	is.True(l.Charge(now, 1000, document.Urgent))
	is.True(!l.Ready(now.Add(13*time.Second), 10*rate, document.Urgent)) // 10 s at 63%
	is.True(l.Ready(now.Add(17*time.Second), 10*rate, document.Urgent))
}

// Guards against more retries than the ratios to first attempts allow.
func TestRetryBudget(t *testing.T) {
	cases := map[string]struct {
		class RetryClass
		max   int
	}{"costly": {Costly, 101}, "cheap": {Cheap, 310}}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			b, retries := NewRetryBudget(), 0
			for range 1000 {
				b.RecordFirstAttempt()
				for b.Take(c.class) {
					retries++
				}
			}
			is.True(retries <= c.max)
			is.True(retries >= c.max-2)
		})
	}
}

// Guards against a priority that gets less than its guaranteed share under a
// flood of any other, and against a share that no other priority can use while
// it is unused.
func TestGuaranteedShares(t *testing.T) {
	const slots = 10
	cases := map[string]struct {
		waiting Waiting
		min     [document.NumPriorities]float64
	}{
		"all flood":          {Waiting{true, true, true}, [document.NumPriorities]float64{0.5, 0.285, 0.095}},
		"urgent alone":       {Waiting{true, false, false}, [document.NumPriorities]float64{1, 0, 0}},
		"background alone":   {Waiting{false, false, true}, [document.NumPriorities]float64{0, 0, 1}},
		"urgent, background": {Waiting{true, false, true}, [document.NumPriorities]float64{0.85, 0, 0.095}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var s Scheduler
			s.Set([document.NumPriorities]float64{0.5, 0.3, 0.1})
			var busy [slots]document.Priority
			var done [document.NumPriorities]float64
			now := start
			for i := range 20_000 {
				slot := i % slots
				if i >= slots {
					s.End(now, busy[slot])
					done[busy[slot]]++
				}
				busy[slot], _ = s.Next(now, slots, c.waiting)
				s.Start(now, busy[slot])
				now = now.Add(5 * time.Millisecond)
			}
			for p, minShare := range c.min {
				is.True(done[p]/20_000 >= minShare-0.001) // less than its share
			}
		})
	}
}
