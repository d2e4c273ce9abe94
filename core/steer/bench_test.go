package steer

import (
	"testing"
	"time"
)

// BenchmarkArrive measures the decision on a request among 120 targets in 6
// zones.
func BenchmarkArrive(b *testing.B) {
	e := NewEngine(Config{Self: Self{Name: "i", Zone: "a1", Region: "a"}, Zones: testZones,
		Retry: RetryRule{Ratio: 0.2, Extra: 62, Window: 10 * time.Second}})
	route := &Route{Name: "read", Timeout: 800 * time.Millisecond, LatencyObjective: 300 * time.Millisecond,
		Shares: []Share{{"s", 1}}, MaxAttempts: 2, Affinity: true}
	addTargets(e, "s", 20, "a1", "a2", "b1", "b2", "c1", "c2")
	e.Tick(start)
	b.ReportAllocs()
	now := start
	for i := 0; b.Loop(); i++ {
		now = now.Add(time.Millisecond)
		r := &Request{Route: route, Object: uint64(i%500 + 1), Deadline: now.Add(time.Second)}
		s, refusal := e.Arrive(now, r)
		if refusal != nil {
			b.Fatal(refusal.Reason)
		}
		e.Finish(now, r, &s, ExchangeReport{Result: Responded})
	}
}
