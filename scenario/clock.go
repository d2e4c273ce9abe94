package scenario

import (
	"container/heap"
	"time"
)

// epoch is the start of every run; a fixed time keeps logs and keys the same.
var epoch = time.UnixMilli(1_800_000_000_000)

// timer is one scheduled step of a run.
type timer struct {
	at  time.Time
	seq uint64 // order of timers of the same time
	do  func()
}

type timerHeap []timer

func (h timerHeap) Len() int { return len(h) }
func (h timerHeap) Less(i, j int) bool {
	if h[i].at.Equal(h[j].at) {
		return h[i].seq < h[j].seq
	}
	return h[i].at.Before(h[j].at)
}
func (h timerHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push appends a timer; only container/heap calls it.
func (h *timerHeap) Push(x any) { *h = append(*h, x.(timer)) }

// Pop removes the last timer; only container/heap calls it.
func (h *timerHeap) Pop() any {
	last := len(*h) - 1
	t := (*h)[last]
	(*h)[last] = timer{}
	*h = (*h)[:last]
	return t
}

// clock is virtual time: it jumps from one timer to the next.
type clock struct {
	now    time.Time
	seq    uint64
	timers timerHeap
}

// after schedules a step; steps of the same time run in the order scheduled.
func (c *clock) after(d time.Duration, do func()) {
	c.seq++
	heap.Push(&c.timers, timer{at: c.now.Add(max(d, 0)), seq: c.seq, do: do})
}

// every repeats a step with a first delay.
func (c *clock) every(first, interval time.Duration, do func()) {
	c.after(first, func() {
		do()
		c.every(interval, interval, do)
	})
}

// run executes all steps before the end.
func (c *clock) run(end time.Time) {
	for len(c.timers) > 0 && c.timers[0].at.Before(end) {
		t := heap.Pop(&c.timers).(timer)
		c.now = t.at
		t.do()
	}
	c.now = end
}

// since returns the time since the start of the run.
func (c *clock) since() time.Duration { return c.now.Sub(epoch) }
