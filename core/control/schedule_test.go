package control

import (
	"fmt"
	"runtime"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"pgregory.net/rapid"

	"pistachioford.example/core/revision"
)

// Sizes and times of the generated schedules. The quarantine is short enough for
// a shard to become free within a schedule, and long enough for the zone peers
// to confirm a shard after a pause.
const (
	schedules          = 10_000
	raceSchedules      = 1_000
	scheduleTick       = 100 * time.Millisecond
	scheduleQuarantine = 14 * time.Second
	scheduleFaultTime  = 20 * time.Second
	scheduleSettleTime = 50 * time.Second
	schedulePerZone    = 2
)

// fault is a fault or a change of the document at one time of a schedule.
type fault struct {
	At   time.Duration
	Kind int
	Node int
	Zone int
	For  time.Duration
}

// Kinds of faults.
const (
	killAndReplace = iota
	leaveAndReplace
	pauseOne
	pauseZone
	cutZones
	platformDown
	platformSlow
	platformLosesResponses
	zoneWithoutPlatform
	zoneIsolated
	editOne
	editTwo
	faultKinds
)

var faultDurations = []time.Duration{
	900 * time.Millisecond, 1100 * time.Millisecond, 1900 * time.Millisecond, 3 * time.Second,
	5 * time.Second, 7900 * time.Millisecond, 8500 * time.Millisecond, 15 * time.Second, 25 * time.Second,
}

// drawSchedule generates a schedule. It concentrates the faults on one zone and
// on few moments, since only faults that coincide can break a rule.
func drawSchedule(t *rapid.T) []fault {
	return rapid.SliceOfN(rapid.Custom(func(t *rapid.T) fault {
		return fault{
			At: time.Duration(rapid.IntRange(0, 9).Draw(t, "step"))*700*time.Millisecond +
				time.Duration(rapid.IntRange(0, 300).Draw(t, "jitter"))*time.Millisecond,
			Kind: rapid.IntRange(0, faultKinds-1).Draw(t, "kind"),
			Node: rapid.IntRange(0, 3).Draw(t, "node"),
			Zone: rapid.SampledFrom([]int{0, 0, 0, 1}).Draw(t, "zone"),
			For:  rapid.SampledFrom(faultDurations).Draw(t, "for"),
		}
	}), 3, 12).Draw(t, "faults")
}

// editor applies changes as racing pistachioctl processes do.
type editor struct {
	s        *sim
	accepted map[string]string
	count    int
	// unconditional makes commits ignore changes of the head since it was read.
	unconditional bool
}

// edit reads the head and commits later; if another editor was faster, it tries
// again. Each change has a section of its own, so that an accepted change must
// stay in all later revisions.
func (e *editor) edit(zone string) {
	e.count++
	section := fmt.Sprint("s", e.count)
	e.attempt(section, 3)
}

func (e *editor) attempt(section string, attempts int) {
	p := &e.s.store
	if p.down || attempts == 0 {
		return
	}
	headRow := p.rows[revision.HeadKey]
	head := p.headRevision()
	e.s.After(time.Duration(20+e.s.random.IntN(200))*time.Millisecond, func() {
		if e.unconditional {
			p.rows[revision.HeadKey] = headRow
			head = p.headRevision()
		}
		if p.down {
			return
		}
		if p.apply(head, section, "x") == 0 {
			e.attempt(section, attempts-1)
			return
		}
		e.accepted[section] = "x"
	})
}

// runSchedule runs one schedule and returns the violations; breakRule may break a
// rule on purpose.
func runSchedule(seed uint64, faults []fault, breakRule func(*sim, *editor)) []string {
	s := newSim(seed, 2, 2)
	s.tickInterval = scheduleTick
	s.documentQuarantine = scheduleQuarantine
	s.loss = 0.02
	e := &editor{s: s, accepted: map[string]string{}}
	s.store.edit("a", "1")
	for z := range s.zones {
		for range schedulePerZone {
			s.boot(z)
		}
	}
	if breakRule != nil {
		breakRule(s, e)
	}
	s.run(4 * time.Second)
	for _, f := range faults {
		s.After(f.At, func() { s.inject(f, e) })
	}
	s.run(scheduleFaultTime + time.Second)
	s.run(scheduleSettleTime)
	s.checkEnd(e)
	return s.checker.violations
}

func (s *sim) inject(f fault, e *editor) {
	zone := s.zones[f.Zone].Name
	var live []*node
	for _, n := range s.live() {
		if n.zone == zone {
			live = append(live, n)
		}
	}
	n := live[f.Node%len(live)]
	switch f.Kind {
	case killAndReplace:
		n.kill()
		s.bootInZoneOf(n)
	case leaveAndReplace:
		s.bootInZoneOf(n)
		n.leave()
	case pauseOne:
		n.pause(f.For)
	case pauseZone:
		for _, other := range live {
			other.pause(f.For)
		}
	case cutZones:
		s.cutZones(f.For)
	case zoneIsolated:
		s.cutZones(f.For)
		s.noPlatform[zone] = true
		s.After(f.For, func() { delete(s.noPlatform, zone) })
	case platformDown:
		s.store.down = true
		s.After(f.For, func() { s.store.down = false })
	case platformSlow:
		s.store.delay = time.Second
		s.After(f.For, func() { s.store.delay = 10 * time.Millisecond })
	case platformLosesResponses:
		s.store.responseLossRate = 0.5
		s.After(f.For, func() { s.store.responseLossRate = 0 })
	case zoneWithoutPlatform:
		s.noPlatform[zone] = true
		s.After(f.For, func() { delete(s.noPlatform, zone) })
	case editOne:
		e.edit(zone)
	case editTwo:
		e.edit(zone)
		e.edit(zone)
	}
}

