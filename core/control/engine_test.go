package control

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
)

// startFleet starts perZone instances in each zone with revision 1 in the store,
// and waits until the revision is active and all shards are held.
func startFleet(t *testing.T, s *sim, perZone int) {
	t.Helper()
	s.store.edit("a", "1")
	for z := range s.zones {
		for range perZone {
			s.boot(z)
		}
	}
	took := s.runUntil(30*time.Second, func() bool { return s.allActive(1) && s.allHeld() })
	if !s.allActive(1) || !s.allHeld() {
		for _, n := range s.all {
			t.Log(n.id, n.zone, n.active != nil, n.held, len(n.peers), n.logs)
		}
		t.Fatalf("fleet is not ready after %v", took)
	}
}

func (s *sim) allActive(r uint64) bool {
	for _, n := range s.live() {
		if n.active == nil || n.active.Revision != r {
			return false
		}
	}
	return true
}

// allHeld reports whether the live instances hold as many shards as the zones
// have.
func (s *sim) allHeld() bool {
	used := 0
	for _, n := range s.live() {
		used += len(n.held)
	}
	total := 0
	for i := range s.zones {
		total += int(s.zones[i].Shards)
	}
	return used == total
}

func (s *sim) checkNoViolations(t *testing.T) {
	t.Helper()
	for _, f := range s.checker.violations {
		t.Error(f)
	}
}

// Guards against a change that reaches only a part of the fleet or arrives late.
func TestChangeActiveEverywhere(t *testing.T) {
	t.Parallel()
	cases := []struct {
		name        string
		delay       time.Duration
		partitioned string
		limit       time.Duration
	}{
		{"healthy", 10 * time.Millisecond, "", 2 * time.Second},
		{"slow store, a zone without the platform", time.Second, "z5", 5 * time.Second},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			worst := time.Duration(0)
			for seed := range uint64(20) {
				s := newSim(seed, 6, 2)
				startFleet(t, s, 2)
				s.store.delay = c.delay
				s.noPlatform[c.partitioned] = true
				s.run(10 * time.Second)
				for i := range 5 {
					r := s.store.edit("a", fmt.Sprint("text", i))
					worst = max(worst, s.runUntil(time.Minute, func() bool { return s.allActive(r) }))
					s.run(3 * time.Second)
				}
				s.checkNoViolations(t)
			}
			t.Logf("worst of 100 changes: %v", worst)
			is.True(worst <= c.limit)
		})
	}
}

// Guards against an instance that knows its zone peers only from the instance
// list and treats itself as alone before they respond.
func TestStartByInstanceList(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	s := newSim(22, 1, 2)
	startFleet(t, s, 2)
	s.seeds = []string{}
	s.noPlatform["z0"] = true
	r := s.store.edit("a", "unknown to the zone")
	s.boot(0)
	s.run(5 * time.Second)
	is.Equal(s.all[2].active, nil) // no other instance is known
	delete(s.noPlatform, "z0")
	s.runUntil(5*time.Second, func() bool { return s.all[2].active != nil })
	is.True(s.all[2].engine.join.zonePeerAnswered)
	s.run(3 * time.Second)
	is.True(s.allActive(r))
	s.checkNoViolations(t)
}

// Guards against a start from a zone peer that missed a revision: it was paused
// while the revision became active, the only other instance of the zone, which
// had it, dies, and the zone is partitioned from the other zone and the
// platform.
func TestStartWithoutSource(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	s := newSim(21, 2, 2)
	startFleet(t, s, 2)
	s.run(2 * time.Second)
	paused, newest := s.all[0], s.all[1]
	paused.pause(5 * time.Second)
	r := s.store.edit("a", "newest")
	s.runUntil(4*time.Second, func() bool { return newest.active.Revision == r })
	s.cutZones(time.Minute)
	s.noPlatform[newest.zone] = true
	newest.kill()
	started := s.boot(0)
	s.run(30 * time.Second)
	is.Equal(paused.active.Revision, r-1) // the running instance keeps its revision
	is.Equal(started.active, nil)
	delete(s.noPlatform, newest.zone)
	s.run(5 * time.Second)
	is.True(s.allActive(r))
	s.checkNoViolations(t)
}
