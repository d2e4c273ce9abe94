package gateway

import (
	"fmt"
	"math/rand/v2"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"pistachioford.example/core/steer"
	"pistachioford.example/pistachioford/platform"
	"pistachioford.example/pistachioford/platform/standin"
)

// restoreStore makes the store unavailable for a moment, and return from the copy
// of a version.
func (s *site) restoreStore(version uint64) {
	s.store.SetFault(standin.Down)
	time.Sleep(300 * time.Millisecond)
	s.store.Restore(version)
	s.store.SetFault(standin.Healthy)
}

// TestChangeAfterARestoreIsActiveInTime guards against instances that refuse the
// tables of a store which came back from a copy, since its versions are lower
// than before, and against ones that skip its changes.
func TestChangeAfterARestoreIsActiveInTime(t *testing.T) {
	s := newSite(t)
	instances := []*Gateway{s.startInstance("a"), s.startInstance("b"), s.startInstance("c"), s.startInstance("d"), s.startInstance("e")}
	version := 1
	for _, lost := range []uint64{6, 2} {
		for range 8 {
			version++
			s.setDocument(version)
		}
		s.waitForDocuments(instances, version)
		s.restoreStore(s.store.Version() - lost)
		time.Sleep(600 * time.Millisecond)
		for range 3 {
			version++
			s.setDocument(version)
			if took := s.waitForDocuments(instances, version); took > documentDelay {
				t.Errorf("version %d is active after %v", version, took)
			}
		}
	}
}

// waitForDocuments waits until all instances use a version of the document.
func (s *site) waitForDocuments(instances []*Gateway, version int) time.Duration {
	s.t.Helper()
	began := time.Now()
	for _, g := range instances {
		s.waitForDocument(g, uint64(version))
	}
	return time.Since(began)
}

// TestChangesOfANewEraAreNotSkipped guards against an instance that continues
// from a version of the earlier era which the store has given out again.
func TestChangesOfANewEraAreNotSkipped(t *testing.T) {
	is := is.New(t)
	s := newSite(t)
	s.store.Put("op", "evacuate/zb", []byte("{}"))
	client := platform.NewStore(s.store.Address())
	_, at, err := client.Read(t.Context(), platform.FeedOperator)
	is.NoErr(err)
	s.store.Restore(1)
	s.setDocument(2)
	s.store.Put("other", "x", nil)
	s.store.Put("other", "y", nil)
	_, _, err = client.Watch(t.Context(), platform.FeedOperator, at.Next, 0)
	is.Equal(err, platform.ErrHistoryDropped)
	_, restored, err := client.Read(t.Context(), platform.FeedOperator)
	is.NoErr(err)
	is.True(restored.Next > at.Next)
	is.Equal(restored.Next.Era(), uint64(1))
}

// TestRestoreKeepsWhatWasWrittenSince guards against an older document, a zone
// whose evacuation ends, a target that left and is used again, and one that is
// dropped, until their writers have written again.
func TestRestoreKeepsWhatWasWrittenSince(t *testing.T) {
	is := is.New(t)
	s := newSite(t)
	old := s.startTarget("i-old", respondOK)
	left := s.startTarget("i-left", respondOK)
	s.setDocument(2)
	relay, follower := s.startInstance("a"), s.startInstance("b")
	instances := []*Gateway{relay, follower}
	for _, g := range instances {
		s.waitForTargets(g, 2)
	}
	copied := s.store.Version()
	s.setDocument(3)
	s.store.Put("op", "evacuate/zb", []byte("{}"))
	s.store.Remove("servers", "i-left")
	s.startTarget("i-new", respondOK)
	s.register("i-old", old.listener.Addr().String(), "draining", 2)
	evacuated := func(g *Gateway) (zones []string) {
		g.withEngine(func(e *steer.Engine) { zones = e.Evacuated() })
		return zones
	}
	for _, g := range instances {
		s.waitForDocument(g, 3)
		s.waitFor("evacuation", func() bool { return len(evacuated(g)) == 1 })
		s.waitFor("the targets", func() bool { return g.hasTarget("i-new") && !g.hasTarget("i-left") })
	}
	served := left.count() + old.count()
	s.restoreStore(copied)
	restored := time.Now()
	check := func(g *Gateway) {
		is.Equal(g.documentVersion(), uint64(3))
		is.Equal(evacuated(g), []string{"zb"})
		is.True(g.hasTarget("i-new"))
		is.True(!g.hasTarget("i-left"))
		is.Equal(s.connect(g).do("GET", "/read/1", "").status, 200)
	}
	for time.Since(restored) < time.Second {
		for _, g := range instances {
			check(g)
		}
		time.Sleep(20 * time.Millisecond)
	}
	s.setDocument(3)
	s.store.Put("op", "evacuate/zb", []byte("{}"))
	s.register("i-old", old.listener.Addr().String(), "draining", 3)
	s.register("i-new", s.targetAddress(relay, "i-new"), "ready", 2)
	starting := s.startInstance("c")
	instances = append(instances, starting)
	for time.Since(restored) < 5*time.Second {
		for _, g := range instances {
			check(g)
		}
		time.Sleep(20 * time.Millisecond)
	}
	is.Equal(left.count()+old.count(), served)
	// The lease of the target that left ends.
	s.store.Remove("servers", "i-left")
	s.store.Remove("op", "evacuate/zb")
	for _, g := range instances {
		s.waitFor("end of the evacuation", func() bool { return len(evacuated(g)) == 0 })
	}
}

