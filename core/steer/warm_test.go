package steer

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against the estimate that a run elsewhere is hardly slower than one at
// an object's home, which this instance would get if it took the runs of
// objects that other instances had cached there for uncached ones: requests
// would leave a briefly busy home for a target that takes four times as long.
//
// The load: many instances share the homes of objects, so that most requests
// find their object cached although this instance sends the first one for it.
func TestRequestsWaitAtABusyHomeThatOthersKeepCached(t *testing.T) {
	const (
		cachedTime   = 75 * time.Millisecond
		uncachedTime = 320 * time.Millisecond
	)
	is := is.New(t)
	e := testEngine(t, "i", "a1")
	addTargets(e, "s", 30, "a1")
	now := start
	for object := uint64(1); object <= 300; object++ {
		now = now.Add(20 * time.Millisecond)
		r := newTestRequest(e, now, "/read/", object)
		s := mustSend(t, e, now, r)
		took := cachedTime
		if object%10 == 0 {
			took = uncachedTime
		}
		now = now.Add(took)
		e.Finish(now, r, s, ExchangeReport{Result: Responded, Load: &Load{Running: 1, Slots: 3}})
	}
	r := newTestRequest(e, now, "/read/", 1000)
	r.Service = "s"
	times := e.serviceTimesOf(r)
	is.True(times.cached < 90*time.Millisecond)
	is.True(times.uncached > 290*time.Millisecond)
	is.True(times.homeCachedProbability() > 0.8)

	home := e.choose(now, r).target
	home.recordReport(now, 5, 0)
	c := e.choose(now, r)
	is.Equal(c.target, home) // two requests wait there, about 50 ms
	is.True(c.queueWait > 0)

	home.recordReport(now.Add(peerLoadFade), 14, 0)
	c = e.choose(now.Add(peerLoadFade), r)
	is.True(c.target != home) // an uncached run is shorter than this queue
}
