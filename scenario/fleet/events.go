package fleet

import (
	"fmt"
	"strconv"
	"strings"
	"time"
)

// event is a timed change during a run.
type event struct {
	at   time.Duration
	text string
	do   func(*world) error
}

// verb is one kind of event. do makes the change and returns a function that
// undoes it, or nil if it cannot be undone.
type verb struct {
	minArguments int
	do           func(w *world, args []string) (undo func(), err error)
}

var verbs = map[string]verb{
	"edit":     {1, startEdits},
	"platform": {1, changePlatform},
	"cut":      {2, changeLinks},
	"loss":     {3, changeLinks},
	"delay":    {3, changeLinks},
	"kill":     {1, applyToInstances((*instance).kill, nil)},
	"restart":  {1, applyToInstances((*instance).restart, nil)},
	"replace":  {1, applyToInstances((*instance).replace, nil)},
	"leave":    {1, applyToInstances((*instance).leave, nil)},
	"pause":    {1, applyToInstances((*instance).pause, (*instance).resume)},
	"roll":     {1, rollInstances},
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
	if v.do == nil || len(args) < v.minArguments {
		return nil, fmt.Errorf("unknown event or too few arguments: %s", e.text)
	}
	e.do = func(w *world) error {
		undo, err := v.do(w, args)
		if err != nil || duration == 0 {
			return err
		}
		if undo == nil {
			return fmt.Errorf("%s cannot be undone and takes no duration", words[0])
		}
		w.After(duration, func() {
			w.logf("end of %s", e.text)
			undo()
		})
		return nil
	}
	return e, nil
}

// startEdits starts one editor for each section, all at the same time.
func startEdits(w *world, args []string) (func(), error) {
	for _, arg := range args {
		number, err := strconv.Atoi(arg)
		if err != nil || number < 1 || number > len(w.settings.sections) {
			return nil, fmt.Errorf("no section numbered %q", arg)
		}
		w.startEdit(w.settings.sections[number-1].Name)
	}
	return nil, nil
}

// changePlatform makes the platform unavailable or slow, or makes it lose
// responses.
func changePlatform(w *world, args []string) (undo func(), err error) {
	s := w.store
	value := args[len(args)-1]
	switch args[0] {
	case "down":
		s.down = true
		return func() { s.down = false }, nil
	case "slow":
		s.extraLatency, err = time.ParseDuration(value)
		return func() { s.extraLatency = 0 }, err
	case "lose":
		s.responseLossRate, err = strconv.ParseFloat(value, 64)
		return func() { s.responseLossRate = 0 }, err
	}
	return nil, fmt.Errorf("unknown state %q of the platform", args[0])
}

// changeLinks cuts the links between two places, sets the fraction of messages
// that they lose, or adds to their delay.
func changeLinks(w *world, args []string) (func(), error) {
	a, err := w.selectPlaces(args[0])
	if err != nil {
		return nil, err
	}
	b, err := w.selectPlaces(args[1])
	if err != nil {
		return nil, err
	}
	if len(args) == 2 {
		w.network.setCut(a, b, true)
		return func() { w.network.setCut(a, b, false) }, nil
	}
	if lossFraction, err := strconv.ParseFloat(args[2], 64); err == nil {
		w.network.each(a, b, func(l *link) { l.loss = lossFraction })
		return func() { w.network.each(a, b, func(l *link) { l.loss = 0 }) }, nil
	}
	delay, err := time.ParseDuration(args[2])
	w.network.each(a, b, func(l *link) { l.delay += delay })
	return func() { w.network.each(a, b, func(l *link) { l.delay -= delay }) }, err
}

// applyToInstances applies a change to the newest process of a slot or of all
// slots of a place.
func applyToInstances(change, undo func(*instance)) func(*world, []string) (func(), error) {
	return func(w *world, args []string) (func(), error) {
		selected, err := w.selectInstances(args[0])
		for _, in := range selected {
			change(in)
		}
		if undo == nil {
			return nil, err
		}
		return func() {
			for _, in := range selected {
				undo(in)
			}
		}, err
	}
}

// restart kills the process, if it runs, and starts another one at its address.
func (in *instance) restart() {
	in.kill()
	in.world.startInstance(in.slot, in.zone, in.address)
}

// replaceOverlap is how long a replaced instance keeps running after the new one
// has started.
const replaceOverlap = 3 * time.Second

// replace starts a new instance and, after replaceOverlap, a planned stop of the
// old one.
func (in *instance) replace() {
	in.world.startInstance(in.slot, in.zone, "")
	in.world.After(replaceOverlap, in.leave)
}

// rollInstances replaces all instances one after the other.
func rollInstances(w *world, args []string) (func(), error) {
	interval, err := time.ParseDuration(args[0])
	all, _ := w.selectInstances("all")
	for i, in := range all {
		w.After(time.Duration(i)*interval, in.replace)
	}
	return nil, err
}
