package virtual

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against runs that are not reproducible: events run in order of time,
// and those of the same time in the order in which they were scheduled.
func TestEventsRunInOrder(t *testing.T) {
	is := is.New(t)
	c := Clock{Now: time.Unix(100, 0)}
	var ran []string
	record := func(name string) func() { return func() { ran = append(ran, name) } }
	c.After(2*time.Second, record("b"))
	c.After(time.Second, func() {
		ran = append(ran, "a")
		c.After(time.Second, record("c"))
		c.After(-time.Second, record("now"))
	})
	c.After(3*time.Second, record("end"))
	c.RunBefore(time.Unix(103, 0))
	is.Equal(ran, []string{"a", "now", "b", "c"})
	is.Equal(c.Now, time.Unix(103, 0))
	c.RunTo(time.Unix(103, 0))
	is.Equal(ran[4:], []string{"end"})
}

// Guards against repeated events that continue after their function has returned
// false.
func TestEveryEnds(t *testing.T) {
	is := is.New(t)
	c := Clock{Now: time.Unix(100, 0)}
	var at []time.Duration
	c.Every(time.Second, 3*time.Second, func() bool {
		at = append(at, c.Now.Sub(time.Unix(100, 0)))
		return len(at) < 3
	})
	c.RunAll()
	is.Equal(at, []time.Duration{time.Second, 4 * time.Second, 7 * time.Second})
}
