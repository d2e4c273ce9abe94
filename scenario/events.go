package scenario

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"pistachioford.example/core/document"
)

// change is one verb of the language. Its arguments are checked before the
// run; the result is applied at the time of the event, and undone if "for" was
// given.
type change struct {
	arguments int
	prepare   func(p *Platform, args []string) (do, undo func(*world), err error)
}

var changes = map[string]change{
	"slow":    {2, prepareNumber(func(u *upstream, x float64) { u.slow = x })},
	"fail":    {2, prepareNumber(func(u *upstream, x float64) { u.failShare = x })},
	"hang":    {1, prepareFlag(func(u *upstream, on bool) { u.hung = on })},
	"lie":     {1, prepareFlag(func(u *upstream, on bool) { u.lies = on })},
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
func NewEvent(p *Platform, at time.Duration, words []string) ([]Event, error) {
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
	verb, ok := changes[words[0]]
	if !ok || len(args) != verb.arguments {
		return nil, fmt.Errorf("unknown event or wrong number of arguments: %s", strings.Join(words, " "))
	}
	do, undo, err := verb.prepare(p, args)
	if err != nil {
		return nil, err
	}
	events := []Event{{At: at, Text: strings.Join(words, " "), do: do}}
	if duration > 0 && undo == nil {
		return nil, fmt.Errorf("%s does not end by itself", words[0])
	}
	if duration > 0 {
		events = append(events, Event{At: at + duration, Text: "end of " + strings.Join(words, " "), do: undo})
	}
	return events, nil
}

// selectUpstreams returns the targets that "all", a group, a target or
// group@place names.
func selectUpstreams(p *Platform, name string) ([]document.TargetID, error) {
	group, place, placed := strings.Cut(name, "@")
	zones := p.zones("all")
	if placed {
		zones = p.zones(place)
	}
	var ids []document.TargetID
	for i := range p.Document.Targets {
		target := &p.Document.Targets[i]
		named := group == "all" || target.Name == group || p.Document.Groups[target.Group].Name == group
		for _, zone := range zones {
			if named && target.Zone == zone {
				ids = append(ids, document.TargetID(i))
			}
		}
	}
	if len(ids) == 0 {
		return nil, fmt.Errorf("no upstream %q", name)
	}
	return ids, nil
}

func prepareNumber(set func(*upstream, float64)) func(*Platform, []string) (do, undo func(*world), err error) {
	return func(p *Platform, args []string) (do, undo func(*world), err error) {
		ids, err := selectUpstreams(p, args[0])
		if err != nil {
			return nil, nil, err
		}
		value, err := strconv.ParseFloat(args[1], 64)
		apply := func(value float64) func(*world) {
			return func(w *world) {
				for _, id := range ids {
					set(w.upstreams[id], value)
				}
			}
		}
		return apply(value), apply(0), err
	}
}

func prepareFlag(set func(*upstream, bool)) func(*Platform, []string) (do, undo func(*world), err error) {
	number := prepareNumber(func(u *upstream, x float64) { set(u, x != 0) })
	return func(p *Platform, args []string) (do, undo func(*world), err error) {
		return number(p, []string{args[0], "1"})
	}
}

func (u *upstream) setCrashed(on bool) {
	if on {
		u.fail()
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

// prepareLeave starts a planned stop of an upstream; its end brings it back.
func prepareLeave(p *Platform, args []string) (do, undo func(*world), err error) {
	ids, err := selectUpstreams(p, args[0])
	if err != nil {
		return nil, nil, err
	}
	if err := oneOf(args[1], "header", "health", "document"); err != nil {
		return nil, nil, err
	}
	do = func(w *world) {
		for _, id := range ids {
			w.upstreams[id].leave(args[1])
			w.awaitDrained(w.upstreams[id], w.Now)
		}
		if args[1] == "document" {
			w.setDraining(ids, true)
		}
	}
	undo = func(w *world) {
		for _, id := range ids {
			w.upstreams[id].comeBack()
		}
		if args[1] == "document" {
			w.setDraining(ids, false)
		}
	}
	return do, undo, nil
}

func prepareReports(_ *Platform, args []string) (do, undo func(*world), err error) {
	if args[0] != "off" {
		return nil, nil, fmt.Errorf("reports can only be switched off")
	}
	return func(w *world) { w.reportsStopped = true }, func(w *world) { w.reportsStopped = false }, nil
}

func prepareInstance(do, undo func(*world, *instance)) func(*Platform, []string) (f, g func(*world), err error) {
	return func(p *Platform, args []string) (f, g func(*world), err error) {
		zone, shard, _ := strings.Cut(args[0], "/")
		index, err := strconv.Atoi(shard)
		zones := p.zones(zone)
		if err != nil || len(zones) != 1 || index >= int(p.Document.Zones[zones[0]].Shards) {
			return nil, nil, fmt.Errorf("no instance %q", args[0])
		}
		find := func(w *world) *instance { return w.instanceNamed(args[0]) }
		if undo != nil {
			g = func(w *world) { undo(w, find(w)) }
		}
		return func(w *world) { do(w, find(w)) }, g, nil
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

// prepareLose ends all instances and upstreams of a place without a word.
func prepareLose(p *Platform, args []string) (do, undo func(*world), err error) {
	zones := p.zones(args[0])
	if len(zones) == 0 {
		return nil, nil, fmt.Errorf("no place %q", args[0])
	}
	lost := func(zone document.ZoneID) bool {
		for _, z := range zones {
			if z == zone {
				return true
			}
		}
		return false
	}
	return func(w *world) {
		for _, u := range w.upstreams {
			if lost(u.zone) {
				u.fail()
			}
		}
		for _, in := range w.instances {
			if lost(in.zone) {
				in.silent = true
				w.kill(in)
			}
		}
	}, nil, nil
}

func prepareLink(set func(l *link, value string, on bool) error) func(*Platform, []string) (do, undo func(*world), err error) {
	return func(p *Platform, args []string) (do, undo func(*world), err error) {
		from, to := p.zones(args[0]), p.zones(args[1])
		if len(from) == 0 || len(to) == 0 {
			return nil, nil, fmt.Errorf("no place %q or %q", args[0], args[1])
		}
		value := args[len(args)-1]
		if err := set(&link{}, value, true); err != nil {
			return nil, nil, err
		}
		apply := func(on bool) func(*world) {
			return func(w *world) { w.network.each(from, to, func(l *link) { set(l, value, on) }) }
		}
		return apply(true), apply(false), nil
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
