package fleet

import (
	"container/heap"
	"time"
)

// epoch is the start of every run; a fixed time keeps runs the same.
var epoch = time.UnixMilli(1_800_000_000_000)

// timer is one scheduled step of a run.
type timer struct {
	at  time.Time
	seq uint64 // order of timers of the same time
	do  func()
}

type timers []timer

func (t timers) Len() int { return len(t) }
func (t timers) Less(i, j int) bool {
	return t[i].at.Before(t[j].at) || t[i].at.Equal(t[j].at) && t[i].seq < t[j].seq
}
func (t timers) Swap(i, j int) { t[i], t[j] = t[j], t[i] }

// Push appends a timer; only container/heap calls it.
func (t *timers) Push(x any) { *t = append(*t, x.(timer)) }

// Pop removes the last timer; only container/heap calls it.
func (t *timers) Pop() any {
	last := (*t)[len(*t)-1]
	*t = (*t)[:len(*t)-1]
	return last
}

// clock is virtual time: it jumps from one timer to the next.
type clock struct {
	now    time.Time
	seq    uint64
	timers timers
}

// after schedules a step; steps of the same time run in the order scheduled.
func (c *clock) after(d time.Duration, do func()) {
	c.seq++
	heap.Push(&c.timers, timer{at: c.now.Add(max(d, 0)), seq: c.seq, do: do})
}

// every repeats a step until it returns false.
func (c *clock) every(first, interval time.Duration, do func() bool) {
	c.after(first, func() {
		if do() {
			c.every(interval, interval, do)
		}
	})
}

// run executes all steps before the end.
func (c *clock) run(end time.Time) {
	for len(c.timers) > 0 && c.timers[0].at.Before(end) {
		next := heap.Pop(&c.timers).(timer)
		c.now = next.at
		next.do()
	}
	c.now = end
}

// since returns the time since the start of the run.
func (c *clock) since() time.Duration { return c.now.Sub(epoch) }
