package presence

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"pistachioford.example/core/poison"
	"pistachioford.example/core/steer"
)

// crasherFleet is a fleet of instances in virtual time. A request that crashes
// each target that runs it comes again and again, each time at any instance.
type crasherFleet struct {
	t         *testing.T
	random    *rand.Rand
	zones     map[string]string
	instances []*crasherInstance
	byName    map[string]*crasherInstance
	now       time.Time
	started   int
	// boots holds the boot of each target, which grows with each crash, and
	// downUntil when it is back.
	boots     map[steer.TargetID]int64
	downUntil map[steer.TargetID]time.Time
	crashes   []time.Time
	// isCut reports whether two zones cannot reach each other.
	isCut func(a, b string) bool
	// storeDown is set while the store is unreachable.
	storeDown bool
	// saved holds what the instances saved in the store.
	saved map[uint64]poison.Verdict
}

type crasherInstance struct {
	name, zone string
	engine     *steer.Engine
	table      *Table
	nextBeat   time.Time
}

const (
	crasherStep   = 50 * time.Millisecond
	crasherPeriod = 200 * time.Millisecond
	// crasherStable is the shortest time after the third crash from which on
	// further targets count, and maxLateCrashes how many may then be reached.
	crasherStable  = 3 * time.Second
	maxLateCrashes = 3
	crasherTargets = 40
)

func newCrasherFleet(t *testing.T, zones, perZone int) *crasherFleet {
	f := &crasherFleet{
		t: t, random: rand.New(rand.NewPCG(uint64(zones), uint64(perZone))), zones: map[string]string{}, now: time.Unix(1_000_000, 0),
		boots: map[steer.TargetID]int64{}, downUntil: map[steer.TargetID]time.Time{}, isCut: func(string, string) bool { return false }, saved: map[uint64]poison.Verdict{}, byName: map[string]*crasherInstance{},
	}
	for z := range zones {
		f.zones[fmt.Sprintf("z%d", z)] = fmt.Sprintf("r%d", z/2)
	}
	for i := range crasherTargets {
		f.boots[steer.TargetID(fmt.Sprintf("t%d", i))] = 1
	}
	for z := range zones {
		for range perZone {
			f.start(fmt.Sprintf("z%d", z))
		}
	}
	f.run(3*time.Second, false)
	return f
}

// start starts an instance that knows the others by their rows in the store.
func (f *crasherFleet) start(zone string) *crasherInstance {
	f.started++
	name := fmt.Sprintf("i%d", f.started)
	n := &crasherInstance{
		name: name, zone: zone,
		engine: steer.NewEngine(steer.Config{
			Self: steer.Self{Name: name, Zone: zone, Region: f.zones[zone]}, Zones: f.zones,
			Retry: steer.RetryRule{Ratio: 0.2, Extra: 62, Window: 10 * time.Second},
		}),
		table:    New(Heartbeat{Name: name, Zone: zone, PeerAddr: name, Boot: int64(f.started)}, uint64(f.started)),
		nextBeat: f.now.Add(time.Duration(f.random.Int64N(int64(Interval)))),
	}
	n.engine.SetDocument(f.document())
	for id := range f.boots {
		f.putTarget(n, id)
	}
	n.engine.SetInstances(0, nil, true)
	for _, other := range f.instances {
		n.table.Add(Heartbeat{Name: other.name, Zone: other.zone, PeerAddr: other.name, Boot: 0})
		other.table.Add(Heartbeat{Name: name, Zone: zone, PeerAddr: name, Boot: 0})
	}
	f.instances = append(f.instances, n)
	f.byName[name] = n
	f.learn(n)
	return n
}

func (f *crasherFleet) document() *steer.Document {
	doc := &steer.Document{
		Version: 1,
		Routes: []steer.Route{{Name: "order", Host: "h", Prefix: "/", Kind: steer.NonIdempotent, Timeout: time.Second,
			LatencyObjective: 400 * time.Millisecond, Shares: []steer.Share{{Service: "s", Weight: 1}}, MaxAttempts: 2}},
		Services: map[string]steer.Service{"s": {Name: "s", MaxConnections: 100, Warmup: time.Second, ColdRate: 7}},
	}
	if err := doc.Build(); err != nil {
		f.t.Fatal(err)
	}
	return doc
}

func (f *crasherFleet) putTarget(n *crasherInstance, id steer.TargetID) {
	var number int
	_, _ = fmt.Sscanf(string(id), "t%d", &number)
	n.engine.PutTarget(f.now, steer.Record{
		ID: id, Service: "s", Address: "10.0.0.1:" + string(id), Zone: fmt.Sprintf("z%d", number%len(f.zones)), Slots: 3, Boot: f.boots[id], Sequence: 1,
	})
}

