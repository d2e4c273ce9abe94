package scenario

import (
	"time"

	"pistachioford.example/core/document"
	"pistachioford.example/core/traffic"
)

// check is the name of an invariant.
type check string

// The invariants. Each is checked only against what the fakes observed.
const (
	checkSlots     check = "slots"
	checkShift     check = "shift-cap"
	checkLink      check = "link-budget"
	checkDuplicate check = "duplicate-run"
	checkNotRun    check = "false-not-run"
	checkResponse  check = "wrong-answer"
	checkLeave     check = "work-after-leave"
	checkCut       check = "cut-by-planned-stop"
	checkReply     check = "reply-count"
)

const (
	// leaveGrace is the time after the first sign that an upstream is leaving in
	// which it may still receive requests.
	leaveGrace = 3 * time.Second
	// rateWindow is the period over which rates are checked.
	rateWindow = time.Second
	// maxLogged is how many violations of each invariant are logged.
	maxLogged = 3
)

// checker checks the invariants. The fakes report what they observe to its
// on... methods.
type checker struct {
	world      *world
	violations map[check]int
	shifts     map[shiftKey]*shiftStarts
	linkUsage  [][]leakyBucket
}

type shiftKey struct {
	service  document.ServiceID
	from, to document.RegionID
}

// shiftStarts tracks the shifted requests of one service from one region to
// another.
type shiftStarts struct {
	shift     *document.Shift
	rampStart time.Time
	times     []time.Time // starts within the last rateWindow
}

// leakyBucket counts the bytes sent over a link that the budget has not covered
// yet.
type leakyBucket struct {
	bytes     float64
	updatedAt time.Time
}

func newChecker(w *world) *checker {
	c := &checker{world: w, violations: map[check]int{}, shifts: map[shiftKey]*shiftStarts{}}
	for range w.doc.Regions {
		c.linkUsage = append(c.linkUsage, make([]leakyBucket, len(w.doc.Regions)))
	}
	return c
}

func (c *checker) failf(kind check, format string, args ...any) {
	c.violations[kind]++
	if c.violations[kind] <= maxLogged {
		c.world.logf("violation "+string(kind)+": "+format, args...)
	}
}

// onSlotRequest is called when a request needs a slot of an upstream, before it
// takes one.
func (c *checker) onSlotRequest(u *upstream) {
	if len(u.active) >= u.slots {
		c.failf(checkSlots, "%s receives a request while its %d slots are all in use", u.name(), u.slots)
	}
}

// onStart is called when an upstream starts to run a request.
func (c *checker) onStart(u *upstream, call *call) {
	r := call.request
	call.upstreamRuns++
	r.upstreamRuns++
	if r.upstreamRuns > 1 && !call.service().Idempotent {
		c.failf(checkDuplicate, "request %d runs again on %s", r.id, u.name())
	}
	if call.repliedNotRun {
		c.failf(checkNotRun, "request %d runs on %s after the caller was told that it did not run", r.id, u.name())
	}
	if r.upstreamRuns == 1 {
		c.countShift(call, c.world.region(r.homeZone), c.world.region(u.zone))
	}
}

// countShift counts a request that runs outside of its caller's region, and
// checks the shift cap.
func (c *checker) countShift(call *call, from, to document.RegionID) {
	if from == to {
		return
	}
	c.world.stats.cell(call.request, c.world.Now).shifted++
	key := shiftKey{call.load.serviceID, from, to}
	starts, ok := c.shifts[key]
	if !ok {
		starts = &shiftStarts{shift: c.world.shiftFor(key)}
		c.shifts[key] = starts
	}
	if !starts.add(c.world.clock.Now) {
		c.failf(checkShift, "%d requests/s of %s are shifted from %s to %s", len(starts.times),
			c.world.doc.Services[key.service].Name, c.world.doc.Regions[from].Name, c.world.doc.Regions[to].Name)
	}
}

