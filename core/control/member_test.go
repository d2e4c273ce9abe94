package control

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// sees reports whether an instance lists another one as a live peer.
func (n *node) sees(id InstanceID) bool {
	for _, p := range n.peers {
		if p.ID == id {
			return true
		}
	}
	return false
}

// Guards against slow detection of a death, in small and in large zones.
func TestDeathIsDetected(t *testing.T) {
	t.Parallel()
	cases := []struct {
		name           string
		zones, perZone int
		loss           float64
		deaths         int
	}{
		{"12 instances", 6, 2, 0, 60},
		{"12 instances, 5% loss", 6, 2, 0.05, 60},
		{"120 instances", 4, 30, 0, 10},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			s := newSim(1, c.zones, 2)
			startFleet(t, s, c.perZone)
			s.loss = c.loss
			s.run(5 * time.Second)
			worstZone, worstAll := time.Duration(0), time.Duration(0)
			for range c.deaths {
				live := s.live()
				victim := live[s.random.IntN(len(live))]
				victim.kill()
				removed := func(zoneOnly bool) func() bool {
					return func() bool {
						for _, n := range s.live() {
							if (!zoneOnly || n.zone == victim.zone) && n.sees(victim.id) {
								return false
							}
						}
						return true
					}
				}
				inZone := s.runUntil(20*time.Second, removed(true))
				all := inZone + s.runUntil(20*time.Second, removed(false))
				worstZone, worstAll = max(worstZone, inZone), max(worstAll, all)
				for z := range s.zones {
					if s.zones[z].Name == victim.zone {
						s.boot(z)
					}
				}
				s.run(time.Duration(3000+s.random.IntN(2000)) * time.Millisecond)
			}
			t.Logf("worst of %d deaths: %v in the zone, %v everywhere", c.deaths, worstZone, worstAll)
			is.True(worstZone <= 2*time.Second)
			is.True(worstAll <= 5*time.Second)
			s.checkNoViolations(t)
		})
	}
}

// Guards against live instances that are declared dead because of message loss.
func TestNoFalsePositive(t *testing.T) {
	t.Parallel()
	s := newSim(3, 6, 2)
	startFleet(t, s, 2)
	s.loss = 0.05
	s.run(time.Hour)
	for _, n := range s.all {
		if len(n.peers) != 11 {
			t.Errorf("%s sees %d peers", n.id, len(n.peers))
		}
		if n.engine.members.FalseDeathCount() != 0 {
			t.Errorf("%s was declared dead %d times", n.id, n.engine.members.FalseDeathCount())
		}
	}
	s.checkNoViolations(t)
}

// Guards against declaring the instances of a zone dead when the zone is only cut
// off from the others.
func TestZoneUnreachable(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	s := newSim(4, 4, 2)
	startFleet(t, s, 2)
	for z := 1; z < 4; z++ {
		s.cutLinks[[2]string{"z0", s.zones[z].Name}] = true
	}
	unreachable := func(want bool) func() bool {
		return func() bool {
			for _, n := range s.live() {
				for _, p := range n.peers {
					crossZone := (p.Zone == "z0") != (n.zone == "z0")
					if crossZone && p.Unreachable != want {
						return false
					}
				}
			}
			return true
		}
	}
	marked := s.runUntil(time.Minute, unreachable(true))
	s.run(10 * time.Minute)
	for _, n := range s.live() {
		is.Equal(len(n.peers), 7) // no instance is declared dead
	}
	s.cutLinks = map[[2]string]bool{}
	healed := s.runUntil(time.Minute, unreachable(false))
	t.Logf("marked after %v, cleared after %v", marked, healed)
	is.True(marked <= 15*time.Second)
	is.True(healed <= 15*time.Second)
	s.checkNoViolations(t)
}
