package traffic

import (
	"testing"
	"time"

	"pistachioford.example/core/document"
	"pistachioford.example/core/idempotency"
)

// BenchmarkDecision measures a request from its arrival to its release: the
// choice of a target among 20, the end of the exchange and the reply.
func BenchmarkDecision(b *testing.B) {
	e, now := benchEngine(20)
	ev := RequestArrived{Service: readNormal, HomeRegion: 0, Replayable: true}
	benchRequests(b, e, now, ev)
}

// BenchmarkDecisionKeyed measures the same path for an order with a key.
func BenchmarkDecisionKeyed(b *testing.B) {
	e, now := benchEngine(20)
	e.keys = idempotency.NewStore(idempotency.Limits{Keys: b.N, Bytes: 1 << 40})
	keys := make([]string, b.N)
	for i := range keys {
		keys[i] = keyAt("a1", i&1, now, i)
	}
	var response Response = testResponse{}
	b.ReportAllocs()
	b.ResetTimer()
	for i := range b.N {
		id := RequestID(i)
		e.Handle(now, RequestArrived{ID: id, Service: order, Key: keys[i], HomeRegion: 0, Replayable: true})
		e.Handle(now, ExchangeEnded{ID: id, Attempt: 1, Response: response, Latency: time.Millisecond})
	}
}

// BenchmarkDecisionFull measures arrivals and cancellations while all slots are
// busy and 100 requests wait: the wait estimate, the search for a peer, of
// which none qualifies, and the queue.
func BenchmarkDecisionFull(b *testing.B) {
	e, now := benchEngine(20)
	for i := range 60 + 100 {
		e.Handle(now, RequestArrived{ID: RequestID(1<<40 + i), Service: readNormal, HomeRegion: 0})
	}
	var ev Event
	b.ReportAllocs()
	for i := range b.N {
		id := RequestID(i)
		ev = RequestArrived{ID: id, Service: readNormal, HomeRegion: 0}
		e.Handle(now, ev)
		e.Handle(now, RequestCanceled{id})
	}
}

func benchEngine(targets int) (*Engine, time.Time) {
	now := time.Unix(1_700_000_000, 0)
	e := New(Config{Self: "p1", Zone: "a1"})
	e.Handle(now, DocumentChanged{testDocument(targets)})
	e.Handle(now, ShardsChanged{shardsOf(0, 0, 1)})
	e.Handle(now, PeersChanged{[]PeerInfo{
		{ID: "p2", Zone: 1, Shards: []document.ShardID{{Zone: 1}}},
		{ID: "p3", Zone: 2, Shards: []document.ShardID{{Zone: 2}}},
	}})
	return e, now
}

// benchRequests runs batches of requests. It reports the time of a request from
// its arrival to its Send as a metric of its own.
func benchRequests(b *testing.B, e *Engine, now time.Time, ev RequestArrived) {
	const batch = 32
	var response Response = testResponse{}
	var arrivals time.Duration
	b.ReportAllocs()
	for i := 0; i < b.N; i += batch {
		began := time.Now()
		for id := range RequestID(batch) {
			ev.ID = id
			e.Handle(now, ev)
		}
		arrivals += time.Since(began)
		now = now.Add(time.Millisecond)
		for id := range RequestID(batch) {
			e.Handle(now, ExchangeEnded{ID: id, Attempt: 1, Response: response, Latency: time.Millisecond})
		}
	}
	b.ReportMetric(float64(arrivals.Nanoseconds())/float64(b.N), "ns/arrival-to-send")
}
