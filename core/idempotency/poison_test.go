package idempotency

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against a resent request that crashes a third upstream, and against a
// block by copies of one report or one that never ends.
func TestPoison(t *testing.T) {
	is := is.New(t)
	p := NewPoison()
	first := Crash{Fingerprint: 1, Target: 2, At: start}
	second := Crash{Fingerprint: 1, Target: 3, At: start.Add(time.Second), Repeated: true}
	is.True(!p.Crashed(start, first))
	is.True(!p.Crashed(start, first)) // the same crash, reported by a peer
	is.True(!p.Blocked(start, 1))
	is.True(p.Crashed(start, second))
	is.True(p.Blocked(start.Add(BlockTime-1), 1))
	is.True(!p.Blocked(start.Add(BlockTime), 1))
	is.True(!p.Blocked(start, 2))
	later := start.Add(BlockTime + time.Second)
	is.True(!p.Crashed(later, Crash{Fingerprint: 1, Target: 2, At: later}))
}

// Guards against unbounded memory and against a flood of single crashes that
// removes a block.
func TestPoisonTableIsBounded(t *testing.T) {
	is := is.New(t)
	p := NewPoison()
	p.Crashed(start, Crash{Fingerprint: 0, Target: 1, At: start})
	p.Crashed(start, Crash{Fingerprint: 0, Target: 2, At: start, Repeated: true})
	for i := range uint64(3 * maxSuspects) {
		p.Crashed(start, Crash{Fingerprint: i + 1, At: start})
	}
	is.Equal(len(p.suspects), maxSuspects)
	is.Equal(len(p.order), maxSuspects)
	is.True(p.Blocked(start, 0))
}

// Guards against a popular read that is blocked because it was in flight on
// several upstreams that died together, or on two that died hours apart.
func TestPopularReadIsNotPoison(t *testing.T) {
	is := is.New(t)
	p := NewPoison()
	at := func(s int) time.Time { return start.Add(time.Duration(s) * time.Second) }
	p.Crashed(at(10), Crash{Fingerprint: 1, Target: 1, At: at(10)})
	is.True(!p.Crashed(at(10).Add(spreadTime), Crash{Fingerprint: 1, Target: 2, At: at(10)})) // two first reports that crossed
	is.True(!p.Crashed(at(11), Crash{Fingerprint: 1, Target: 3, At: at(11), Overlapping: true}))
	p.Succeeded(1)
	is.True(!p.Crashed(at(20), Crash{Fingerprint: 1, Target: 3, At: at(20), Repeated: true})) // an upstream served it
	is.True(p.Crashed(at(20), Crash{Fingerprint: 1, Target: 4, At: at(20), Repeated: true}))
	p.Succeeded(1) // a late answer
	is.True(p.Blocked(at(23), 1))
}
