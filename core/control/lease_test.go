package control

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against losing the document or the shards when all instances are
// replaced during an outage of the platform.
func TestOutageWithReplacement(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	s := newSim(5, 6, 2)
	startFleet(t, s, 2)
	r := s.store.edit("a", "newest")
	s.run(5 * time.Second)
	s.store.down = true
	old := s.live()
	for i, n := range old {
		s.boot(i / 2)
		s.run(2 * time.Minute)
		n.leave()
		s.run(3 * time.Minute)
		is.True(n.left)
		is.True(s.allActive(r))
		is.True(s.allHeld())
	}
	s.store.down = false
	s.run(time.Minute)
	is.True(s.allActive(r))
	is.True(s.allHeld())
	r = s.store.edit("a", "after")
	s.run(5 * time.Second)
	is.True(s.allActive(r))
	s.checkNoViolations(t)
}

// Guards against taking the shard of a killed holder too early or never, also
// when its lease had expired long before in an outage of the platform.
func TestKilledHolder(t *testing.T) {
	t.Parallel()
	for _, outage := range []time.Duration{0, 2 * time.Minute} {
		t.Run(fmt.Sprint("outage ", outage), func(t *testing.T) {
			is := is.New(t)
			s := newSim(6, 2, 2)
			startFleet(t, s, 3)
			s.store.down = outage > 0
			s.run(outage)
			var victim *node
			for _, n := range s.live() {
				if len(n.held) > 0 {
					victim = n
				}
			}
			victim.kill()
			s.run(time.Second)
			s.store.down = false
			took := s.runUntil(3*time.Minute, s.allHeld)
			t.Logf("taken after %v", took)
			is.True(took >= s.quarantine())
			is.True(took < 60*time.Second)
			s.checkNoViolations(t)
		})
	}
}

// Guards against a holder that after a pause uses a shard which may have another
// holder, and against a shard that stays without a holder.
func TestPausedHolder(t *testing.T) {
	t.Parallel()
	cases := []struct {
		name  string
		pause time.Duration
		down  bool
		// kept is set if the holder has its shard again soon after the pause.
		kept bool
	}{
		{"short", 5 * time.Second, false, true},
		{"long", 15 * time.Second, false, true},
		{"long in an outage", 15 * time.Second, true, true},
		{"longer than the quarantine", 2 * time.Minute, false, false},
		{"longer than the quarantine in an outage", 2 * time.Minute, true, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			s := newSim(7, 2, 2)
			startFleet(t, s, 3)
			if c.down {
				s.store.down = true
				s.run(20 * time.Second)
			}
			var holder *node
			for _, n := range s.live() {
				if len(n.held) > 0 {
					holder = n
				}
			}
			shard := holder.held[0]
			holder.pause(c.pause)
			s.run(c.pause + 10*time.Second)
			is.Equal(len(holder.held) > 0 && holder.held[0].Shard == shard.Shard, c.kept)
			s.store.down = false
			s.run(2 * time.Minute)
			is.True(s.allHeld())
			s.checkNoViolations(t)
		})
	}
}

// Guards against a departing instance that does not hand its shard over, so that
// the shard is free only after the quarantine.
func TestDepartureHandsOver(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	s := newSim(8, 2, 2)
	startFleet(t, s, 2)
	s.boot(0)
	s.run(5 * time.Second)
	leaver := s.all[0]
	is.Equal(len(leaver.held), 1)
	leaver.leave()
	took := s.runUntil(time.Minute, func() bool { return leaver.left && s.allHeld() })
	t.Logf("handed over after %v", took)
	is.True(took < 2*time.Second)
	s.checkNoViolations(t)
}

// Guards against an instance that keeps several shards while another one has
// none, and against shards without a holder when there are few instances.
func TestShardsAreBalanced(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	s := newSim(9, 1, 4)
	startFleet(t, s, 1)
	is.Equal(len(s.all[0].held), 4)
	s.run(time.Minute)
	is.Equal(len(s.all[0].held), 4) // the write budget suffices to renew several
	s.boot(0)
	s.run(30 * time.Second)
	is.Equal(len(s.all[0].held), 2)
	is.Equal(len(s.all[1].held), 2)
	s.checkNoViolations(t)
}

// Guards against a first holder with a TakenAt, which would refuse keys as if
// the records of an earlier holder were lost, and against a successor without
// one.
func TestTakeoverTime(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	s := newSim(5, 2, 2)
	startFleet(t, s, 2)
	for _, n := range s.live() {
		for _, h := range n.held {
			is.True(h.TakenAt.IsZero())
		}
	}
	s.live()[0].kill()
	s.run(2 * time.Minute)
	is.True(s.allHeld())
	takenOver := 0
	for _, n := range s.live() {
		for _, h := range n.held {
			if !h.TakenAt.IsZero() {
				takenOver++
			}
		}
	}
	is.Equal(takenOver, 1)
	s.checkNoViolations(t)
}

// Guards against a zone that stops serving when the platform is unreachable and
// one of its instances dies or is paused, and against two holders when the
// paused instance resumes or a replacement starts.
func TestSurvivorKeepsShard(t *testing.T) {
	t.Parallel()
	cases := []struct {
		name    string
		perZone int
		disturb func(*sim, *node)
	}{
		{"alone", 1, func(*sim, *node) {}},
		{"other one died", 2, func(_ *sim, n *node) { n.kill() }},
		{"other one replaced", 2, func(s *sim, n *node) {
			n.kill()
			s.run(time.Second)
			s.boot(0)
		}},
		{"other one paused", 2, func(_ *sim, n *node) { n.pause(40 * time.Second) }},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			s := newSim(31, 2, 1)
			startFleet(t, s, c.perZone)
			holder := s.all[0]
			if c.perZone == 2 && len(holder.held) == 0 {
				holder = s.all[1]
			}
			s.store.down = true
			s.run(20 * time.Second)
			for _, n := range s.live() {
				if n != holder && n.zone == holder.zone {
					c.disturb(s, n)
				}
			}
			for range 120 {
				s.run(time.Second)
				is.Equal(len(holder.held), 1)
			}
			s.store.down = false
			s.run(2 * time.Minute)
			is.Equal(len(holder.held), 1)
			s.checkNoViolations(t)
		})
	}
}

// Guards against a handover while a request is in flight: the request started
// after the last report of none, and before the shard was no longer used.
func TestHandoverWaitsForRequests(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	s := newSim(32, 1, 2)
	startFleet(t, s, 2)
	leaver := s.all[0]
	leaver.leave()
	s.runUntil(time.Second, func() bool { return len(leaver.held) == 0 })
	leaver.requests = 1
	s.run(5 * time.Second)
	is.True(!leaver.left)
	is.True(!s.allHeld())
	leaver.requests = 0
	s.run(time.Second)
	is.True(leaver.left)
	is.True(s.allHeld())
	s.checkNoViolations(t)
}
