package steer

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
)

// A replay is a load in virtual time: targets with slots, a queue and a memory
// of objects, and several instances that decide on their own.
type replay struct {
	t       *testing.T
	rand    *rand.Rand
	engines []*Engine
	targets map[TargetID]*replayTarget
	events  replayEvents
	now     time.Time
	// cold and warm are the times of one run.
	cold, warm time.Duration
	aim        time.Duration
	// inTime, late and refused count requests by their end.
	inTime, late, refused int
	// sheds counts the arrivals that a full target turned away, coldRuns those
	// without the object at hand.
	sheds, coldRuns int
	// far counts requests that ran in another region than their instance's.
	far int
	// place overrides the engine's choice, for a baseline.
	place func(*Request) TargetID
}

type replayTarget struct {
	id      TargetID
	region  string
	running int
	queue   []*replayRun
	// objects holds what is at hand, oldest first.
	objects []uint64
	memory  int
}

type replayRun struct {
	engine  *Engine
	request *Request
	send    *Send
	arrived time.Time
	trip    time.Duration
	target  *replayTarget
}

type replayEvent struct {
	at time.Time
	do func()
}

type replayEvents []replayEvent

func (e replayEvents) Len() int           { return len(e) }
func (e replayEvents) Less(i, j int) bool { return e[i].at.Before(e[j].at) }
func (e replayEvents) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *replayEvents) Push(x any)        { *e = append(*e, x.(replayEvent)) }
func (e *replayEvents) Pop() any {
	old := *e
	last := old[len(old)-1]
	*e = old[:len(old)-1]
	return last
}

func newReplay(t *testing.T, perZone map[string]int) *replay {
	r := &replay{
		t: t, rand: rand.New(rand.NewPCG(1, 2)), targets: map[TargetID]*replayTarget{}, now: start,
		cold: 360 * time.Millisecond, warm: 108 * time.Millisecond, aim: 300 * time.Millisecond,
	}
	for _, zone := range []string{"a1", "a2", "b1", "b2", "c1", "c2"} {
		for i := range 2 {
			r.engines = append(r.engines, testEngine(t, fmt.Sprintf("%s-%d", zone, i), zone))
		}
		for i := range perZone[zone] {
			id := fmt.Sprintf("s-%s-%d", zone, i)
			r.targets[TargetID(id)] = &replayTarget{id: TargetID(id), region: testZones[zone], memory: 32}
		}
	}
	for _, e := range r.engines {
		for zone, n := range perZone {
			addTargets(e, "s", n, zone)
		}
		e.Tick(start)
	}
	return r
}

func (r *replay) at(d time.Duration, do func()) {
	heap.Push(&r.events, replayEvent{r.now.Add(d), do})
}

// run feeds each region with requests for objects of its own.
func (r *replay) run(perRegion float64, objects int, length time.Duration) {
	gap := time.Duration(float64(time.Second) / perRegion)
	for region, offset := range map[string]uint64{"a": 1000, "b": 2000, "c": 3000} {
		var engines []*Engine
		for _, e := range r.engines {
			if e.self.Region == region {
				engines = append(engines, e)
			}
		}
		var next func()
		next = func() {
			if r.now.Sub(start) > length {
				return
			}
			object := mix(offset+uint64(r.rand.IntN(objects)), 11)
			r.arrive(engines[r.rand.IntN(len(engines))], object)
			r.at(time.Duration(r.rand.ExpFloat64()*float64(gap)), next)
		}
		r.at(gap, next)
	}
	for _, e := range r.engines {
		var tick func()
		tick = func() {
			e.Tick(r.now)
			if r.now.Sub(start) < length {
				r.at(500*time.Millisecond, tick)
			}
		}
		r.at(500*time.Millisecond, tick)
	}
	for r.events.Len() > 0 {
		event := heap.Pop(&r.events).(replayEvent)
		r.now = event.at
		event.do()
	}
}

func (r *replay) arrive(e *Engine, object uint64) {
	request := newTestRequest(e, r.now, "/read/1", object)
	s, refusal := e.Arrive(r.now, request)
	if refusal != nil {
		r.refused++
		return
	}
	target := r.targets[s.Target]
	if r.place != nil {
		target = r.targets[r.place(request)]
	}
	trip := time.Millisecond
	if target.region != e.self.Region {
		trip = 70 * time.Millisecond
		r.far++
	}
	run := &replayRun{engine: e, request: request, send: &s, arrived: r.now, trip: trip, target: target}
	r.at(trip/2, func() { r.enqueue(run) })
}

func (r *replay) enqueue(run *replayRun) {
	if run.target.running < 3 {
		r.begin(run)
		return
	}
	if len(run.target.queue) >= replayQueue {
		load := &Load{Running: run.target.running, Waiting: len(run.target.queue), Slots: 3}
		r.at(run.trip/2, func() { r.shed(run, load) })
		return
	}
	run.target.queue = append(run.target.queue, run)
}

// replayQueue is the number of requests that wait at a target before it sheds.
const replayQueue = 9

