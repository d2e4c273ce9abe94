package steer

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
)

// lossFleet plays instances and targets in virtual time: requests, targets that
// are lost or slow, callers that leave, and what the registry shows of it.
type lossFleet struct {
	random    *rand.Rand
	now       time.Time
	instances []*lossInstance
	targets   []*lossTarget
	pending   []*lossExchange
	// registry holds changes that the instances have yet to see.
	registry []registryChange
	// refusedOthers counts the refusals of requests that crash nothing, crasherAt
	// holds when the crasher reached a target.
	refusedOthers, sent int
	crasherAt           []time.Time
	// crashAway is how long a target that the crasher reached stays away.
	crashAway time.Duration
	// lostResponses is the fraction of responses that get lost, callerRetries how
	// often a caller sends a request again that got no response.
	lostResponses float64
	callerRetries int
}

type lossInstance struct{ engine *Engine }

type lossTarget struct {
	Record
	// busyUntil holds when each slot becomes free.
	busyUntil []time.Time
	slowness  float64
	// lostAt is when the target was lost, or the zero time while it runs.
	lostAt, backAt time.Time
	listed         bool
}

type lossExchange struct {
	instance *lossInstance
	request  *Request
	send     Send
	target   *lossTarget
	boot     int64
	starts   time.Time
	ends     time.Time
	// leaves is when the caller gives up.
	leaves   time.Time
	dead     bool
	patience time.Duration
	retries  int
}

type registryChange struct {
	at    time.Time
	apply func(e *Engine)
}

const (
	lossStep = 20 * time.Millisecond
	// lossBeat is the interval of the targets' reports; an entry ends after three
	// of them.
	lossBeat = 1500 * time.Millisecond
	// feedDelay is how long a change of the registry takes to reach an instance.
	feedDelay   = 150 * time.Millisecond
	lossTimeout = 2 * time.Second
	crasher     = uint64(1)
)

func newLossFleet(instances, targets int, seed uint64) *lossFleet {
	f := &lossFleet{random: rand.New(rand.NewPCG(seed, 1)), now: time.Unix(1_000_000, 0)}
	zones := map[string]string{"za": "ra", "zb": "rb", "zc": "rc"}
	names := []string{"za", "zb", "zc"}
	doc := &Document{
		Version: 1,
		Routes: []Route{{Name: "read", Host: "h", Prefix: "/", Kind: Idempotent, Timeout: lossTimeout,
			LatencyObjective: 400 * time.Millisecond, Shares: []Share{{Service: "s", Weight: 1}}, MaxAttempts: 2}},
		Services: map[string]Service{"s": {Name: "s", MaxConnections: 100, Warmup: time.Second, ColdRate: 7}},
	}
	if err := doc.Build(); err != nil {
		panic(err)
	}
	var all []string
	for i := range instances {
		all = append(all, fmt.Sprintf("i%d", i))
	}
	for i, name := range all {
		zone := names[i%3]
		n := &lossInstance{engine: NewEngine(Config{Self: Self{Name: name, Zone: zone, Region: zones[zone]}, Zones: zones,
			Retry: RetryRule{Ratio: 0.2, Extra: 62, Window: 10 * time.Second}})}
		n.engine.SetDocument(doc)
		n.engine.SetInstances(instances-1, nil, true)
		n.engine.Poison().SetInstances(slices.DeleteFunc(slices.Clone(all), func(other string) bool { return other == name }))
		f.instances = append(f.instances, n)
	}
	for i := range targets {
		t := &lossTarget{Record: Record{ID: TargetID(fmt.Sprintf("t%d", i)), Service: "s", Address: fmt.Sprintf("10.0.0.1:%d", i+1), Zone: names[i%3], Slots: 3, Boot: 1, Sequence: 1}, slowness: 1, listed: true}
		t.busyUntil = make([]time.Time, t.Slots)
		f.targets = append(f.targets, t)
		for _, n := range f.instances {
			n.engine.PutTarget(f.now, t.Record)
		}
	}
	return f
}