func (s *sim) cutZones(span time.Duration) {
	pair := [2]string{s.zones[0].Name, s.zones[1].Name}
	s.cutLinks[pair] = true
	s.After(span, func() { delete(s.cutLinks, pair) })
}

// bootInZoneOf starts a new instance in the zone of another one.
func (s *sim) bootInZoneOf(n *node) {
	for z := range s.zones {
		if s.zones[z].Name == n.zone {
			s.boot(z)
		}
	}
}

// checkEnd reports accepted changes that were lost, and a fleet that did not
// recover.
func (s *sim) checkEnd(e *editor) {
	head, err := revision.DecodeHead(s.store.rows[revision.HeadKey].Value)
	if err != nil {
		s.checker.report("lost change: no head: %v", err)
		return
	}
	for _, n := range s.live() {
		if n.active == nil || n.active.Revision != head.Revision {
			s.checker.report("not recovered: %s does not have revision %d", n.id, head.Revision)
			continue
		}
		for section, text := range e.accepted {
			if !strings.Contains(n.active.Groups[0].Name, section+"="+text+";") {
				s.checker.report("lost change: %s on %s", section, n.id)
			}
		}
	}
	if !s.allHeld() {
		s.checker.report("not recovered: a shard has no holder")
	}
}

// shrink removes faults as long as the schedule still fails.
func shrink(seed uint64, faults []fault) []fault {
	for i := 0; i < len(faults); {
		shorter := append(append([]fault(nil), faults[:i]...), faults[i+1:]...)
		if len(runSchedule(seed, shorter, nil)) > 0 {
			faults = shorter
			continue
		}
		i++
	}
	return faults
}

// Guards against schedules of restarts, pauses, partitions between zones, lost
// responses and racing editors that break an invariant of the document or of
// the shards.
func TestGeneratedSchedules(t *testing.T) {
	t.Parallel()
	gen := rapid.Custom(drawSchedule)
	var next, failed atomic.Int64
	count := int64(schedules)
	if raceDetector {
		count = raceSchedules // One goroutine runs a schedule; the full number runs without.
	}
	var group sync.WaitGroup
	for range max(2, runtime.GOMAXPROCS(0)/2) {
		group.Go(func() {
			for {
				seed := next.Add(1)
				if seed > count || failed.Load() > 3 {
					return
				}
				faults := gen.Example(int(seed))
				if violations := runSchedule(uint64(seed), faults, nil); len(violations) > 0 {
					failed.Add(1)
					small := shrink(uint64(seed), faults)
					t.Errorf("seed %d: %q\n%+v\n%q", seed, violations, small, runSchedule(uint64(seed), small, nil))
				}
			}
		})
	}
	group.Wait()
}

// Guards against checks that cannot fail: the simulation breaks one rule, and the
// checker has to report it.
func TestCheckerDetectsViolations(t *testing.T) {
	t.Parallel()
	edit := func(at time.Duration) fault { return fault{At: at, Kind: editOne} }
	cases := []struct {
		name, want string
		faults     []fault
		breakRule  func(*sim, *editor)
	}{
		{"gap in the ticks goes unnoticed", "two holders", []fault{
			{At: time.Second, Kind: pauseOne, Node: 0, For: 30 * time.Second},
		}, func(s *sim, _ *editor) { s.hidePauses = true }},
		{"quarantine is too short", "quarantine", []fault{
			{At: time.Second, Kind: killAndReplace, Node: 0},
		}, func(s *sim, _ *editor) { s.checker.quarantine = time.Minute }},
		{"acknowledgements are forged", "revert", []fault{
			{At: time.Second, Kind: pauseOne, Node: 0, For: 900 * time.Millisecond},
			{At: time.Second, Kind: cutZones, For: 20 * time.Second}, edit(time.Second),
			{At: 1750 * time.Millisecond, Kind: platformDown, For: 20 * time.Second},
			{At: 1800 * time.Millisecond, Kind: killAndReplace, Node: 1},
		}, func(s *sim, _ *editor) { s.forgeAcks = true }},
		{"an editor commits without the condition", "lost change", []fault{
			{At: time.Second, Kind: editTwo}, {At: 3 * time.Second, Kind: editTwo},
		}, func(_ *sim, e *editor) { e.unconditional = true }},
		{"an editor commits without the condition", "two contents", []fault{
			{At: time.Second, Kind: editTwo}, {At: 3 * time.Second, Kind: editTwo},
		}, func(_ *sim, e *editor) { e.unconditional = true }},
	}
	for _, c := range cases {
		t.Run(c.want, func(t *testing.T) {
			for seed := range uint64(200) {
				for _, f := range runSchedule(seed, c.faults, c.breakRule) {
					if strings.Contains(f, c.want) {
						return
					}
				}
			}
			t.Errorf("the checker never reported %q", c.want)
		})
	}
}