// add records one start and reports whether the rate is within the cap. The
// ramp begins anew after a gap longer than itself.
func (m *shiftStarts) add(now time.Time) bool {
	if m.shift == nil {
		return true
	}
	if len(m.times) == 0 || now.Sub(m.times[len(m.times)-1]) > max(m.shift.Ramp, rateWindow) {
		m.rampStart, m.times = now, nil
	}
	m.times = append(m.times, now)
	for now.Sub(m.times[0]) >= rateWindow {
		m.times = m.times[1:]
	}
	return float64(len(m.times)) <= max(m.allowedRate(now), 1)
}

// allowedRate returns the cap that the ramp allows at a time.
func (m *shiftStarts) allowedRate(now time.Time) float64 {
	s := m.shift
	if elapsed := now.Sub(m.rampStart); elapsed < s.Ramp {
		return s.StartPerSecond + (s.CapPerSecond-s.StartPerSecond)*float64(elapsed)/float64(s.Ramp)
	}
	return s.CapPerSecond
}

// onTransfer is called for each message between regions. One body may exceed the
// budget of the window, but then nothing more may be sent until the excess is
// covered.
func (c *checker) onTransfer(from, to document.RegionID, bytes int64) {
	budget := c.world.doc.LinkBetween(from, to)
	if budget == nil || bytes == 0 {
		return
	}
	bucket := &c.linkUsage[from][to]
	rate := float64(budget.BytesPerSecond)
	bucket.bytes = max(bucket.bytes-rate*c.world.clock.Now.Sub(bucket.updatedAt).Seconds(), 0)
	bucket.updatedAt = c.world.clock.Now
	if bucket.bytes > rate*rateWindow.Seconds() {
		c.failf(checkLink, "%.0f bytes beyond the budget from %s to %s", bucket.bytes-rate*rateWindow.Seconds(),
			c.world.doc.Regions[from].Name, c.world.doc.Regions[to].Name)
	}
	bucket.bytes += float64(bytes)
}

// onEvent is called for each event that an instance handles. It records when an
// instance first learns that an upstream is leaving.
func (c *checker) onEvent(ev traffic.Event) {
	switch ev := ev.(type) {
	case traffic.TargetLeaving:
		c.recordLeaving(c.world.upstreams[ev.Target])
	case traffic.ExchangeEnded:
		if ev.Leaving && ev.Response != nil {
			c.recordLeaving(ev.Response.(*response).upstream)
		}
	case traffic.DocumentChanged:
		for id := range ev.Document.Targets {
			if ev.Document.Targets[id].Draining {
				c.recordLeaving(c.world.upstreams[id])
			}
		}
	}
}

func (c *checker) recordLeaving(u *upstream) {
	if u.leaveSeenAt.IsZero() {
		u.leaveSeenAt = c.world.clock.Now
		c.world.logf("first sign of leaving of %s", u.name())
	}
}

// onArrival is called when a request reaches an upstream.
func (c *checker) onArrival(u *upstream) {
	if since := c.world.clock.Now.Sub(u.leaveSeenAt); !u.leaveSeenAt.IsZero() && since > leaveGrace {
		c.failf(checkLeave, "%s receives a request %v after the first sign that it is leaving", u.name(), since)
	}
}

// onReply is called when a reply reaches a caller.
func (c *checker) onReply(call *call, reply traffic.Reply) {
	if call.replied {
		c.failf(checkReply, "request %d receives a second reply", call.request.id)
	}
	call.replied = true
	switch reply.Outcome {
	case traffic.NotRun:
		call.repliedNotRun = true
		if call.upstreamRuns > 0 {
			c.failf(checkNotRun, "request %d ran, but the caller was told that it did not run (%s)", call.request.id, reply.Reason)
		}
	case traffic.Responded:
		if got, ok := reply.Response.(*response); !ok || got.call.request != call.request {
			c.failf(checkResponse, "request %d receives the response to another request", call.request.id)
		}
	}
}

// onBroken is called for each request whose connection an instance breaks.
func (c *checker) onBroken(in *instance) {
	if in.leaving {
		c.failf(checkCut, "%s breaks a request during a planned stop", in.id)
	}
}