func (g *Gateway) hasTarget(id string) bool {
	rows, _, _, _ := g.relays.histories[platform.FeedRegistry].changesSince(0)
	for _, row := range rows {
		if row.Key == id {
			return true
		}
	}
	return false
}

// targetAddress returns the address of a target in an instance's table.
func (s *site) targetAddress(g *Gateway, id string) string {
	s.t.Helper()
	rows, _, _, _ := g.relays.histories[platform.FeedRegistry].changesSince(0)
	for _, change := range platform.DecodeRegistry(rows) {
		if string(change.ID) == id {
			return change.Record.Address
		}
	}
	s.t.Fatalf("target %s is unknown", id)
	return ""
}

// TestRowsOfInstancesAreWrittenAgain guards against instances that are not found
// by those that start after the store has lost their rows, and against verdicts
// that it loses.
func TestRowsOfInstancesAreWrittenAgain(t *testing.T) {
	s := newSite(t)
	s.startCrashableTargets(6)
	copied := s.store.Version()
	a, b := s.startInstance("a"), s.startInstance("b")
	s.waitFor("instances", func() bool {
		return len(a.peers.live(time.Now())) == 1 && len(b.peers.live(time.Now())) == 1 && s.store.Has("pistachioford_instances", "b")
	})
	s.waitForTargets(a, 6)
	s.blockPoison(a)
	s.waitFor("saved verdict", func() bool { return s.store.Count("pistachioford_poison") == 1 })
	s.restoreStore(copied)
	s.waitFor("rows of the instances", func() bool {
		return s.store.Has("pistachioford_instances", "a") && s.store.Has("pistachioford_instances", "b")
	})
	s.waitFor("saved verdict", func() bool { return s.store.Count("pistachioford_poison") == 1 })
}

// TestDocumentSchedulesWithRestores guards against the same as
// TestDocumentSchedules, with a store that comes back from older copies.
func TestDocumentSchedulesWithRestores(t *testing.T) {
	for i := range *scheduleSeeds {
		seed := *firstScheduleSeed + uint64(i)
		t.Run(strconv.FormatUint(seed, 10), func(t *testing.T) {
			t.Parallel()
			runRestoreSchedule(t, rand.New(rand.NewPCG(seed, 26)))
		})
	}
}

func runRestoreSchedule(t *testing.T, random *rand.Rand) {
	s := newSite(t)
	var instances []*Gateway
	var links []*faultyLink
	for i := range scheduleInstances {
		link := s.startFaultyLink()
		links = append(links, link)
		instances = append(instances, s.startInstanceAt(fmt.Sprintf("g-%d", i), 320, 1000, link.listener.Addr().String()))
	}
	var checks sync.WaitGroup
	version := uint64(1)
	for range scheduleSteps {
		switch random.IntN(8) {
		case 0, 1, 2, 3, 4:
			version++
			s.setDocument(int(version))
			put, wanted := time.Now(), version
			checks.Go(func() { checkDocument(t, instances, links, put, wanted) })
		case 5:
			s.store.DropHistory()
		default:
			now := s.store.Version()
			s.restoreStore(now - min(now-1, random.Uint64N(8)))
			// The operator writes again what was lost.
			s.setDocument(int(version))
		}
		time.Sleep(time.Duration(random.IntN(900)) * time.Millisecond)
		for _, g := range instances {
			if active := g.documentVersion(); active > version {
				t.Errorf("%s uses version %d, which was never written", g.node.Name, active)
			}
		}
	}
	checks.Wait()
}

// TestEarlierBuildsFollowARelay guards against calls without a pause by instances
// of a build that names no era, while a fleet is replaced.
func TestEarlierBuildsFollowARelay(t *testing.T) {
	is := is.New(t)
	s := newSite(t)
	s.store.Restore(s.store.Version())
	g := s.startInstance("g")
	s.setDocument(2)
	s.waitForDocument(g, 2)
	_, at, _, _ := g.relays.histories[platform.FeedOperator].changesSince(0)
	is.Equal(at.Next.Era(), uint64(1))
	url := fmt.Sprintf("%s%s?after=%d&wait_ms=300", relayPath, platform.FeedOperator, at.Next.Counter())
	began := time.Now()
	response := httpGet(t, peerAddress(g.node), url)
	is.Equal(response.status, 200)
	is.True(time.Since(began) >= 300*time.Millisecond)
	is.Equal(response.body, fmt.Sprintf(`{"rows":null,"at":{"next":%d,"newest":%d,"covered":%d},"era":1}`,
		at.Next.Counter(), at.Newest.Counter(), at.Covered.Counter()))
}
