package steer

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestRetriesOfAFleetStayInTheBudget guards against a large fleet whose instances
// each keep a small reserve of retries that together exceeds the budget, when all
// targets of a service begin to fail after a quiet time.
func TestRetriesOfAFleetStayInTheBudget(t *testing.T) {
	for _, fleet := range []struct {
		instances int
		// extra is RetryRule.Extra, perSecond the requests for the service.
		extra, perSecond float64
	}{
		{11, 62, 60}, {12, 64, 88}, {63, 166, 150}, {74, 188, 156}, {74, 188, 368}, {195, 430, 172}, {195, 430, 405},
	} {
		// What happens when the targets begin to fail: nothing, every fifth request
		// finds its instance just restarted, or all instances have just started and
		// know no others for a second.
		for _, start := range []string{"running", "waves", "power loss"} {
			t.Run(fmt.Sprintf("%d instances, %g per second, %s", fleet.instances, fleet.perSecond, start), func(t *testing.T) {
				testRetriesOfAFleet(t, fleet.instances, fleet.perSecond, RetryRule{Ratio: 0.2, Extra: fleet.extra, Window: 10 * time.Second}, start)
			})
		}
	}
}

func testRetriesOfAFleet(t *testing.T, instances int, perSecond float64, rule RetryRule, restart string) {
	newEngine := func(known int) *Engine {
		e := NewEngine(Config{Self: Self{Name: "i", Zone: "a1", Region: "a"}, Zones: testZones, Retry: rule})
		e.SetInstances(known, nil, true)
		return e
	}
	engines := make([]*Engine, instances)
	for i := range engines {
		engines[i] = newEngine(instances - 1)
	}
	step := time.Duration(float64(time.Second) / perSecond)
	failsAt := start.Add(30 * time.Second)
	retries, requests := 0.0, 0.0
	for i, now := 0, start; now.Before(failsAt.Add(rule.Window)); i, now = i+1, now.Add(step) {
		since := now.Sub(failsAt)
		switch {
		case restart == "waves" && i%5 == 0 && since > 0 && since < 2*time.Second:
			engines[i%len(engines)] = newEngine(instances - 1)
		case restart == "power loss" && since >= 0 && since < step:
			for j := range engines {
				engines[j] = newEngine(0)
			}
		case restart == "power loss" && since >= time.Second && since < time.Second+step:
			for _, e := range engines {
				e.SetInstances(instances-1, nil, true)
			}
		}
		e := engines[i%len(engines)]
		e.creditRequest(now, "s")
		if since < 0 {
			continue
		}
		requests++
		// Each attempt fails, and a request has four at most.
		for range 3 {
			if e.takeRetryToken(now, "s") {
				retries++
			}
		}
	}
	allowed := rule.Ratio*requests + rule.Extra
	t.Logf("%.0f retries, %.0f allowed", retries, allowed)
	is.New(t).True(retries <= allowed)
}

// TestDiscardedResponseIsRetriedWithinTheBudget guards against a response that was
// given up here and counts against its target, and against a second run that does
// not count towards the retry budget, or of a request that must run once.
func TestDiscardedResponseIsRetriedWithinTheBudget(t *testing.T) {
	for _, path := range []string{"/read/1", "/order/1"} {
		t.Run(path, func(t *testing.T) {
			is := is.New(t)
			e := testEngine(t, "i", "a1")
			addTargets(e, "s", 3, "a1")
			const requests = 2000
			retries := 0
			for range requests {
				r := newTestRequest(e, start, path, 5)
				s := mustSend(t, e, start, r)
				is.True(s.target.health.ejectedUntil.IsZero())
				next, refusal := finish(e, start, r, s, Discarded)
				is.True(r.MayHaveRun())
				is.Equal(refusal != nil, next == nil)
				if next != nil {
					retries++
					_, refusal = finish(e, start, r, next, Responded)
					is.True(refusal == nil)
				}
			}
			is.Equal(retries > 0, path == "/read/1")
			rule := RetryRule{Ratio: 0.2, Extra: 62}
			is.True(float64(retries) <= rule.Ratio*requests+rule.Extra)
		})
	}
}
