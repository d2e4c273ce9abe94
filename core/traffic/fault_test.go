package traffic

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"pistachioford.example/core/document"
	"pistachioford.example/core/idempotency"
)

// faultParts subtests run in parallel; together they check faultTotal
// sequences.
const (
	faultParts = 8
	faultTotal = 100_000
)

// TestMain sets the seed and the number of the generated sequences, unless they
// are given as flags.
func TestMain(m *testing.M) {
	flag.Parse()
	for name, value := range map[string]string{"rapid.seed": "20261204", "rapid.checks": fmt.Sprint(faultChecks)} {
		if f := flag.Lookup(name); f.Value.String() == f.DefValue {
			_ = flag.Set(name, value)
		}
	}
	os.Exit(m.Run())
}

// TestFaultSequences guards against duplicate runs, false "not run" replies,
// wrong responses, lost or duplicate replies, and the use of slots that an
// instance does not own.
func TestFaultSequences(t *testing.T) {
	for part := range faultParts {
		t.Run(fmt.Sprint(part), func(t *testing.T) {
			t.Parallel()
			rapid.Check(t, func(t *rapid.T) {
				if violation := faultSequence(t, uint64(part), nil, nil).verify(); violation != "" {
					t.Fatal(violation)
				}
			})
		})
	}
}

// faultSequence runs one generated sequence of requests and faults.
func faultSequence(t *rapid.T, part uint64, mutate func(*Engine), actionCounts map[string]int) *world {
	w := newWorld(rapid.Uint64().Draw(t, "seed")+part, firstRevision, secondRevision)
	w.mutate, w.actionCounts = mutate, actionCounts
	w.faults = drawFaults(t)
	startNodes(w)
	end := w.Now.Add(700 * time.Millisecond)
	w.tickEvery(40*time.Millisecond, w.Now.Add(4*time.Second))
	for range rapid.IntRange(1, 3).Draw(t, "events") {
		at := time.Duration(w.random.IntN(600)) * time.Millisecond
		kind := rapid.IntRange(0, 7).Draw(t, "event")
		w.After(at, func() { w.injectEvent(kind) })
	}
	w.hintsEvery(100*time.Millisecond, end)
	window := rapid.SampledFrom([]int{20, 100, 700}).Draw(t, "window")
	requests := rapid.IntRange(5, 30).Draw(t, "requests")
	if rapid.IntRange(0, 5).Draw(t, "flood") == 0 {
		w.backgroundFraction, requests = 0.7, 4*requests
		w.serviceTime = func(r *rand.Rand) time.Duration { return time.Duration(100+r.IntN(150)) * time.Millisecond }
	}
	for i := range requests {
		at := time.Duration(w.random.IntN(window)) * time.Millisecond
		w.After(at, func() { w.randomRequest(i) })
	}
	w.RunTo(w.Now.Add(4 * time.Second))
	return w
}

var firstRevision, secondRevision = testDocument(2), changedDocument(testDocument(2))

func drawFaults(t *rapid.T) faults {
	level := rapid.SampledFrom([]float64{0, 0, 0, 0.05, 0.3})
	draw := func(name string) float64 { return level.Draw(t, name) }
	return faults{
		fail: draw("fail"), shed: draw("shed"), refused: draw("refused"), breakBefore: draw("breakBefore"),
		breakAfter: draw("breakAfter"), hang: draw("hang"), stream: draw("stream"), linkRefused: draw("linkRefused"),
		linkLost: draw("linkLost"), replyLost: draw("replyLost"), cancel: draw("cancel"), ackLost: draw("ackLost"),
	}
}

// changedDocument turns a test document into the second revision, with other
// service IDs, a target with fewer slots, a draining target and a target
// removed from its group.
func changedDocument(c *document.Compiled) *document.Compiled {
	c.Revision = 2
	c.Services = append([]document.Service{{Name: "new", Deadline: time.Second}}, c.Services...)
	for i := range c.Shifts {
		c.Shifts[i].Service++
	}
	c.Targets[0].Slots, c.Targets[1].Draining = 2, true
	c.Groups[1].Targets[0] = c.Groups[1].Targets[0][1:]
	return c
}

func (w *world) hintsEvery(d time.Duration, end time.Time) {
	w.exchangeHints()
	if w.Now.Before(end) {
		w.After(d, func() { w.hintsEvery(d, end) })
	}
}

// injectEvent applies one kind of event to a random node: a new document, a
// restart, a move of its shards, draining, a leaving target, arbitrary load
// reports, a hint dated in the future, or an empty list of peers.
func (w *world) injectEvent(kind int) {
	n := w.nodes[w.random.IntN(len(w.nodes))]
	switch kind {
	case 0:
		n.applyDocument(w.docs[1])
	case 1:
		if !n.alive {
			return
		}
		n.kill()
		w.moveShards(n)
		w.After(100*time.Millisecond, func() { n.start(); w.updatePeers() })
	case 2:
		w.moveShards(n)
	case 3:
		n.draining = true
		n.handle(Draining{})
	case 4:
		n.handle(TargetLeaving{Target: document.TargetID(w.random.IntN(len(n.doc.Targets))), Seen: w.Now})
	case 5:
		for t := range n.doc.Targets {
			n.handle(LoadReported{Target: document.TargetID(t), Utilization: w.random.Float64() * 2, At: w.Now})
		}
	case 6:
		n.handle(PeerLoad{Peer: "n0", At: w.Now.Add(time.Hour), Free: []uint16{9, 9}, Wait: make([]time.Duration, 2)})
	case 7:
		n.handle(PeersChanged{})
	}
	w.updatePeers()
}

