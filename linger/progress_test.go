package linger

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against a limit on the whole time, which cuts off a peer that reads
// steadily, and against a peer that holds a connection with single bytes.
func TestStalled(t *testing.T) {
	for name, test := range map[string]struct {
		bytesPerSecond, total int
		want                  time.Duration
	}{
		"reads nothing":          {0, 100 << 10, StallTimeout},
		"reads single bytes":     {1, 100 << 10, StallTimeout},
		"reads too slowly":       {2 << 10, 100 << 10, StallTimeout},
		"reads steadily":         {4 << 10, 1 << 20, 0},
		"reads a small rest":     {2 << 10, 9 << 10, 0},
		"has received it before": {0, 0, 0},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			began := time.Unix(1000, 0)
			var p Progress
			p.StartAt(began)
			for now := began; ; now = now.Add(100 * time.Millisecond) {
				left := max(test.total-int(now.Sub(began).Seconds()*float64(test.bytesPerSecond)), 0)
				if p.Stalled(now, left) {
					is.Equal(now.Sub(began), test.want)
					return
				}
				if left == 0 {
					is.Equal(test.want, time.Duration(0))
					return
				}
			}
		})
	}
}

// Guards against progress that is forgotten or counted twice when the amount grows
// between two responses.
func TestStalledStartsAnewAfterEverythingWasReceived(t *testing.T) {
	is := is.New(t)
	at := func(s float64) time.Time { return time.Unix(1000, 0).Add(time.Duration(s * float64(time.Second))) }
	var p Progress
	is.True(!p.Stalled(at(0), 1000))
	is.True(!p.Stalled(at(4), 0))
	is.True(!p.Stalled(at(8), 1000))
	is.True(!p.Stalled(at(8.9), 1000))
	is.True(p.Stalled(at(9), 1000))
}

// Guards against an end before the peer could read what it has received, and
// against a peer that keeps a connection by sending without end.
func TestEndingStep(t *testing.T) {
	at := func(s float64) time.Time { return time.Unix(1000, 0).Add(time.Duration(s * float64(time.Second))) }
	for name, test := range map[string]struct {
		// left returns the bytes that are left, arrived whether the peer sends.
		left    func(s float64) int
		arrived func(s float64) bool
		want    Outcome
		after   float64
	}{
		"received at once":              {func(float64) int { return 0 }, never, Received, 1},
		"received after 2 s":            {func(s float64) int { return max(2000-int(1000*s), 0) }, never, Received, 3},
		"sends for 2 s":                 {func(float64) int { return 0 }, func(s float64) bool { return s <= 2 }, Received, 3},
		"sends without end":             {func(float64) int { return 0 }, func(float64) bool { return true }, Received, 5},
		"reads nothing":                 {func(float64) int { return 1000 }, never, Stalled, 5},
		"sends, but reads nothing":      {func(float64) int { return 1000 }, func(float64) bool { return true }, Stalled, 5},
		"reads 20 KiB/s of 200 KiB":     {func(s float64) int { return max(200<<10-int(s*(20<<10)), 0) }, never, Received, 11},
		"reads 16 KiB and then nothing": {func(s float64) int { return 1000 + max(16<<10-int(s*(16<<10)), 0) }, never, Stalled, 6},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var e ending
			e.progress.StartAt(at(0))
			for tick := 0; ; tick++ {
				s := float64(tick) / 10
				if test.arrived(s) {
					e.arrivedAt = at(s)
				}
				if outcome := e.step(at(s), test.left(s)); outcome != pending {
					is.Equal(outcome, test.want)
					is.Equal(s, test.after)
					return
				}
			}
		})
	}
}

func never(float64) bool { return false }
