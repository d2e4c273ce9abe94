// Package virtual is a clock for models and tests: it jumps from one scheduled
// step to the next, so that hours play in seconds and a run always repeats.
package virtual

import (
	"container/heap"
	"time"
)

// Clock is virtual time. It is not safe for concurrent use.
type Clock struct {
	// Now is the time of the step that runs. Set it only before the first step.
	Now   time.Time
	order uint64
	steps steps
}

// After schedules a step. Steps of the same time run in the order scheduled.
func (c *Clock) After(d time.Duration, do func()) {
	c.order++
	heap.Push(&c.steps, step{at: c.Now.Add(max(d, 0)), order: c.order, do: do})
}

// Every repeats a step until it returns false.
func (c *Clock) Every(first, interval time.Duration, do func() bool) {
	c.After(first, func() {
		if do() {
			c.Every(interval, interval, do)
		}
	})
}

// Forever makes a step for Every that never ends.
func Forever(do func()) func() bool {
	return func() bool {
		do()
		return true
	}
}

// RunBefore runs all steps before a time, which is then the time.
func (c *Clock) RunBefore(end time.Time) {
	for len(c.steps) > 0 && c.steps[0].at.Before(end) {
		c.next()
	}
	c.Now = end
}

// RunTo runs all steps up to a time, which is then the time.
func (c *Clock) RunTo(end time.Time) {
	for len(c.steps) > 0 && !c.steps[0].at.After(end) {
		c.next()
	}
	c.Now = end
}

// RunAll runs until no step is left.
func (c *Clock) RunAll() {
	for len(c.steps) > 0 {
		c.next()
	}
}

func (c *Clock) next() {
	s := heap.Pop(&c.steps).(step)
	c.Now = s.at
	s.do()
}

// step is something that happens at a time.
type step struct {
	at    time.Time
	order uint64
	do    func()
}

type steps []step

func (s steps) Len() int { return len(s) }
func (s steps) Less(i, j int) bool {
	return s[i].at.Before(s[j].at) || s[i].at.Equal(s[j].at) && s[i].order < s[j].order
}
func (s steps) Swap(i, j int) { s[i], s[j] = s[j], s[i] }

// Push appends a step; only container/heap calls it.
func (s *steps) Push(x any) { *s = append(*s, x.(step)) }

// Pop removes the last step; only container/heap calls it.
func (s *steps) Pop() any {
	last := len(*s) - 1
	popped := (*s)[last]
	(*s)[last] = step{}
	*s = (*s)[:last]
	return popped
}
