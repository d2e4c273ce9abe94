package model

import (
	"slices"
	"time"
)

// outcome is how a request ended for its caller.
type outcome uint8

const (
	outcomeServed outcome = iota
	outcomeRefused
	outcomeFailed
)

// Counts counts requests by outcome. Each request is counted once, at its last
// attempt.
type Counts struct {
	InTime  int `json:"in_time"`
	Late    int `json:"late"`
	Refused int `json:"refused"`
	// Failed requests may have run.
	Failed int `json:"failed"`
	// ColdRuns is the number of runs for which the object was not cached.
	ColdRuns int `json:"cold_runs"`
}

// Total returns the number of requests.
func (c Counts) Total() int { return c.InTime + c.Late + c.Refused + c.Failed }

// InTimeShare returns the fraction of requests with a response in time, 0 if
// there are no requests.
func (c Counts) InTimeShare() float64 {
	if c.Total() == 0 {
		return 0
	}
	return float64(c.InTime) / float64(c.Total())
}

// Result holds the measurements of a run.
type Result struct {
	// Work and Zones are in the order of the plan.
	Work  []Named `json:"work"`
	Zones []Named `json:"zones"`
	// Seconds holds the requests by the second of their arrival.
	Seconds []Counts `json:"seconds"`
	settle  time.Duration
	// delaysExpired is the number of delayed requests that were neither sent nor
	// refused until their deadlines.
	delaysExpired int
}

// Named holds the counts and response times of a kind of work or a zone.
type Named struct {
	Name string `json:"name"`
	Counts
	// P50 and P99 are quantiles of the response time.
	P50 time.Duration `json:"p50_ns"`
	P99 time.Duration `json:"p99_ns"`

	responseTimes []time.Duration
}

func newResult(p *Plan) *Result {
	r := &Result{settle: p.Settle, Seconds: make([]Counts, int((p.Length+time.Second-1)/time.Second))}
	for _, w := range p.Work {
		r.Work = append(r.Work, Named{Name: w.Name})
	}
	for _, z := range p.Zones {
		r.Zones = append(r.Zones, Named{Name: z.Name})
	}
	return r
}

// countsOf returns the entries of a call's kind of work and zone.
func (r *Result) countsOf(c *call) []*Named {
	return []*Named{findByName(r.Work, c.work.Name), findByName(r.Zones, c.zone.Name)}
}

func findByName(named []Named, name string) *Named {
	return &named[slices.IndexFunc(named, func(n Named) bool { return n.Name == name })]
}

// isCounted reports whether a call arrived after the settle time.
func (r *Result) isCounted(c *call) bool { return c.arrived.Sub(c.sim.loadStart) >= r.settle }

// recordOutcome counts a call that ended when a time had elapsed since the start
// of the load. Seconds includes calls that arrived in the settle time.
func (r *Result) recordOutcome(c *call, o outcome, elapsed time.Duration) {
	arrived := c.arrived.Sub(c.sim.loadStart)
	responseTime := elapsed - arrived
	late := responseTime > c.work.LatencyObjective
	r.Seconds[min(int(arrived/time.Second), len(r.Seconds)-1)].record(o, late)
	if !r.isCounted(c) {
		return
	}
	for _, n := range r.countsOf(c) {
		n.record(o, late)
		if o == outcomeServed {
			n.responseTimes = append(n.responseTimes, responseTime)
		}
	}
}

// recordColdRun counts a run for which the object was not cached.
func (r *Result) recordColdRun(c *call) {
	if !r.isCounted(c) {
		return
	}
	for _, n := range r.countsOf(c) {
		n.ColdRuns++
	}
}

func (c *Counts) record(o outcome, late bool) {
	switch {
	case o == outcomeRefused:
		c.Refused++
	case o == outcomeFailed:
		c.Failed++
	case late:
		c.Late++
	default:
		c.InTime++
	}
}

// Merge adds up the results of several runs of one plan. It modifies and returns
// the first.
func Merge(results []*Result) *Result {
	sum := results[0]
	for _, r := range results[1:] {
		sum.Work = mergeNamed(sum.Work, r.Work)
		sum.Zones = mergeNamed(sum.Zones, r.Zones)
		for i := range sum.Seconds {
			sum.Seconds[i].add(r.Seconds[i])
		}
	}
	sum.computeQuantiles()
	return sum
}

func mergeNamed(a, b []Named) []Named {
	for i := range a {
		a[i].add(b[i].Counts)
		a[i].responseTimes = append(a[i].responseTimes, b[i].responseTimes...)
	}
	return a
}

func (c *Counts) add(other Counts) {
	c.InTime += other.InTime
	c.Late += other.Late
	c.Refused += other.Refused
	c.Failed += other.Failed
	c.ColdRuns += other.ColdRuns
}

// computeQuantiles sorts the response times and sets P50 and P99.
func (r *Result) computeQuantiles() {
	for _, named := range [][]Named{r.Work, r.Zones} {
		for i := range named {
			n := &named[i]
			slices.Sort(n.responseTimes)
			n.P50, n.P99 = quantile(n.responseTimes, 0.5), quantile(n.responseTimes, 0.99)
		}
	}
}

func quantile(sorted []time.Duration, q float64) time.Duration {
	if len(sorted) == 0 {
		return 0
	}
	return sorted[min(int(q*float64(len(sorted))), len(sorted)-1)]
}
