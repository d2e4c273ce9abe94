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

// observeInterval is the resolution of the metrics.
const observeInterval = 50 * time.Millisecond

// settings holds the settings of one run.
type settings struct {
	user     string
	sections []document.Section // of revision 1
	seed     uint64
	// instances is the number of instances at the start, which are spread over
	// the zones in turn.
	instances int
	events    []*event
	duration  time.Duration
	fault     fault
}

// world is the simulated system of one run.
type world struct {
	clock
	settings settings
	doc      *document.Compiled // at the start; the zones never change
	random   *rand.Rand
	network  *network
	store    *store
	checker  *checker
	log      bytes.Buffer

	instances    []*instance // all processes, in the order of their start
	byID         map[control.InstanceID]*instance
	byAddress    map[string]*instance
	newestInSlot map[string]*instance
	startCounts  map[string]int // by slot

	edits       []*edit
	stopEditors []func() // end the coroutines of the edits
	compiled    map[string]*document.Compiled
	texts       map[*document.Compiled]string

	spans      []*span
	openSpans  []*span // spans whose effect has not occurred
	shardUsers map[document.ShardID]*instance
	unheld     map[document.ShardID]bool
	samples    []sample
}

// run executes one run and returns the final state. The same settings always
// give the same result.
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
	for _, stop := range w.stopEditors {
		stop()
	}
	w.checker.checkAllEdits()
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
		newestInSlot: map[string]*instance{}, startCounts: map[string]int{},
		compiled: map[string]*document.Compiled{}, texts: map[*document.Compiled]string{}, unheld: map[document.ShardID]bool{},
	}
	w.network = newNetwork(&w.clock, w.random, doc, scenario.NewEnvironment(s.user))
	w.store = &store{world: w, rows: map[string]tables.Row{}}
	w.checker = newChecker(w)
	w.storeFirstRevision()
	for i := range s.instances {
		zone := i % len(doc.Zones)
		w.startInstance(fmt.Sprintf("%s/%d", doc.Zones[zone].Name, i/len(doc.Zones)), zone, "")
	}
	return w, nil
}

// storeFirstRevision commits revision 1 to the store.
func (w *world) storeFirstRevision() {
	head := revision.Head{Revision: 1}
	var c tables.Commit
	for _, s := range w.settings.sections {
		head.Sections = append(head.Sections, revision.HeadSection{
			Name: s.Name, Version: 1, Hash: revision.ContentHash([]byte(s.Text)), Team: s.Team,
		})
		row := revision.SectionRow{Text: s.Text}
		c.Puts = append(c.Puts, tables.Put{Key: revision.SectionKey(s.Name, 1), Value: row.Encode()})
	}
	w.store.firstHead = head.Encode()
	c.Puts = append(c.Puts, tables.Put{Key: revision.HeadKey, Value: w.store.firstHead})
	w.store.commit(c)
}

// compile compiles each revision and content once for all instances, and keeps
// the text for the checker.
func (w *world) compile(r uint64, sections []document.Section) (*document.Compiled, error) {
	var text strings.Builder
	for _, s := range sections {
		fmt.Fprintf(&text, "== %s of %s\n%s\n", s.Name, s.Team, s.Text)
	}
	key := fmt.Sprintf("%d\n%s", r, text.String())
	if compiled := w.compiled[key]; compiled != nil {
		return compiled, nil
	}
	compiled, err := document.Compile(r, sections)
	if err != nil {
		return nil, err
	}
	w.settings.fault.alterDocument(compiled)
	w.compiled[key], w.texts[compiled] = compiled, text.String()
	return compiled, nil
}

// running returns the processes that are alive and not paused.
func (w *world) running() []*instance {
	var running []*instance
	for _, in := range w.instances {
		if !in.dead && !in.paused {
			running = append(running, in)
		}
	}
	return running
}

// allRunning reports whether a condition holds for all running instances.
func (w *world) allRunning(holds func(*instance) bool) bool {
	return !slices.ContainsFunc(w.running(), func(in *instance) bool { return !holds(in) })
}

// selectPlaces returns the places that a name selects: the zones of a region by
// its number, a zone by the number of its region and a letter, "all" zones, or
// the "platform".
func (w *world) selectPlaces(name string) ([]int, error) {
	if name == "platform" {
		return []int{w.network.platformPlace()}, nil
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
		return nil, fmt.Errorf("no place named %q", name)
	}
	return places, nil
}

// selectInstances returns the newest process of a slot, PLACE/N, or of all slots
// of a place.
func (w *world) selectInstances(name string) ([]*instance, error) {
	place, number, single := strings.Cut(name, "/")
	zones, err := w.selectPlaces(place)
	var selected []*instance
	for _, in := range w.instances {
		_, n, _ := strings.Cut(in.slot, "/")
		if slices.Contains(zones, in.zone) && w.newestInSlot[in.slot] == in && (!single || n == number) {
			selected = append(selected, in)
		}
	}
	if len(selected) == 0 && err == nil {
		err = fmt.Errorf("no instance named %q", name)
	}
	return selected, err
}

func (w *world) shardName(s document.ShardID) string {
	return fmt.Sprintf("%s.%d", w.doc.Zones[s.Zone].Name, s.Index)
}

// logf adds one line to the event log.
func (w *world) logf(format string, args ...any) {
	fmt.Fprintf(&w.log, "%9.3fs %s\n", w.since().Seconds(), strings.TrimSpace(fmt.Sprintf(format, args...)))
}