// moveShards removes the node's shards. Another node of the zone, or the same
// one if there is no other, gets them after a quarantine longer than all
// deadlines.
func (w *world) moveShards(n *node) {
	moved := n.held
	n.setShards(nil)
	successor := w.nodes[0]
	if n == successor {
		successor = w.nodes[1]
	}
	if n.zone != successor.zone {
		successor = n
	}
	w.After(1100*time.Millisecond, func() {
		for _, h := range moved {
			h.OwnedSince = w.Now
			successor.setShards(append(append([]HeldShard(nil), successor.held...), h))
		}
		w.updatePeers()
	})
}

// randomRequest sends one request and, if it has a key, up to 2 duplicates
// later.
func (w *world) randomRequest(i int) {
	n := w.nodes[w.random.IntN(len(w.nodes))]
	if !n.alive {
		return
	}
	service := &w.docs[0].Services[w.random.IntN(5)]
	if w.chance(w.backgroundFraction) {
		service = &w.docs[0].Services[readBackground]
	}
	c := &clientRequest{identity: fmt.Sprint("w", i), nonIdempotent: !service.Idempotent, service: service.Name}
	ev := RequestArrived{
		Fingerprint: uint64(1 + i), BodyBytes: int64(w.random.IntN(50_000)),
		Replayable: w.random.IntN(4) > 0, HomeRegion: w.random.IntN(3) - 1,
	}
	if w.random.IntN(4) == 0 {
		ev.Deadline = w.Now.Add(time.Duration(50+w.random.IntN(400)) * time.Millisecond)
	}
	if w.random.IntN(2) == 0 {
		ev.Key = keyAt(n.doc.Zones[w.random.IntN(3)].Name, w.random.IntN(2), w.Now, i)
		if w.random.IntN(6) == 0 {
			ev.Key = fmt.Sprint("bare", i)
		}
		w.resend(c, ev, w.random.IntN(3))
	}
	w.sendAndMaybeCancel(n, c, ev)
}

func (w *world) sendAndMaybeCancel(n *node, c *clientRequest, ev RequestArrived) {
	id := n.submit(c, ev)
	engine := n.engine
	if w.chance(w.faults.cancel) {
		w.After(time.Duration(w.random.IntN(100))*time.Millisecond, func() {
			if n.engine == engine {
				n.cancel(id)
			}
		})
	}
}

// resend sends duplicates with the same key through random nodes, also after
// the owner was lost.
func (w *world) resend(c *clientRequest, ev RequestArrived, times int) {
	for range times {
		n := w.nodes[w.random.IntN(len(w.nodes))]
		w.After(time.Duration(w.random.IntN(2000))*time.Millisecond, func() {
			if n.alive {
				w.sendAndMaybeCancel(n, &clientRequest{identity: c.identity, nonIdempotent: c.nonIdempotent, service: c.service}, ev)
			}
		})
	}
}

// TestFaultSequencesReachEveryPath guards against generated sequences that no
// longer produce the actions, outcomes and counts that the observers check.
func TestFaultSequencesReachEveryPath(t *testing.T) {
	actionCounts, counts := map[string]int{}, map[IncrementCounter]int{}
	for i := range 1000 {
		rapid.Custom(func(t *rapid.T) int {
			w := faultSequence(t, uint64(i), nil, actionCounts)
			for c, n := range w.counts {
				counts[c] += n
			}
			return 0
		}).Example(i)
	}
	for _, kind := range []string{
		"traffic.Send", "traffic.Forward", "traffic.CancelExchange", "traffic.BroadcastPoison", "traffic.BroadcastLeaving",
		"outcome 0 false", "outcome 0 true", "outcome 1 false", "outcome 2 false",
	} {
		if actionCounts[kind] < 10 {
			t.Errorf("%s occurred %d times, want at least 10", kind, actionCounts[kind])
		}
	}
	for _, c := range []IncrementCounter{{CountRetry, ReasonBroken}, {CountRetry, ReasonPreempted}, {CountRefusal, ReasonDeadline}} {
		if counts[c] < 10 {
			t.Errorf("%+v was counted %d times, want at least 10", c, counts[c])
		}
	}
}

// TestObserversDetectMutations guards against observers that detect nothing:
// each broken decision must lead to the expected violation within 3000
// sequences.
func TestObserversDetectMutations(t *testing.T) {
	cases := map[string]struct {
		mutate    func(*Engine)
		violation string
	}{
		"owner forgets keys": {func(e *Engine) { e.keys = idempotency.NewStore(idempotency.DefaultLimits) }, "ran twice"},
		"order is retried":   {func(e *Engine) { e.services.rows[e.services.byName["order"]].idempotent = true }, "ran twice"},
		"one slot too many":  {func(e *Engine) { e.targets.SetOwned(0, 3) }, "owns"},
		"run is forgotten": {func(e *Engine) {
			for i := range e.requests.rows {
				e.requests.rows[i].mayHaveRun = false
			}
		}, "got the outcome not run"},
		"exchanges are mixed up": {func(e *Engine) {
			if len(e.requests.rows) > 1 && e.requests.rows[0].state == stateUpstream && e.requests.rows[1].state == stateUpstream {
				e.requests.byID[e.requests.rows[0].id], e.requests.byID[e.requests.rows[1].id] = 1, 0
			}
		}, "response to"},
		"reply is lost": {func(e *Engine) {
			for i := range e.requests.rows {
				e.requests.rows[i].replied = e.requests.rows[i].state == stateUpstream
			}
		}, "no reply"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			for i := range 3000 {
				sequence := rapid.Custom(func(t *rapid.T) string { return faultSequence(t, uint64(i), c.mutate, nil).verify() })
				if strings.Contains(sequence.Example(i), c.violation) {
					return
				}
			}
			t.Fatal("no observer detected the broken decision")
		})
	}
}