// change makes all instances see a change of the registry after feedDelay.
func (f *lossFleet) change(after time.Duration, apply func(e *Engine)) {
	f.registry = append(f.registry, registryChange{f.now.Add(after + feedDelay), apply})
}

// lose makes a target fall silent. It is back after a time, under its id, or
// never if that is 0; its entry ends if it is away for longer than three beats.
func (f *lossFleet) lose(t *lossTarget, away time.Duration) {
	if !t.lostAt.IsZero() {
		return
	}
	t.lostAt = f.now
	lapse := 2*lossBeat + time.Duration(f.random.Int64N(int64(lossBeat)))
	id := t.ID
	if away == 0 || away > lapse {
		f.change(lapse, func(e *Engine) { e.DropTarget(f.now, id, 0) })
	}
	if away > 0 {
		t.backAt = f.now.Add(away)
	}
}

func (f *lossFleet) restart(t *lossTarget) {
	t.lostAt, t.backAt = time.Time{}, time.Time{}
	t.Boot++
	clear(t.busyUntil)
	record := t.Record
	f.change(0, func(e *Engine) { e.PutTarget(f.now, record) })
}

// leave removes a target from the registry without a notice. It goes on serving
// what it has.
func (f *lossFleet) leave(t *lossTarget) {
	id := t.ID
	f.change(0, func(e *Engine) { e.DropTarget(f.now, id, 0) })
	t.ID = TargetID(fmt.Sprintf("%s'", t.ID))
	record := t.Record
	f.change(0, func(e *Engine) { e.PutTarget(f.now, record) })
}

// request sends a request to a random instance. Its caller waits for patience.
func (f *lossFleet) request(fingerprint uint64, patience time.Duration) {
	f.attempt(fingerprint, patience, f.callerRetries)
}

func (f *lossFleet) attempt(fingerprint uint64, patience time.Duration, retries int) {
	n := f.instances[f.random.IntN(len(f.instances))]
	route := n.engine.Document().Match("h", "/")
	r := &Request{Route: route, Fingerprint: fingerprint, Deadline: f.now.Add(lossTimeout)}
	send, refusal := n.engine.Arrive(f.now, r)
	f.sent++
	if refusal != nil {
		if refusal.Reason == ReasonCrasher && fingerprint != crasher {
			f.refusedOthers++
		}
		return
	}
	f.dispatch(n, r, send, f.now.Add(patience), patience, retries)
}

func (f *lossFleet) dispatch(n *lossInstance, r *Request, send Send, leaves time.Time, patience time.Duration, retries int) {
	i := slices.IndexFunc(f.targets, func(t *lossTarget) bool { return t.ID == send.Target })
	x := &lossExchange{instance: n, request: r, send: send, leaves: leaves, patience: patience, retries: retries, ends: r.Deadline.Add(time.Hour)}
	f.pending = append(f.pending, x)
	if i < 0 {
		x.dead = true
		return
	}
	t := f.targets[i]
	x.target, x.boot = t, t.Boot
	if !t.lostAt.IsZero() {
		x.dead = true
		return
	}
	slot := 0
	for s := range t.busyUntil {
		if t.busyUntil[s].Before(t.busyUntil[slot]) {
			slot = s
		}
	}
	x.starts = t.busyUntil[slot]
	if x.starts.Before(f.now) {
		x.starts = f.now
	}
	work := time.Duration((0.05 + 0.2*f.random.Float64()) * t.slowness * float64(time.Second))
	x.ends = x.starts.Add(work)
	t.busyUntil[slot] = x.ends
	if f.random.Float64() < f.lostResponses {
		x.ends = r.Deadline.Add(time.Hour)
	}
}

