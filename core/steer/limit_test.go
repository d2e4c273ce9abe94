package steer

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
)

// limitFleet replays a load against several engines and targets that name
// limits.
type limitFleet struct {
	t       *testing.T
	rand    *rand.Rand
	now     time.Time
	members []*limitMember
	// limits holds the limit that each target names.
	limits map[TargetID]float64
	// arrivals holds when requests reached each target.
	arrivals map[TargetID][]time.Time
	served   int
	refused  int
}

type limitMember struct {
	name, zone string
	engine     *Engine
	// perSecond is the load from the instance's callers.
	perSecond float64
	// isolated is set if heartbeats reach neither the instance nor the others
	// from it.
	isolated bool
	// lastReport is what the others know of its demand.
	lastReport PeerDemand
}

const (
	limitTestStep = 10 * time.Millisecond
	// limitTestServiceTime is how long a request takes.
	limitTestServiceTime = 100 * time.Millisecond
	// heartbeatSteps is the number of steps between heartbeats.
	heartbeatSteps = 70
	// slidingWindow and the bound are the users': half as much again as the
	// limit allows in the window, and 5.
	slidingWindow = 4 * time.Second
)

func slidingBound(limit float64) int { return int(1.5*limit*slidingWindow.Seconds() + 5) }

// newLimitFleet returns instances that each know n targets of one service in
// each zone.
func newLimitFleet(t *testing.T, perZone, targets int, zones ...string) *limitFleet {
	f := &limitFleet{
		t: t, rand: rand.New(rand.NewPCG(7, 1)), now: start,
		limits: map[TargetID]float64{}, arrivals: map[TargetID][]time.Time{},
	}
	for _, zone := range zones {
		for i := range perZone {
			m := &limitMember{name: fmt.Sprintf("%s-%d", zone, i), zone: zone, perSecond: 10}
			m.engine = f.startEngine(m, targets, zones)
			f.members = append(f.members, m)
		}
	}
	return f
}

func (f *limitFleet) startEngine(m *limitMember, targets int, zones []string) *Engine {
	e := testEngine(f.t, m.name, m.zone)
	addTargets(e, "s", targets, zones...)
	return e
}

// setLimit makes all targets of a zone name a limit, or none for 0.
func (f *limitFleet) setLimit(zone string, n int, limit float64) {
	for i := range n {
		f.limits[TargetID(fmt.Sprintf("s-%s-%d", zone, i))] = limit
	}
}

// run replays the load for a time.
func (f *limitFleet) run(length time.Duration) {
	type running struct {
		m   *limitMember
		r   *Request
		s   *Send
		end time.Time
	}
	var inFlight []running
	for step := 0; step < int(length/limitTestStep); step++ {
		f.now = f.now.Add(limitTestStep)
		if step%heartbeatSteps == 0 {
			f.exchangeHeartbeats()
		}
		for len(inFlight) > 0 && !inFlight[0].end.After(f.now) {
			x := inFlight[0]
			inFlight = inFlight[1:]
			x.m.engine.Finish(f.now, x.r, x.s, ExchangeReport{Result: Responded, Notice: &Notice{Limit: f.limits[x.s.Target]}})
			f.served++
		}
		for _, m := range f.members {
			if f.rand.Float64() >= m.perSecond*limitTestStep.Seconds() {
				continue
			}
			r := newTestRequest(m.engine, f.now, "/read/1", f.rand.Uint64())
			s, refusal := m.engine.Arrive(f.now, r)
			if refusal != nil {
				f.refused++
				continue
			}
			f.arrivals[s.Target] = append(f.arrivals[s.Target], f.now)
			inFlight = append(inFlight, running{m, r, &s, f.now.Add(limitTestServiceTime)})
		}
	}
}

