package idempotency

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// testResponse is a response of the given size.
type testResponse int

func (b testResponse) Size() int { return int(b) }

func newRequest(text string, fingerprint uint64, ownedSince time.Time) Request {
	key, err := Parse(text)
	if err != nil {
		panic(err)
	}
	return Request{Key: key, Fingerprint: fingerprint, ID: 7, OwnedSince: ownedSince, Retention: time.Hour}
}

// Guards against a second run of a key that may have run before.
func TestBeginByAge(t *testing.T) {
	longBefore := start.Add(-10 * time.Hour)
	cases := map[string]struct {
		key        string
		ownedSince time.Time
		want       Action
	}{
		"new":                      {uuid7(start, 1), longBefore, Run},
		"slightly ahead":           {uuid7(start.Add(2*time.Second), 1), longBefore, Run},
		"ahead":                    {uuid7(start.Add(3*time.Second), 1), longBefore, FromFuture},
		"at the retention":         {uuid7(start.Add(-time.Hour), 1), longBefore, Run},
		"past the retention":       {uuid7(start.Add(-time.Hour-time.Second), 1), longBefore, Expired},
		"before takeover":          {uuid7(start, 1), start.Add(time.Second), BeforeTakeover},
		"within the margin":        {uuid7(start, 1), start.Add(-2 * time.Second), BeforeTakeover},
		"after the margin":         {uuid7(start, 1), start.Add(-3 * time.Second), Run},
		"no time, recent takeover": {"order-1", start.Add(-time.Hour + time.Second), BeforeTakeover},
		"no time, old takeover":    {"order-1", start.Add(-time.Hour), Run},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			is.Equal(NewStore(DefaultLimits).Begin(start, newRequest(c.key, 1, c.ownedSince)).Action, c.want)
		})
	}
}

// Guards against a duplicate of a request that runs again or gets the response
// to another request.
func TestDuplicateRequests(t *testing.T) {
	is := is.New(t)
	s := NewStore(DefaultLimits)
	r := newRequest("order-1", 1, start.Add(-2*time.Hour))
	is.Equal(s.Begin(start, r).Action, Run)
	is.Equal(s.Begin(start, r), Decision{Action: Wait, Running: 7})
	is.Equal(s.Begin(start, newRequest("order-1", 2, r.OwnedSince)).Action, Reused)
	s.Forget("order-1")
	is.Equal(s.Begin(start, r).Action, Run)
	s.RecordResponse(start, "order-1", testResponse(10), time.Hour)
	s.Forget("order-1") // a finished record stays
	is.Equal(s.Begin(start.Add(time.Hour), r), Decision{Action: Replay, Response: testResponse(10)})
	is.Equal(s.Begin(start.Add(time.Hour+3*time.Second), r).Action, Run)
	s.RecordResponse(start, "order-1", testResponse(MaxResponseBytes+1), time.Hour)
	is.Equal(s.Begin(start, r).Action, OutcomeUnknown)
}

// Guards against early evictions, unbounded memory and a byte count that
// drifts.
func TestStoreIsBounded(t *testing.T) {
	is := is.New(t)
	s := NewStore(Limits{Keys: 100, Bytes: 64 << 10})
	longBefore := start.Add(-2 * time.Hour)
	accepted := 0
	for i := range 1000 {
		key := fmt.Sprint("order-", i)
		if s.Begin(start, newRequest(key, 1, longBefore)).Action == Run {
			accepted++
			s.RecordResponse(start, key, testResponse(2000), time.Hour)
		}
	}
	is.True(accepted > 20 && accepted <= 100)
	is.True(s.bytes <= 64<<10)
	is.Equal(s.Begin(start, newRequest("order-0", 1, longBefore)).Action, Replay)
	is.Equal(s.Begin(start, newRequest("order-999", 1, longBefore)).Action, Full)
	is.Equal(s.Begin(start.Add(2*time.Hour), newRequest("order-999", 1, longBefore)).Action, Run)
	s.Forget("order-999")
	is.Equal(s.bytes, int64(0))
	is.Equal(s.Len(), 0)
}

// Guards against a key that runs twice after some sequence of duplicates, ends
// of requests, clock steps and takeovers.
func TestNoKeyRunsTwice(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := NewStore(Limits{Keys: 5, Bytes: 1 << 20})
		now, ownedSince := start, start.Add(-2*time.Hour)
		ran, active := map[string]bool{}, map[string]bool{}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 900).Draw(t, "seconds")) * time.Second)
			key := uuid7(start.Add(time.Duration(rapid.IntRange(0, 7200).Draw(t, "created"))*time.Second), 0)
			switch rapid.IntRange(0, 4).Draw(t, "event") {
			case 0: // another instance takes over without records
				s, ownedSince = NewStore(Limits{Keys: 5, Bytes: 1 << 20}), now
				active = map[string]bool{}
			case 1:
				if active[key] {
					s.RecordResponse(now, key, testResponse(1), time.Hour)
					delete(active, key)
				}
			case 2:
				if active[key] {
					s.Forget(key)
					delete(active, key)
					delete(ran, key)
				}
			default:
				if s.Begin(now, newRequest(key, 1, ownedSince)).Action == Run {
					if ran[key] {
						t.Fatalf("key %s ran twice", key)
					}
					ran[key], active[key] = true, true
				}
			}
		}
	})
}