// step advances the fleet by lossStep.
func (f *lossFleet) step() {
	f.now = f.now.Add(lossStep)
	f.registry = slices.DeleteFunc(f.registry, func(c registryChange) bool {
		if c.at.After(f.now) {
			return false
		}
		for _, n := range f.instances {
			c.apply(n.engine)
		}
		return true
	})
	for _, t := range f.targets {
		if !t.backAt.IsZero() && !f.now.Before(t.backAt) {
			f.restart(t)
		}
	}
	waiting := f.pending
	f.pending = nil
	for _, x := range waiting {
		if !f.settle(x) {
			f.pending = append(f.pending, x)
		}
	}
	for _, n := range f.instances {
		n.engine.Tick(f.now)
	}
	if f.now.UnixNano()%int64(700*time.Millisecond) < int64(lossStep) {
		f.exchangeReports()
	}
}

// settle ends an exchange if it is due, and returns false if it goes on.
func (f *lossFleet) settle(x *lossExchange) bool {
	lost := x.dead || x.target.Boot != x.boot || !x.target.lostAt.IsZero()
	if !lost && x.request.Fingerprint == crasher && !f.now.Before(x.starts) {
		f.crasherAt = append(f.crasherAt, f.now)
		f.lose(x.target, f.crashAway)
		lost = true
	}
	report := ExchangeReport{}
	switch {
	case !lost && !f.now.Before(x.ends):
		report.Result = Responded
	case !f.now.Before(x.request.Deadline):
		report.Result = TimedOut
	case !f.now.Before(x.leaves):
		report.Result = Abandoned
	default:
		return false
	}
	next, _ := x.instance.engine.Finish(f.now, x.request, &x.send, report)
	if next != nil {
		f.dispatch(x.instance, x.request, *next, x.leaves, x.patience, x.retries)
	} else if report.Result != Responded && x.retries > 0 && x.request.Fingerprint != crasher {
		f.attempt(x.request.Fingerprint, x.patience, x.retries-1)
	}
	return true
}

func (f *lossFleet) exchangeReports() {
	byName := map[string]*Engine{}
	for _, n := range f.instances {
		byName[n.engine.self.Name] = n.engine
	}
	for _, n := range f.instances {
		m := n.engine.Poison().NextMessages(f.now)
		for name, other := range byName {
			if other == n.engine {
				continue
			}
			other.Poison().RecordReports(f.now, m.Reports[name])
			other.Poison().RecordVerdicts(f.now, m.Cleared[name])
			other.Poison().RecordVerdicts(f.now, m.New)
		}
	}
}

// late returns how many targets the crasher reached later than stable after the
// third one.
func (f *lossFleet) late(stable time.Duration) int {
	late := 0
	for i, at := range f.crasherAt {
		if i >= 3 && at.Sub(f.crasherAt[2]) > stable {
			late++
		}
	}
	return late
}

// Guards against a request that makes its targets fall silent, and is sent on
// since no connection was closed: its caller leaves or its time is over first, and
// the targets restart under their ids or disappear from the registry.
func TestRequestThatSilencesTargetsIsRefused(t *testing.T) {
	for _, away := range []time.Duration{1500 * time.Millisecond, 4300 * time.Millisecond, 8 * time.Second, 0} {
		for _, patience := range []time.Duration{300 * time.Millisecond, lossTimeout} {
			for _, period := range []time.Duration{time.Second, 2 * time.Second, 5 * time.Second} {
				for _, load := range []int{0, 1, 8, -3} {
					name := fmt.Sprintf("away %s, caller waits %s, every %s, load %d", away, patience, period, load)
					t.Run(name, func(t *testing.T) {
						is := is.New(t)
						f := newLossFleet(6, 30, 7)
						f.crashAway = away
						if load < 0 {
							load = -load
							for i, t := range f.targets {
								t.slowness = []float64{1, 12}[i%2]
							}
						}
						for f.now.Before(time.Unix(1_000_000, 0).Add(13*period + 5*time.Second)) {
							f.step()
							if f.now.UnixNano()%int64(period) < int64(lossStep) {
								f.request(crasher, patience)
							}
							for range load {
								if f.random.IntN(4) == 0 {
									f.request(100+f.random.Uint64N(500), time.Second)
								}
							}
						}
						t.Logf("%d targets lost, %d late; %d of %d others refused", len(f.crasherAt), f.late(3*time.Second), f.refusedOthers, f.sent)
						is.True(f.late(3*time.Second) <= 3)
						is.Equal(f.refusedOthers, 0)
					})
				}
			}
		}
	}
}

