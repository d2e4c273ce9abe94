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

// Count is what became of requests. Each is counted once, at its last attempt.
type Count struct {
	InTime  int `json:"in_time"`
	Late    int `json:"late"`
	Refused int `json:"refused"`
	// Failed requests may have run.
	Failed int `json:"failed"`
	// ColdRuns is the number of runs without the object at hand.
	ColdRuns int `json:"cold_runs"`
}

// Total is the number of requests.
func (c Count) Total() int { return c.InTime + c.Late + c.Refused + c.Failed }

// InTimeShare is the part of requests with an answer in time, or 0.
func (c Count) InTimeShare() float64 {
	if c.Total() == 0 {
		return 0
	}
	return float64(c.InTime) / float64(c.Total())
}

// Result is what a run measured.
type Result struct {
	// Work and Zones are in the order of the plan.
	Work  []Named `json:"work"`
	Zones []Named `json:"zones"`
	// Seconds holds the requests by the second of their arrival.
	Seconds []Count `json:"seconds"`
	settle  time.Duration
}

// Named is the count of a kind of work or a zone.
type Named struct {
	Name string `json:"name"`
	Count
	// P50 and P99 are quantiles of the time to an answer.
	P50 time.Duration `json:"p50_ns"`
	P99 time.Duration `json:"p99_ns"`

	took []time.Duration
}

func newResult(p *Plan) *Result {
	r := &Result{settle: p.Settle, Seconds: make([]Count, int((p.Length+time.Second-1)/time.Second))}
	for _, w := range p.Work {
		r.Work = append(r.Work, Named{Name: w.Name})
	}
	for _, z := range p.Zones {
		r.Zones = append(r.Zones, Named{Name: z.Name})
	}
	return r
}

// of returns the counts that a call belongs to.
func (r *Result) of(c *call) []*Named {
	return []*Named{find(r.Work, c.work.Name), find(r.Zones, c.zone.Name)}
}

func find(named []Named, name string) *Named {
	return &named[slices.IndexFunc(named, func(n Named) bool { return n.Name == name })]
}

// counted tells whether a call arrived after the time to settle.
func (r *Result) counted(c *call) bool { return c.arrived.Sub(c.world.start) >= r.settle }

// end counts a call; at is the time since the start.
func (r *Result) end(c *call, o outcome, at time.Duration) {
	arrived := c.arrived.Sub(c.world.start)
	took := at - arrived
	late := took > c.work.Aim
	r.Seconds[min(int(arrived/time.Second), len(r.Seconds)-1)].add(o, late)
	if !r.counted(c) {
		return
	}
	for _, n := range r.of(c) {
		n.add(o, late)
		if o == outcomeServed {
			n.took = append(n.took, took)
		}
	}
}

func (r *Result) cold(c *call) {
	if !r.counted(c) {
		return
	}
	for _, n := range r.of(c) {
		n.ColdRuns++
	}
}

func (c *Count) add(o outcome, late bool) {
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

// Merge adds up the results of several runs of one plan.
func Merge(results []*Result) *Result {
	sum := results[0]
	for _, r := range results[1:] {
		sum.Work = merge(sum.Work, r.Work)
		sum.Zones = merge(sum.Zones, r.Zones)
		for i := range sum.Seconds {
			sum.Seconds[i].plus(r.Seconds[i])
		}
	}
	sum.finish()
	return sum
}

func merge(a, b []Named) []Named {
	for i := range a {
		a[i].plus(b[i].Count)
		a[i].took = append(a[i].took, b[i].took...)
	}
	return a
}

func (c *Count) plus(other Count) {
	c.InTime += other.InTime
	c.Late += other.Late
	c.Refused += other.Refused
	c.Failed += other.Failed
	c.ColdRuns += other.ColdRuns
}

// finish computes the quantiles.
func (r *Result) finish() {
	for _, named := range [][]Named{r.Work, r.Zones} {
		for i := range named {
			n := &named[i]
			slices.Sort(n.took)
			n.P50, n.P99 = quantile(n.took, 0.5), quantile(n.took, 0.99)
		}
	}
}

func quantile(sorted []time.Duration, q float64) time.Duration {
	if len(sorted) == 0 {
		return 0
	}
	return sorted[min(int(q*float64(len(sorted))), len(sorted)-1)]
}
