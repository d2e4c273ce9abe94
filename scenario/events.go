package scenario

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"pistachioford.example/core/document"
)

// verb is one kind of timed event. prepare checks the arguments before the run
// and returns the change, which is applied at the time of the event, and its
// reversal, which is applied at the end of a duration given with "for".
type verb struct {
	arguments int
	prepare   func(env *Environment, args []string) (do, undo func(*world), err error)
}

var verbs = map[string]verb{
	"slow":    {2, prepareNumber(func(u *upstream, x float64) { u.slowdown = x })},
	"fail":    {2, prepareNumber(func(u *upstream, x float64) { u.failureRate = x })},
	"hang":    {1, prepareFlag(func(u *upstream, on bool) { u.hung = on })},
	"lie":     {1, prepareFlag(func(u *upstream, on bool) { u.reportsZeroLoad = on })},
	"crash":   {1, prepareFlag(func(u *upstream, on bool) { u.setCrashed(on) })},
	"cold":    {1, prepareFlag(func(u *upstream, on bool) { u.setCold(on) })},
	"leave":   {2, prepareLeave},
	"reports": {1, prepareReports},
	"kill":    {1, prepareInstance((*world).kill, (*world).restart)},
	"stop":    {1, prepareInstance((*world).stop, nil)},
	"pause":   {1, prepareInstance((*world).pause, (*world).resume)},
	"lose":    {1, prepareLose},
	"cut":     {2, prepareLink(func(l *link, _ string, on bool) error { l.cut = on; return nil })},
	"loss":    {3, prepareLink(setLoss)},
	"delay":   {3, prepareLink(addDelay)},
}

// NewEvent parses the words of a timed event: a verb, its arguments, and
// optionally "for" and a duration.
func NewEvent(env *Environment, at time.Duration, words []string) ([]Event, error) {
	if len(words) == 0 {
		return nil, fmt.Errorf("missing verb")
	}
	duration := time.Duration(0)
	args := words[1:]
	if n := len(args); n >= 2 && args[n-2] == "for" {
		var err error
		if duration, err = time.ParseDuration(args[n-1]); err != nil {
			return nil, err
		}
		args = args[:n-2]
	}
	v, ok := verbs[words[0]]
	if !ok || len(args) != v.arguments {
		return nil, fmt.Errorf("unknown event or wrong number of arguments: %s", strings.Join(words, " "))
	}
	do, undo, err := v.prepare(env, args)
	if err != nil {
		return nil, err
	}
	events := []Event{{At: at, Text: strings.Join(words, " "), do: do}}
	if duration > 0 && undo == nil {
		return nil, fmt.Errorf("%s cannot be undone and takes no duration", words[0])
	}
	if duration > 0 {
		events = append(events, Event{At: at + duration, Text: "end of " + strings.Join(words, " "), do: undo})
	}
	return events, nil
}

// selectUpstreams returns the targets selected by "all", a group or a target,
// each optionally followed by "@" and a place.
func selectUpstreams(env *Environment, name string) ([]document.TargetID, error) {
	group, place, hasPlace := strings.Cut(name, "@")
	zones := env.zones("all")
	if hasPlace {
		zones = env.zones(place)
	}
	var ids []document.TargetID
	for i := range env.Document.Targets {
		target := &env.Document.Targets[i]
		matches := group == "all" || target.Name == group || env.Document.Groups[target.Group].Name == group
		for _, zone := range zones {
			if matches && target.Zone == zone {
				ids = append(ids, document.TargetID(i))
			}
		}
	}
	if len(ids) == 0 {
		return nil, fmt.Errorf("no upstream matches %q", name)
	}
	return ids, nil
}

// prepareNumber returns the prepare function of a verb that sets a number on
// upstreams. Undoing it sets the number to 0.
func prepareNumber(set func(*upstream, float64)) func(*Environment, []string) (do, undo func(*world), err error) {
	return func(env *Environment, args []string) (do, undo func(*world), err error) {
		ids, err := selectUpstreams(env, args[0])
		if err != nil {
			return nil, nil, err
		}
		value, err := strconv.ParseFloat(args[1], 64)
		applyValue := func(value float64) func(*world) {
			return func(w *world) {
				for _, id := range ids {
					set(w.upstreams[id], value)
				}
			}
		}
		return applyValue(value), applyValue(0), err
	}
}

