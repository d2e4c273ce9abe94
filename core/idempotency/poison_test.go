package idempotency

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against a resent request that crashes a third upstream, against a
// block caused by duplicate reports of one crash, and against a block that
// never ends.
func TestSecondCrashBlocksFingerprint(t *testing.T) {
	is := is.New(t)
	d := NewPoisonDetector()
	first := Crash{Fingerprint: 1, Target: 2, At: start}
	second := Crash{Fingerprint: 1, Target: 3, At: start.Add(time.Second), Repeated: true}
	is.True(!d.Crashed(start, first))
	is.True(!d.Crashed(start, first)) // the same crash, reported by a peer
	is.True(!d.Blocked(start, 1))
	is.True(d.Crashed(start, second))
	is.True(d.Blocked(start.Add(BlockDuration-1), 1))
	is.True(!d.Blocked(start.Add(BlockDuration), 1))
	is.True(!d.Blocked(start, 2))
	later := start.Add(BlockDuration + time.Second)
	is.True(!d.Crashed(later, Crash{Fingerprint: 1, Target: 2, At: later}))
}

// Guards against unbounded memory, and against a flood of single crashes that
// evicts a blocked fingerprint.
func TestPoisonTableIsBounded(t *testing.T) {
	is := is.New(t)
	d := NewPoisonDetector()
	d.Crashed(start, Crash{Fingerprint: 0, Target: 1, At: start})
	d.Crashed(start, Crash{Fingerprint: 0, Target: 2, At: start, Repeated: true})
	for i := range uint64(3 * maxSuspects) {
		d.Crashed(start, Crash{Fingerprint: i + 1, At: start})
	}
	is.Equal(len(d.suspects), maxSuspects)
	is.Equal(len(d.fingerprints), maxSuspects)
	is.True(d.Blocked(start, 0))
}

// Guards against a popular read that is blocked because it was in flight on
// several upstreams that crashed together, or on two that crashed at different
// times with a success in between.
func TestPopularReadIsNotPoison(t *testing.T) {
	is := is.New(t)
	d := NewPoisonDetector()
	at := func(s int) time.Time { return start.Add(time.Duration(s) * time.Second) }
	d.Crashed(at(10), Crash{Fingerprint: 1, Target: 1, At: at(10)})
	is.True(!d.Crashed(at(10).Add(maxReportDelay), Crash{Fingerprint: 1, Target: 2, At: at(10)})) // each instance reports a first crash before it knows of the other
	is.True(!d.Crashed(at(11), Crash{Fingerprint: 1, Target: 3, At: at(11), Overlapping: true}))
	d.Succeeded(1)
	is.True(!d.Crashed(at(20), Crash{Fingerprint: 1, Target: 3, At: at(20), Repeated: true})) // an upstream served it
	is.True(d.Crashed(at(20), Crash{Fingerprint: 1, Target: 4, At: at(20), Repeated: true}))
	d.Succeeded(1) // a late response does not lift the block
	is.True(d.Blocked(at(23), 1))
}
