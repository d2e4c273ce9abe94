package fleet

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"pistachioford.example/core/control"
	"pistachioford.example/core/document"
	"pistachioford.example/core/revision"
	"pistachioford.example/core/virtual"
	"pistachioford.example/pistachioford/scenario"
	"pistachioford.example/pistachioford/tables"
)

// observeInterval is the resolution of the measures.
const observeInterval = 50 * time.Millisecond

// settings describe one run.
type settings struct {
	user     string
	sections []document.Section // of revision 1
	seed     uint64
	// instances is their number at the start, spread over the zones in turn.
	instances int
	events    []*event
	duration  time.Duration
	fault     fault
}

// world is one run.
type world struct {
	clock
	settings settings
	doc      *document.Compiled // of the start; the zones never change
	random   *rand.Rand
	network  *network
	store    *store
	judge    *judge
	log      bytes.Buffer

	instances []*instance // all processes, in the order of their start
	byID      map[control.InstanceID]*instance
	byAddress map[string]*instance
	slots     map[string]*instance
	started   map[string]int

	edits    []*edit
	editors  []func() // ends the coroutines
	compiled map[string]*document.Compiled
	texts    map[*document.Compiled]string

	spans   []*span
	open    []*span // those whose effect is missing
	users   map[document.ShardID]*instance
	unheld  map[document.ShardID]bool
	samples []sample
}

// run executes one run and returns its end; the same settings give the same.
func run(s settings) (*world, error) {
	w, err := newWorld(s)
	if err != nil {
		return nil, err
	}
	for _, e := range s.events {
		w.After(e.at, func() {
			w.logf("%s", e.text)
			if failed := e.do(w); failed != nil {
				err = fmt.Errorf("%s: %w", e.text, failed)
			}
		})
	}
	w.Every(observeInterval, observeInterval, func() bool {
		w.observe()
		return true
	})
	w.clock.RunBefore(epoch.Add(s.duration))
	for _, stop := range w.editors {
		stop()
	}
	w.judge.end()
	return w, err
}

func newWorld(s settings) (*world, error) {
	doc, err := document.Compile(1, s.sections)
	if err != nil {
		return nil, err
	}
	w := &world{
		settings: s, doc: doc, clock: clock{virtual.Clock{Now: epoch}}, random: rand.New(rand.NewPCG(s.seed, 1)),
		byID: map[control.InstanceID]*instance{}, byAddress: map[string]*instance{},
		slots: map[string]*instance{}, started: map[string]int{},
		compiled: map[string]*document.Compiled{}, texts: map[*document.Compiled]string{}, unheld: map[document.ShardID]bool{},
	}
	w.network = newNetwork(&w.clock, w.random, doc, scenario.NewEnvironment(s.user))
	w.store = &store{w: w, rows: map[string]tables.Row{}}
	w.judge = newJudge(w)
	w.putFirst()
	for i := range s.instances {
		zone := i % len(doc.Zones)
		w.start(fmt.Sprintf("%s/%d", doc.Zones[zone].Name, i/len(doc.Zones)), zone, "")
	}
	return w, nil
}

// putFirst stores revision 1.
func (w *world) putFirst() {
	head := revision.Head{Revision: 1}
	var c tables.Commit
	for _, s := range w.settings.sections {
		head.Sections = append(head.Sections, revision.HeadSection{
			Name: s.Name, Version: 1, Hash: revision.ContentHash([]byte(s.Text)), Team: s.Team,
		})
		row := revision.SectionRow{Text: s.Text}
		c.Puts = append(c.Puts, tables.Put{Key: revision.SectionKey(s.Name, 1), Value: row.Encode()})
	}
	w.store.first = head.Encode()
	c.Puts = append(c.Puts, tables.Put{Key: revision.HeadKey, Value: w.store.first})
	w.store.commit(c)
}

// compile compiles each content once for all instances, and keeps its text for
// the judge.
func (w *world) compile(r uint64, sections []document.Section) (*document.Compiled, error) {
	var text strings.Builder
	for _, s := range sections {
		fmt.Fprintf(&text, "== %s of %s\n%s\n", s.Name, s.Team, s.Text)
	}
	key := fmt.Sprintf("%d\n%s", r, text.String())
	if c := w.compiled[key]; c != nil {
		return c, nil
	}
	c, err := document.Compile(r, sections)
	if err != nil {
		return nil, err
	}
	w.settings.fault.document(c)
	w.compiled[key], w.texts[c] = c, text.String()
	return c, nil
}

// live returns the processes that run and are not paused.
func (w *world) live() []*instance {
	var live []*instance
	for _, in := range w.instances {
		if !in.dead && !in.paused {
			live = append(live, in)
		}
	}
	return live
}

// all tells whether a condition holds for all live instances.
func (w *world) all(holds func(*instance) bool) bool {
	return !slices.ContainsFunc(w.live(), func(in *instance) bool { return !holds(in) })
}

// places returns the zones that a name selects: a region by its number, a zone
// by the number of its region and a letter, "all", or the platform.
func (w *world) places(name string) ([]int, error) {
	if name == "platform" {
		return []int{w.network.platform()}, nil
	}
	var places []int
	for i := range w.doc.Zones {
		region := w.doc.Zones[i].Region
		letter := rune('a' + slices.Index(w.doc.Regions[region].Zones, document.ZoneID(i)))
		if name == "all" || name == fmt.Sprint(region+1) || name == fmt.Sprintf("%d%c", region+1, letter) {
			places = append(places, i)
		}
	}
	if len(places) == 0 {
		return nil, fmt.Errorf("no place %q", name)
	}
	return places, nil
}

// named returns the newest process of a slot, PLACE/N, or of all slots of a
// place.
func (w *world) named(name string) ([]*instance, error) {
	place, number, single := strings.Cut(name, "/")
	zones, err := w.places(place)
	var found []*instance
	for _, in := range w.instances {
		_, n, _ := strings.Cut(in.slot, "/")
		if slices.Contains(zones, in.zone) && w.slots[in.slot] == in && (!single || n == number) {
			found = append(found, in)
		}
	}
	if len(found) == 0 && err == nil {
		err = fmt.Errorf("no instance %q", name)
	}
	return found, err
}

func (w *world) shardName(s document.ShardID) string {
	return fmt.Sprintf("%s.%d", w.doc.Zones[s.Zone].Name, s.Index)
}

// logf adds one line to the event log.
func (w *world) logf(format string, args ...any) {
	fmt.Fprintf(&w.log, "%9.3fs %s\n", w.since().Seconds(), strings.TrimSpace(fmt.Sprintf(format, args...)))
}