// prepareFlag returns the prepare function of a verb that sets a flag on
// upstreams. Undoing it clears the flag.
func prepareFlag(set func(*upstream, bool)) func(*Environment, []string) (do, undo func(*world), err error) {
	number := prepareNumber(func(u *upstream, x float64) { set(u, x != 0) })
	return func(env *Environment, args []string) (do, undo func(*world), err error) {
		return number(env, []string{args[0], "1"})
	}
}

func (u *upstream) setCrashed(on bool) {
	if on {
		u.stop()
		return
	}
	u.restart()
}

func (u *upstream) setCold(on bool) {
	u.coldSince = time.Time{}
	if on {
		u.coldSince = u.world.Now
	}
}

// prepareLeave prepares a planned stop of upstreams. Undoing it returns them to
// service.
func prepareLeave(env *Environment, args []string) (do, undo func(*world), err error) {
	ids, err := selectUpstreams(env, args[0])
	if err != nil {
		return nil, nil, err
	}
	if err := requireOneOf(args[1], "header", "health", "document"); err != nil {
		return nil, nil, err
	}
	do = func(w *world) {
		for _, id := range ids {
			w.upstreams[id].leave(args[1])
			w.stopWhenDrained(w.upstreams[id], w.Now)
		}
		if args[1] == "document" {
			w.setDraining(ids, true)
		}
	}
	undo = func(w *world) {
		for _, id := range ids {
			w.upstreams[id].returnToService()
		}
		if args[1] == "document" {
			w.setDraining(ids, false)
		}
	}
	return do, undo, nil
}

func prepareReports(_ *Environment, args []string) (do, undo func(*world), err error) {
	if args[0] != "off" {
		return nil, nil, fmt.Errorf("reports can only be switched off")
	}
	return func(w *world) { w.reportsStopped = true }, func(w *world) { w.reportsStopped = false }, nil
}

// prepareInstance returns the prepare function of a verb that changes one
// instance. restore is nil if the change cannot be undone.
func prepareInstance(change, restore func(*world, *instance)) func(*Environment, []string) (do, undo func(*world), err error) {
	return func(env *Environment, args []string) (do, undo func(*world), err error) {
		zone, shard, _ := strings.Cut(args[0], "/")
		index, err := strconv.Atoi(shard)
		zones := env.zones(zone)
		if err != nil || len(zones) != 1 || index >= int(env.Document.Zones[zones[0]].Shards) {
			return nil, nil, fmt.Errorf("no instance %q", args[0])
		}
		find := func(w *world) *instance { return w.instanceNamed(args[0]) }
		if restore != nil {
			undo = func(w *world) { restore(w, find(w)) }
		}
		return func(w *world) { change(w, find(w)) }, undo, nil
	}
}

func (w *world) instanceNamed(name string) *instance {
	for _, in := range w.instances {
		if string(in.id) == name {
			return in
		}
	}
	return nil
}

// prepareLose prepares the sudden loss of all instances and upstreams of a place.
func prepareLose(env *Environment, args []string) (do, undo func(*world), err error) {
	zones := env.zones(args[0])
	if len(zones) == 0 {
		return nil, nil, fmt.Errorf("no place %q", args[0])
	}
	affected := func(zone document.ZoneID) bool {
		for _, z := range zones {
			if z == zone {
				return true
			}
		}
		return false
	}
	return func(w *world) {
		for _, u := range w.upstreams {
			if affected(u.zone) {
				u.stop()
			}
		}
		for _, in := range w.instances {
			if affected(in.zone) {
				in.hostDown = true
				w.kill(in)
			}
		}
	}, nil, nil
}

// prepareLink returns the prepare function of a verb that changes the links
// between two places.
func prepareLink(set func(l *link, value string, on bool) error) func(*Environment, []string) (do, undo func(*world), err error) {
	return func(env *Environment, args []string) (do, undo func(*world), err error) {
		from, to := env.zones(args[0]), env.zones(args[1])
		if len(from) == 0 || len(to) == 0 {
			return nil, nil, fmt.Errorf("no place %q or %q", args[0], args[1])
		}
		value := args[len(args)-1]
		if err := set(&link{}, value, true); err != nil {
			return nil, nil, err
		}
		applyState := func(on bool) func(*world) {
			return func(w *world) { w.network.each(from, to, func(l *link) { set(l, value, on) }) }
		}
		return applyState(true), applyState(false), nil
	}
}

func setLoss(l *link, value string, on bool) (err error) {
	l.loss = 0
	if on {
		l.loss, err = strconv.ParseFloat(value, 64)
	}
	return err
}

func addDelay(l *link, value string, on bool) error {
	d, err := time.ParseDuration(value)
	if !on {
		d = -d
	}
	l.delay += d
	return err
}
