package control

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
)

// fleet starts instances in all zones with revision 1 and waits until it is
// active and all shards are held.
func fleet(t *testing.T, s *sim, perZone int) {
	t.Helper()
	s.store.edit("a", "1")
	for z := range s.zones {
		for range perZone {
			s.boot(z)
		}
	}
	took := s.until(30*time.Second, func() bool { return s.allActive(1) && s.allHeld() })
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

// allHeld tells whether each shard of each zone has a user.
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

func (s *sim) noFaults(t *testing.T) {
	t.Helper()
	for _, f := range s.judge.faults {
		t.Error(f)
	}
}

// Guards against a change that stays in a part of the fleet or arrives late.
func TestChangeActiveEverywhere(t *testing.T) {
	t.Parallel()
	cases := []struct {
		name   string
		delay  time.Duration
		cutOff string
		limit  time.Duration
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
				fleet(t, s, 2)
				s.store.delay = c.delay
				s.noPlat[c.cutOff] = true
				s.run(10 * time.Second)
				for i := range 5 {
					r := s.store.edit("a", fmt.Sprint("text", i))
					worst = max(worst, s.until(time.Minute, func() bool { return s.allActive(r) }))
					s.run(3 * time.Second)
				}
				s.noFaults(t)
			}
			t.Logf("worst of 100 changes: %v", worst)
			is.True(worst <= c.limit)
		})
	}
}

// Guards against an instance that knows its zone peers only from the instance list
// and counts as alone before they answer.
func TestStartByInstanceList(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	s := newSim(22, 1, 2)
	fleet(t, s, 2)
	s.seeds = []string{}
	s.noPlat["z0"] = true
	r := s.store.edit("a", "unknown to the zone")
	s.boot(0)
	s.run(5 * time.Second)
	is.Equal(s.all[2].active, nil) // nobody is known
	delete(s.noPlat, "z0")
	s.until(5*time.Second, func() bool { return s.all[2].active != nil })
	is.True(s.all[2].engine.join.zonePeerAnswered)
	s.run(3 * time.Second)
	is.True(s.allActive(r))
	s.noFaults(t)
}

// Guards against a start from a zone peer that missed a revision: the zone is cut
// off, the only instance that had the newest revision dies, and the other one
// was paused while it became active.
func TestStartWithoutSource(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	s := newSim(21, 2, 2)
	fleet(t, s, 2)
	s.run(2 * time.Second)
	paused, newest := s.all[0], s.all[1]
	paused.pause(5 * time.Second)
	r := s.store.edit("a", "newest")
	s.until(4*time.Second, func() bool { return newest.active.Revision == r })
	s.cutZones(time.Minute)
	s.noPlat[newest.zone] = true
	newest.kill()
	started := s.boot(0)
	s.run(30 * time.Second)
	is.Equal(paused.active.Revision, r-1) // goes on with what it has
	is.Equal(started.active, nil)
	delete(s.noPlat, newest.zone)
	s.run(5 * time.Second)
	is.True(s.allActive(r))
	s.noFaults(t)
}