// send sends a request to a random instance. It returns false if the instance
// refuses it.
func (f *crasherFleet) send(fingerprint uint64, crashes bool) bool {
	n := f.instances[f.random.IntN(len(f.instances))]
	route := n.engine.Document().Match("h", "/")
	r := &steer.Request{Route: route, Fingerprint: fingerprint, Deadline: f.now.Add(route.Timeout)}
	s, refusal := n.engine.Arrive(f.now, r)
	if refusal != nil {
		return refusal.Reason != steer.ReasonCrasher
	}
	if f.now.Before(f.downUntil[s.Target]) {
		n.engine.Finish(f.now, r, &s, steer.ExchangeReport{Result: steer.NotSent})
		return true
	}
	if crashes {
		f.crashes = append(f.crashes, f.now)
		f.boots[s.Target]++
		f.downUntil[s.Target] = f.now.Add(2 * time.Second)
		for _, other := range f.instances {
			f.putTarget(other, s.Target)
		}
	}
	n.engine.Finish(f.now.Add(5*time.Millisecond), r, &s, steer.ExchangeReport{Result: steer.Broken})
	return true
}

const crasherFingerprint = 77

// run plays the fleet for some time, with or without copies of the request.
func (f *crasherFleet) run(d time.Duration, copies bool) {
	end := f.now.Add(d)
	for f.now.Before(end) {
		if copies && f.now.UnixNano()%int64(crasherPeriod) == 0 {
			f.send(crasherFingerprint, true)
		}
		for _, n := range f.instances {
			if !f.now.Before(n.nextBeat) {
				n.nextBeat = f.now.Add(Interval)
				n.engine.Tick(f.now)
				f.beat(n)
			}
		}
		f.now = f.now.Add(crasherStep)
	}
}

// lateCrashes returns the number of targets that the request reached later than
// crasherStable after it had crashed the third.
func (f *crasherFleet) lateCrashes() int {
	late := 0
	for i, at := range f.crashes {
		if i > 2 && at.Sub(f.crashes[2]) > crasherStable {
			late++
		}
	}
	return late
}

func (f *crasherFleet) check() {
	f.t.Helper()
	is := is.New(f.t)
	is.True(len(f.crashes) >= 3)
	f.t.Logf("%d instances: %d crashes, %d late", len(f.instances), len(f.crashes), f.lateCrashes())
	if late := f.lateCrashes(); late > maxLateCrashes {
		f.t.Errorf("the request reached %d targets later than %s after the third crash", late, crasherStable)
	}
}

// replace replaces a fraction of all instances by new ones.
func (f *crasherFleet) replace(fraction float64) {
	f.random.Shuffle(len(f.instances), func(i, j int) { f.instances[i], f.instances[j] = f.instances[j], f.instances[i] })
	n := int(fraction * float64(len(f.instances)))
	removed := f.instances[:n:n]
	f.instances = append([]*crasherInstance(nil), f.instances[n:]...)
	for _, old := range removed {
		delete(f.byName, old.name)
		f.start(old.zone)
	}
}

// TestCrasherIsRefusedByTheWholeFleet guards against a request that crashes the
// targets that run it and is still sent on by instances that did not see the
// crashes: instances that start later or after a power loss, in other zones,
// behind a healed cut, or while many other exchanges break.
func TestCrasherIsRefusedByTheWholeFleet(t *testing.T) {
	fleets := map[string][2]int{"12": {6, 2}, "72": {6, 12}, "189": {9, 21}}
	cases := map[string]func(f *crasherFleet){
		"steady": func(f *crasherFleet) { f.run(40*time.Second, true) },
		"new instances": func(f *crasherFleet) {
			for range 4 {
				f.run(8*time.Second, true)
				f.replace(0.3)
			}
			f.run(5*time.Second, true)
		},
		"herd kill": func(f *crasherFleet) {
			f.run(8*time.Second, true)
			f.replace(0.6)
			f.run(10*time.Second, true)
		},
		"power loss of all": func(f *crasherFleet) {
			f.run(8*time.Second, true)
			f.replace(1)
			f.run(10*time.Second, true)
		},
		"store away": func(f *crasherFleet) {
			f.storeDown = true
			f.run(8*time.Second, true)
			f.replace(0.6)
			f.run(10*time.Second, true)
			f.storeDown = false
			f.run(5*time.Second, true)
			f.replace(1)
			f.run(10*time.Second, true)
		},
		"cut": func(f *crasherFleet) {
			f.isCut = func(a, b string) bool { return (a == "z0") != (b == "z0") }
			f.run(2*time.Second, true)
			f.isCut = func(string, string) bool { return false }
			f.run(20*time.Second, true)
		},
		"other breaks": func(f *crasherFleet) {
			for i := range 120 {
				for j := range 20 {
					f.send(uint64(1000+20*i+j), false)
				}
				f.run(200*time.Millisecond, true)
			}
		},
		"long after": func(f *crasherFleet) {
			f.run(5*time.Second, true)
			f.run(40*time.Second, false)
			f.run(30*time.Second, true)
		},
	}
	for size, shape := range fleets {
		for name, play := range cases {
			if size == "189" && name != "new instances" {
				continue
			}
			t.Run(name+"/"+size, func(t *testing.T) {
				t.Parallel()
				f := newCrasherFleet(t, shape[0], shape[1])
				play(f)
				f.check()
			})
		}
	}
}