func (f *limitFleet) exchangeHeartbeats() {
	for _, m := range f.members {
		m.engine.Tick(f.now)
		if !m.isolated {
			demands, reported := m.engine.Demands(f.now)
			m.lastReport = PeerDemand{Name: m.name, Region: testZones[m.zone], Reported: reported, Demands: demands}
		}
	}
	notices := map[*limitMember][]Observation{}
	for _, m := range f.members {
		notices[m] = m.engine.SharedNotices(f.now)
	}
	for _, to := range f.members {
		var known []PeerDemand
		for _, from := range f.members {
			if from != to && from.lastReport.Name != "" {
				known = append(known, from.lastReport)
			}
			if from != to && !from.isolated && !to.isolated {
				to.engine.RecordObservations(f.now, from.name, notices[from])
			}
		}
		if !to.isolated {
			to.engine.SetPeerDemands(known)
		}
	}
}

// most returns the largest number of arrivals at a limited target in the sliding
// window, and the smallest such number over the targets, from a time on.
func (f *limitFleet) most(from time.Time) (largest, smallest int) {
	smallest = 1 << 30
	for id, limit := range f.limits {
		if limit == 0 {
			continue
		}
		most := 0
		at := f.arrivals[id]
		for i := range at {
			if at[i].Before(from) {
				continue
			}
			n := 0
			for _, later := range at[i:] {
				if later.Sub(at[i]) < slidingWindow {
					n++
				}
			}
			most = max(most, n)
		}
		largest, smallest = max(largest, most), min(smallest, most)
	}
	return largest, smallest
}

// The load: 12 instances in 3 regions, callers evenly distributed, a third of
// the targets names a limit of half of what they get.
func TestLimitHoldsUnderEqualLoad(t *testing.T) {
	is := is.New(t)
	f := newLimitFleet(t, 2, 3, "a1", "a2", "b1", "b2", "c1", "c2")
	f.run(5 * time.Second)
	f.setLimit("a1", 3, 3)
	f.run(2 * time.Second)
	f.run(15 * time.Second)
	largest, smallest := f.most(start.Add(8 * time.Second))
	t.Logf("in %v: %d to %d, bound %d; %d refused of %d", slidingWindow, smallest, largest, slidingBound(3), f.refused, f.served)
	is.True(largest <= slidingBound(3))
	is.True(smallest >= 6)           // half of the limit is used
	is.True(f.refused*20 < f.served) // the rest goes to other targets
}

// The load: one instance of a region has ten times the requests of the others.
// An equal division would leave most of the limit unused.
func TestLimitFollowsUnequalLoad(t *testing.T) {
	is := is.New(t)
	f := newLimitFleet(t, 4, 2, "a1", "a2")
	for i, m := range f.members {
		m.perSecond = 4
		if i == 0 {
			m.perSecond = 60
		}
	}
	f.setLimit("a1", 2, 6)
	f.setLimit("a2", 2, 6)
	f.run(20 * time.Second)
	largest, smallest := f.most(start.Add(4 * time.Second))
	t.Logf("in %v: %d to %d, bound %d; %d refused of %d", slidingWindow, smallest, largest, slidingBound(6), f.refused, f.served)
	is.True(largest <= slidingBound(6))
	is.True(smallest >= 16) // two thirds of the limit are used
}

// The load: instances are cut off from the others while the limit is in force.
// Both sides keep to their shares.
func TestLimitHoldsAcrossAPartition(t *testing.T) {
	is := is.New(t)
	f := newLimitFleet(t, 4, 2, "a1", "a2")
	f.setLimit("a1", 2, 4)
	f.setLimit("a2", 2, 4)
	f.run(6 * time.Second)
	for _, m := range f.members[:4] {
		m.isolated = true
	}
	f.run(9 * time.Second)
	largest, _ := f.most(start.Add(6 * time.Second))
	t.Logf("in %v: %d, bound %d", slidingWindow, largest, slidingBound(4))
	is.True(largest <= slidingBound(4))
}