// TestSlowOrLostTargetsBlockNoRequest guards against popular and unlucky reads
// that are refused since exchanges with several targets ended without a response:
// targets are slow, lose power, leave without a notice or lapse while the registry
// is away, links lose responses, and callers leave early and send again.
func TestSlowOrLostTargetsBlockNoRequest(t *testing.T) {
	every := func(f *lossFleet, d time.Duration) bool { return f.now.UnixNano()%int64(d) < int64(lossStep) }
	zone := func(f *lossFleet, name string) (targets []*lossTarget) {
		for _, t := range f.targets {
			if t.Zone == name {
				targets = append(targets, t)
			}
		}
		return targets
	}
	cases := map[string]func(f *lossFleet, since time.Duration){
		"slow": func(f *lossFleet, since time.Duration) {
			for i, t := range f.targets {
				t.slowness = 1
				if i%2 == 0 && since%(20*time.Second) < 9*time.Second {
					t.slowness = 12
				}
			}
		},
		"slow, then lost": func(f *lossFleet, since time.Duration) {
			for i, t := range f.targets {
				t.slowness = 1
				if i%2 == 0 {
					t.slowness = 6
				}
			}
			if every(f, 3*time.Second) {
				f.lose(f.targets[f.random.IntN(len(f.targets))], 4300*time.Millisecond)
			}
		},
		"zone without power": func(f *lossFleet, since time.Duration) {
			if every(f, 15*time.Second) {
				for _, t := range zone(f, []string{"za", "zb", "zc"}[f.random.IntN(3)]) {
					f.lose(t, 6*time.Second+time.Duration(f.random.Int64N(int64(time.Second))))
				}
			}
		},
		"zone without power for a moment": func(f *lossFleet, since time.Duration) {
			if every(f, 10*time.Second) {
				for _, t := range zone(f, "zb") {
					f.lose(t, 1500*time.Millisecond)
				}
			}
		},
		"links lose responses, targets are lost": func(f *lossFleet, since time.Duration) {
			f.lostResponses = 0.1
			if every(f, 5*time.Second) {
				f.lose(f.targets[f.random.IntN(len(f.targets))], 4300*time.Millisecond)
			}
		},
		"targets leave without a notice": func(f *lossFleet, since time.Duration) {
			f.lostResponses = 0.02
			if every(f, time.Second) {
				f.leave(f.targets[f.random.IntN(len(f.targets))])
			}
		},
		"entries lapse while the registry is away": func(f *lossFleet, since time.Duration) {
			f.lostResponses = 0.05
			if every(f, 12*time.Second) {
				for _, t := range f.targets {
					id, record := t.ID, t.Record
					f.change(0, func(e *Engine) { e.DropTarget(f.now, id, 2200*time.Millisecond) })
					f.change(1500*time.Millisecond, func(e *Engine) { e.PutTarget(f.now, record) })
				}
			}
		},
	}
	for name, play := range cases {
		for _, perSecond := range []int{5, 50, 150} {
			t.Run(fmt.Sprintf("%s, %d a second", name, perSecond), func(t *testing.T) {
				is := is.New(t)
				refused, sent := 0, 0
				for seed := range uint64(4) {
					f := newLossFleet(6, 30, seed)
					f.callerRetries = 3
					popular := rand.NewZipf(f.random, 1.3, 4, 400)
					begin := f.now
					for f.now.Sub(begin) < time.Minute {
						play(f, f.now.Sub(begin))
						f.step()
						for due := float64(perSecond) * lossStep.Seconds(); due > 0; due-- {
							if f.random.Float64() < due {
								f.request(100+popular.Uint64(), 300*time.Millisecond+time.Duration(f.random.Int64N(int64(2*time.Second))))
							}
						}
					}
					refused += f.refusedOthers
					sent += f.sent
				}
				t.Logf("%d of %d requests refused", refused, sent)
				is.Equal(refused, 0)
			})
		}
	}
}
