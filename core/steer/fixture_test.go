package steer

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
)

var start = time.Unix(1_000_000, 0)

var testZones = map[string]string{"a1": "a", "a2": "a", "b1": "b", "b2": "b", "c1": "c", "c2": "c"}

func testDocument(t *testing.T, version uint64) *Document {
	t.Helper()
	doc := &Document{
		Version: version,
		Routes: []Route{
			{Name: "read", Host: "h", Prefix: "/read/", Timeout: 800 * time.Millisecond, LatencyObjective: 300 * time.Millisecond,
				Priority: 1, Shares: []Share{{"s", 1}}, MaxAttempts: 2, Affinity: true},
			{Name: "order", Host: "h", Prefix: "/order/", Kind: NonIdempotent, Timeout: time.Second,
				LatencyObjective: 400 * time.Millisecond, Priority: 1, Shares: []Share{{"s", 1}}, MaxAttempts: 2},
			{Name: "split", Host: "h", Prefix: "/split/", Timeout: time.Second, LatencyObjective: 300 * time.Millisecond,
				Shares: []Share{{"s", 90}, {"s2", 10}}, MaxAttempts: 2},
			{Name: "home", Host: "home", Prefix: "/", Timeout: time.Second, LatencyObjective: 300 * time.Millisecond,
				Shares: []Share{{"s", 1}}, MaxAttempts: 2, Regions: []string{"b"}},
		},
		Services: map[string]Service{
			"s":  {Name: "s", MaxConnections: 100, Warmup: 3 * time.Second, ColdRate: 6.8},
			"s2": {Name: "s2", MaxConnections: 100, Warmup: 3 * time.Second, ColdRate: 6.8},
		},
	}
	if err := doc.Build(); err != nil {
		t.Fatal(err)
	}
	return doc
}

func testEngine(t *testing.T, name, zone string) *Engine {
	t.Helper()
	e := NewEngine(Config{
		Self: Self{Name: name, Zone: zone, Region: testZones[zone]}, Zones: testZones,
		Retry: RetryRule{Ratio: 0.2, Extra: 62, Window: 10 * time.Second},
	})
	e.SetDocument(testDocument(t, 1))
	return e
}

func testRecord(id, service, zone string) Record {
	return Record{ID: TargetID(id), Service: service, Address: "10.0.0.1:" + id, Zone: zone, Slots: 3, Sequence: 1, Boot: 1}
}

// addTargets adds n targets of a service in each zone.
func addTargets(e *Engine, service string, n int, zones ...string) {
	for _, zone := range zones {
		for i := range n {
			e.PutTarget(start, testRecord(fmt.Sprintf("%s-%s-%d", service, zone, i), service, zone))
		}
	}
}

func newTestRequest(e *Engine, now time.Time, path string, object uint64) *Request {
	host := "h"
	if path == "/" {
		host = "home"
	}
	route := e.Document().Match(host, path)
	return &Request{Route: route, Object: object, Fingerprint: mix(object, 7), Deadline: now.Add(route.Timeout)}
}

// finish ends an exchange with a result and no load report.
func finish(e *Engine, now time.Time, r *Request, s *Send, result Result) (*Send, *Refusal) {
	return e.Finish(now, r, s, ExchangeReport{Result: result})
}

// mustSend fails the test if the request is refused.
func mustSend(t *testing.T, e *Engine, now time.Time, r *Request) *Send {
	t.Helper()
	s, refusal := e.Arrive(now, r)
	is.New(t).True(refusal == nil)
	return &s
}
