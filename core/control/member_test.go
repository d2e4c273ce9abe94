package control

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// sees tells whether an instance shows another one as a live peer.
func (n *node) sees(id InstanceID) bool {
	for _, p := range n.peers {
		if p.ID == id {
			return true
		}
	}
	return false
}

// Guards against slow detection, in small and in large zones.
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
			fleet(t, s, c.perZone)
			s.loss = c.loss
			s.run(5 * time.Second)
			worstZone, worstAll := time.Duration(0), time.Duration(0)
			for range c.deaths {
				live := s.live()
				victim := live[s.random.IntN(len(live))]
				victim.kill()
				gone := func(zoneOnly bool) func() bool {
					return func() bool {
						for _, n := range s.live() {
							if (!zoneOnly || n.zone == victim.zone) && n.sees(victim.id) {
								return false
							}
						}
						return true
					}
				}
				inZone := s.until(20*time.Second, gone(true))
				all := inZone + s.until(20*time.Second, gone(false))
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
			s.noFaults(t)
		})
	}
}

// Guards against live instances that are declared dead because of loss.
func TestNoFalsePositive(t *testing.T) {
	t.Parallel()
	s := newSim(3, 6, 2)
	fleet(t, s, 2)
	s.loss = 0.05
	s.run(time.Hour)
	for _, n := range s.all {
		if len(n.peers) != 11 {
			t.Errorf("%s sees %d peers", n.id, len(n.peers))
		}
		if n.engine.members.FalseDeaths() != 0 {
			t.Errorf("%s was declared dead %d times", n.id, n.engine.members.FalseDeaths())
		}
	}
	s.noFaults(t)
}

// Guards against declaring the instances of a zone dead that is only cut off.
func TestZoneUnreachable(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	s := newSim(4, 4, 2)
	fleet(t, s, 2)
	for z := 1; z < 4; z++ {
		s.cut[[2]string{"z0", s.zones[z].Name}] = true
	}
	unreachable := func(want bool) func() bool {
		return func() bool {
			for _, n := range s.live() {
				for _, p := range n.peers {
					across := (p.Zone == "z0") != (n.zone == "z0")
					if across && p.Unreachable != want {
						return false
					}
				}
			}
			return true
		}
	}
	marked := s.until(time.Minute, unreachable(true))
	s.run(10 * time.Minute)
	for _, n := range s.live() {
		is.Equal(len(n.peers), 7) // nobody is declared dead
	}
	s.cut = map[[2]string]bool{}
	healed := s.until(time.Minute, unreachable(false))
	t.Logf("marked after %v, cleared after %v", marked, healed)
	is.True(marked <= 15*time.Second)
	is.True(healed <= 15*time.Second)
	s.noFaults(t)
}