// The load: an instance restarts twice while the limit is in force, and knows
// neither the limit nor the demands of the others at first.
func TestLimitHoldsAfterARestart(t *testing.T) {
	is := is.New(t)
	f := newLimitFleet(t, 3, 2, "a1", "a2")
	f.setLimit("a1", 2, 4)
	f.setLimit("a2", 2, 4)
	f.run(6 * time.Second)
	for range 2 {
		m := f.members[0]
		m.engine, m.lastReport = f.startEngine(m, 2, []string{"a1", "a2"}), PeerDemand{}
		f.run(5 * time.Second)
	}
	largest, smallest := f.most(start.Add(4 * time.Second))
	t.Logf("in %v: %d to %d, bound %d", slidingWindow, smallest, largest, slidingBound(4))
	is.True(largest <= slidingBound(4))
}

// The load: many instances with few requests each, and a limit so small that
// they could exceed it with one request each.
func TestSmallLimitIsSharedByFewInstances(t *testing.T) {
	is := is.New(t)
	f := newLimitFleet(t, 20, 4, "a1", "a2")
	for _, m := range f.members {
		m.perSecond = 1
	}
	f.setLimit("a1", 4, 1.2)
	f.run(8 * time.Second)
	for _, m := range f.members {
		m.perSecond = 8 // a burst, when all have saved up what they can
	}
	f.run(8 * time.Second)
	largest, smallest := f.most(start.Add(4 * time.Second))
	t.Logf("in %v: %d to %d, bound %d", slidingWindow, smallest, largest, slidingBound(1.2))
	is.True(largest <= slidingBound(1.2))
	is.True(smallest >= 2)
}

// The load: the limit ends, and all instances use the target again, also those
// that had no share in it.
func TestTargetIsUsedInFullWhenItsLimitEnds(t *testing.T) {
	is := is.New(t)
	f := newLimitFleet(t, 10, 1, "a1", "a2")
	f.setLimit("a1", 1, 2)
	f.run(10 * time.Second)
	f.limits["s-a1-0"] = 0
	before := len(f.arrivals["s-a1-0"])
	f.run(8 * time.Second)
	middle := len(f.arrivals["s-a1-0"])
	f.run(4 * time.Second)
	last := len(f.arrivals["s-a1-0"]) - middle
	t.Logf("%d before the end, %d in 8 s, %d in 4 s after that", before, middle-before, last)
	is.True(last > 4*4*2) // four times what the limit allowed; 400 arrive in all
	for _, m := range f.members {
		_, reported := m.engine.Demands(f.now)
		is.True(!reported) // nobody still holds the limit
	}
}

// Guards against a limit that instances keep up by repeating each other, after
// the target no longer names it.
func TestNewestStatementAboutALimitHolds(t *testing.T) {
	is := is.New(t)
	b := testEngine(t, "b", "a1")
	addTargets(b, "s", 1, "a1")
	n := b.targets["s-a1-0"].notice
	observe := func(now time.Time, limit float64, age time.Duration) {
		b.RecordObservations(now, "a", []Observation{{Target: b.targets["s-a1-0"].hash, Boot: 1, Limit: limit, LimitAge: age}})
	}
	now := start.Add(10 * time.Second)
	observe(now, 3, 2*time.Second)
	is.Equal(n.limit, 3.0)
	observe(now, NoLimit, time.Second)
	is.Equal(n.limit, 0.0)
	observe(now, 3, 2*time.Second) // repeated by a third instance
	is.Equal(n.limit, 0.0)
	is.Equal(b.SharedNotices(now), []Observation{{Target: b.targets["s-a1-0"].hash, Boot: 1, Limit: NoLimit, LimitAge: time.Second}})
	observe(now, 3, 0)
	is.Equal(n.limit, 3.0)
	b.Tick(now.Add(limitTTL + time.Second)) // nobody has heard of it since
	is.Equal(n.limit, 0.0)
	is.Equal(len(b.SharedNotices(now.Add(limitTTL+time.Second))), 0)
}
