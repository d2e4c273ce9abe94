package fleet

import (
	"fmt"
	"strconv"
	"strings"
	"time"
)

// event is one timed change of a run.
type event struct {
	at   time.Duration
	text string
	do   func(*world) error
}

// verb is one kind of event. It returns what undoes it, if anything does.
type verb struct {
	arguments int // at least
	do        func(w *world, args []string) (undo func(), err error)
}

var verbs = map[string]verb{
	"edit":     {1, doEdit},
	"platform": {1, doPlatform},
	"cut":      {2, doLink},
	"loss":     {3, doLink},
	"delay":    {3, doLink},
	"kill":     {1, doEach((*instance).kill, nil)},
	"restart":  {1, doEach((*instance).restart, nil)},
	"replace":  {1, doEach((*instance).replace, nil)},
	"leave":    {1, doEach((*instance).leave, nil)},
	"pause":    {1, doEach((*instance).pause, (*instance).resume)},
	"roll":     {1, doRoll},
}

// newEvent parses the words of a timed event: a verb, its arguments, and
// optionally "for" and a duration.
func newEvent(at time.Duration, words []string) (*event, error) {
	e := &event{at: at, text: strings.Join(words, " ")}
	v := verbs[words[0]]
	args, duration := words[1:], time.Duration(0)
	if n := len(args); n >= 2 && args[n-2] == "for" {
		var err error
		if duration, err = time.ParseDuration(args[n-1]); err != nil {
			return nil, err
		}
		args = args[:n-2]
	}
	if v.do == nil || len(args) < v.arguments {
		return nil, fmt.Errorf("unknown event or too few arguments: %s", e.text)
	}
	e.do = func(w *world) error {
		undo, err := v.do(w, args)
		if err != nil || duration == 0 {
			return err
		}
		if undo == nil {
			return fmt.Errorf("%s does not end by itself", words[0])
		}
		w.After(duration, func() {
			w.logf("end of %s", e.text)
			undo()
		})
		return nil
	}
	return e, nil
}

// doEdit starts one editor for each section; they race.
func doEdit(w *world, args []string) (func(), error) {
	for _, arg := range args {
		number, err := strconv.Atoi(arg)
		if err != nil || number < 1 || number > len(w.settings.sections) {
			return nil, fmt.Errorf("no section %q", arg)
		}
		w.startEdit(w.settings.sections[number-1].Name)
	}
	return nil, nil
}

func doPlatform(w *world, args []string) (undo func(), err error) {
	s := w.store
	value := args[len(args)-1]
	switch args[0] {
	case "down":
		s.down = true
		return func() { s.down = false }, nil
	case "slow":
		s.slow, err = time.ParseDuration(value)
		return func() { s.slow = 0 }, err
	case "lose":
		s.lose, err = strconv.ParseFloat(value, 64)
		return func() { s.lose = 0 }, err
	}
	return nil, fmt.Errorf("no state %q of the platform", args[0])
}

// doLink changes the links between two places.
func doLink(w *world, args []string) (func(), error) {
	a, err := w.places(args[0])
	if err != nil {
		return nil, err
	}
	b, err := w.places(args[1])
	if err != nil {
		return nil, err
	}
	if len(args) == 2 {
		w.network.setCut(a, b, true)
		return func() { w.network.setCut(a, b, false) }, nil
	}
	if share, err := strconv.ParseFloat(args[2], 64); err == nil {
		w.network.each(a, b, func(l *link) { l.loss = share })
		return func() { w.network.each(a, b, func(l *link) { l.loss = 0 }) }, nil
	}
	delay, err := time.ParseDuration(args[2])
	w.network.each(a, b, func(l *link) { l.delay += delay })
	return func() { w.network.each(a, b, func(l *link) { l.delay -= delay }) }, err
}

// doEach applies a change to the process of a slot or to all of a place.
func doEach(change, undo func(*instance)) func(*world, []string) (func(), error) {
	return func(w *world, args []string) (func(), error) {
		chosen, err := w.named(args[0])
		for _, in := range chosen {
			change(in)
		}
		if undo == nil {
			return nil, err
		}
		return func() {
			for _, in := range chosen {
				undo(in)
			}
		}, err
	}
}

// restart ends the process, if it runs, and starts another one at its address.
func (in *instance) restart() {
	in.kill()
	in.w.start(in.slot, in.zone, in.address)
}

// overlap is how long the old instance stays when the new one has started.
const overlap = 3 * time.Second

// replace starts a new instance and lets the old one leave.
func (in *instance) replace() {
	in.w.start(in.slot, in.zone, "")
	in.w.After(overlap, in.leave)
}

// doRoll replaces all instances one after the other.
func doRoll(w *world, args []string) (func(), error) {
	interval, err := time.ParseDuration(args[0])
	all, _ := w.named("all")
	for i, in := range all {
		w.After(time.Duration(i)*interval, in.replace)
	}
	return nil, err
}