func (r *replay) shed(run *replayRun, load *Load) {
	r.sheds++
	if r.place != nil {
		run.send.target.running--
		r.refused++
		return
	}
	next, _ := run.engine.Finish(r.now, run.request, run.send, Ended{Result: Shed, Load: load})
	if next == nil {
		r.refused++
		return
	}
	run.send, run.target = next, r.targets[next.Target]
	r.at(run.trip/2, func() { r.enqueue(run) })
}

func (r *replay) begin(run *replayRun) {
	t := run.target
	t.running++
	work := r.cold
	for i, object := range t.objects {
		if object == run.request.Object {
			work = r.warm
			t.objects = append(t.objects[:i], t.objects[i+1:]...)
			break
		}
	}
	if work == r.cold {
		r.coldRuns++
	}
	r.at(work, func() {
		t.objects = append(t.objects, run.request.Object)
		if len(t.objects) > t.memory {
			t.objects = t.objects[1:]
		}
		load := &Load{Running: t.running, Waiting: len(t.queue), Slots: 3}
		t.running--
		if len(t.queue) > 0 {
			next := t.queue[0]
			t.queue = t.queue[1:]
			r.begin(next)
		}
		r.at(run.trip/2, func() { r.end(run, load) })
	})
}

func (r *replay) end(run *replayRun, load *Load) {
	if r.place == nil {
		_, _ = run.engine.Finish(r.now, run.request, run.send, Ended{Result: Answered, Load: load})
	} else {
		run.send.target.running--
	}
	if r.now.Sub(run.arrived) <= r.aim {
		r.inTime++
	} else {
		r.late++
	}
}

func (r *replay) inTimeShare() float64 {
	return float64(r.inTime) / float64(r.inTime+r.late+r.refused)
}

// smallRegion has 2 targets in one region and 8 in each of the others, as a
// region whose callers need more than it has.
var smallRegion = map[string]int{"a1": 1, "a2": 1, "b1": 4, "b2": 4, "c1": 4, "c2": 4}

// Guards against placement without affinity under a load that needs more slots
// than there are if no object is at hand. The bound is half of the requests in
// time, which the users' floors for such days stay below.
func TestReplaySmallRegionAtPeak(t *testing.T) {
	is := is.New(t)
	r := newReplay(t, smallRegion)
	r.run(64, 47, 20*time.Second)
	baseline := newReplay(t, smallRegion)
	ids := make([]TargetID, 0, len(baseline.targets))
	for zone, n := range smallRegion {
		for i := range n {
			ids = append(ids, TargetID(fmt.Sprintf("s-%s-%d", zone, i)))
		}
	}
	baseline.place = func(*Request) TargetID { return ids[baseline.rand.IntN(len(ids))] }
	baseline.run(64, 47, 20*time.Second)
	t.Logf("in time %.3f (random placement %.3f), late %d, refused %d, far %d",
		r.inTimeShare(), baseline.inTimeShare(), r.late, r.refused, r.far)
	is.True(r.inTimeShare() >= 0.5)
	is.True(r.inTimeShare() > baseline.inTimeShare())
}

// Guards against a queue that makes all work late when one kind of work floods
// in far above what the targets can take: slots stay busy with work in time.
func TestReplayFloodKeepsWorkInTime(t *testing.T) {
	is := is.New(t)
	r := newReplay(t, map[string]int{"a1": 1, "a2": 1, "b1": 1, "b2": 1, "c1": 1, "c2": 1})
	// 18 slots of 108 ms serve 167 requests a second; 5 times that arrives.
	r.run(5*167/3.0, 24, 10*time.Second)
	answered := r.inTime + r.late
	t.Logf("in time %d, late %d, refused %d, sheds %d, cold %d, far %d", r.inTime, r.late, r.refused, r.sheds, r.coldRuns, r.far)
	is.True(float64(r.inTime) >= 0.5*float64(answered))
	is.True(float64(answered)/10 >= 0.5*167)
}

// Guards against a region whose requests change their region in a jump: the
// users allow 0.15 of them in 2 s. Traffic starts some seconds after the
// instances do, and what was prepared for it must still hold then.
func TestReplayRegionShiftsSlowly(t *testing.T) {
	is := is.New(t)
	e := testEngine(t, "i", "a1")
	addTargets(e, "s", 1, "a1", "a2")
	addTargets(e, "s", 8, "b1", "c1")
	part := func() float64 {
		own, others := e.regionLoads(start, e.byService["s"])
		return e.spillOf("s").part(own.slots, others.slots)
	}
	now := start
	tick := func() {
		e.Tick(now)
		now = now.Add(spillPeriod)
	}
	for range 16 {
		tick()
	}
	prepared := part()
	is.True(prepared > 0.3) // 6 of 54 slots for a third of the load
	for _, other := range e.byService["s"] {
		if other.region == "a" {
			other.others, other.reported = 9, now.Add(time.Hour)
		}
	}
	for range 20 {
		before := part()
		for range 4 {
			tick()
		}
		is.True(part()-before <= 0.15)
	}
	is.True(part() > prepared)
}
