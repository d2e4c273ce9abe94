// Package virtual provides a virtual clock for models and tests. The clock jumps
// from one scheduled event to the next, so that hours take seconds and runs are
// reproducible.
package virtual

import (
	"container/heap"
	"time"
)

// Clock is a virtual clock with its scheduled events. It is not safe for
// concurrent use.
type Clock struct {
	// Now is the current virtual time, which is that of the event being run. Set
	// it only before the first event.
	Now      time.Time
	sequence uint64
	events   eventHeap
}

// After schedules run after a delay; a negative delay is treated as 0. Events of
// the same time run in the order in which they were scheduled.
func (c *Clock) After(delay time.Duration, run func()) {
	c.sequence++
	heap.Push(&c.events, event{at: c.Now.Add(max(delay, 0)), sequence: c.sequence, run: run})
}

// Every schedules run after first and then after each interval, until run
// returns false.
func (c *Clock) Every(first, interval time.Duration, run func() bool) {
	c.After(first, func() {
		if run() {
			c.Every(interval, interval, run)
		}
	})
}

// Forever returns a function for Every that calls run and never ends the series.
func Forever(run func()) func() bool {
	return func() bool {
		run()
		return true
	}
}

// RunBefore runs all events that are scheduled before end and sets Now to end.
func (c *Clock) RunBefore(end time.Time) {
	for len(c.events) > 0 && c.events[0].at.Before(end) {
		c.runNext()
	}
	c.Now = end
}

// RunTo runs all events that are scheduled up to and including end and sets Now
// to end.
func (c *Clock) RunTo(end time.Time) {
	for len(c.events) > 0 && !c.events[0].at.After(end) {
		c.runNext()
	}
	c.Now = end
}

// RunAll runs until no event is scheduled.
func (c *Clock) RunAll() {
	for len(c.events) > 0 {
		c.runNext()
	}
}

func (c *Clock) runNext() {
	e := heap.Pop(&c.events).(event)
	c.Now = e.at
	e.run()
}

// event is a function scheduled to run at a time.
type event struct {
	at       time.Time
	sequence uint64
	run      func()
}

// eventHeap is a heap of events, ordered by time and then by sequence.
type eventHeap []event

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(i, j int) bool {
	return h[i].at.Before(h[j].at) || h[i].at.Equal(h[j].at) && h[i].sequence < h[j].sequence
}
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push appends an event; only container/heap calls it.
func (h *eventHeap) Push(x any) { *h = append(*h, x.(event)) }

// Pop removes the last event; only container/heap calls it.
func (h *eventHeap) Pop() any {
	last := len(*h) - 1
	popped := (*h)[last]
	(*h)[last] = event{}
	*h = (*h)[:last]
	return popped
}
