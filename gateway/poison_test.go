package gateway

import (
	"fmt"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"pistachioford.example/core/steer"
	"pistachioford.example/pistachioford/platform/standin"
)

// poisonPath is the path of an order that crashes each target which runs it.
const poisonPath = "/order/crash"

// startCrashableTargets starts targets that close the connection of an order for
// poisonPath, and returns the number of such orders that they received.
func (s *site) startCrashableTargets(n int) *atomic.Int64 {
	var crashes atomic.Int64
	for i := range n {
		s.startTarget(fmt.Sprintf("i-%d", i), func(conn net.Conn, r *receivedRequest) bool {
			if r.line != "POST "+poisonPath {
				return respondOK(conn, r)
			}
			crashes.Add(1)
			return false
		})
	}
	return &crashes
}

// blockPoison sends copies of the order to an instance until it refuses them.
func (s *site) blockPoison(g *Gateway) {
	s.t.Helper()
	for range 10 {
		if s.connect(g).do("POST", poisonPath, "x").status == 503 {
			return
		}
	}
	s.t.Fatal("the request is not refused")
}

// TestStartingInstanceRefusesPoisonRequests guards against an instance that
// starts after a request has crashed several targets, and sends copies of it to
// more of them: while others run, after all have stopped, and while the store
// cannot be reached.
func TestStartingInstanceRefusesPoisonRequests(t *testing.T) {
	is := is.New(t)
	s := newSite(t)
	crashes := s.startCrashableTargets(8)
	first, second := s.startInstance("g-1"), s.startInstance("g-2")
	s.waitForTargets(first, 8)
	s.blockPoison(first)
	reached := crashes.Load()
	s.waitFor("saved verdict", func() bool {
		count := 0
		first.withEngine(func(e *steer.Engine) { count = len(e.Poison().Unsaved(time.Now(), 10)) })
		return count == 0
	})
	s.waitFor("verdict at a running instance", func() bool { return s.connect(second).do("POST", poisonPath, "x").status == 503 })
	is.True(crashes.Load() <= reached+1) // second may send one copy before it learns of the verdict

	s.restarting = true
	reached = crashes.Load()
	third := s.startInstance("g-3")
	is.Equal(s.connect(third).do("POST", poisonPath, "x").status, 503)

	for _, g := range []*Gateway{first, second, third} {
		g.Cleanup()
	}
	fourth := s.startInstance("g-4")
	is.Equal(s.connect(fourth).do("POST", poisonPath, "x").status, 503)
	is.Equal(s.connect(fourth).do("POST", "/order/2", "x").status, 200)

	// An instance that starts again where the others know it, without the store.
	fifth := s.startInstance("g-5")
	s.waitFor("both instances", func() bool { return len(fourth.peers.live(time.Now())) == 1 })
	node := *fifth.node
	fifth.Cleanup()
	s.store.SetFault(standin.Down)
	fifth = New(&node)
	is.NoErr(fifth.Provision())
	fifth.Start()
	t.Cleanup(fifth.Cleanup)
	s.waitFor("ready", fifth.ready)
	is.Equal(s.connect(fifth).do("POST", poisonPath, "x").status, 503)
	is.Equal(s.connect(fifth).do("POST", "/order/3", "x").status, 200)
	is.Equal(crashes.Load(), reached)
}

// TestRebuiltEngineRefusesPoisonRequests guards against an instance that forgets
// them after an unexpected error.
func TestRebuiltEngineRefusesPoisonRequests(t *testing.T) {
	is := is.New(t)
	s := newSite(t)
	crashes := s.startCrashableTargets(8)
	g := s.startInstance("g-1")
	s.waitForTargets(g, 8)
	s.blockPoison(g)
	reached := crashes.Load()
	is.True(!g.guard("test", func() { g.withEngine(func(*steer.Engine) { panic("unexpected") }) }))
	is.Equal(s.connect(g).do("POST", poisonPath, "x").status, 503)
	is.Equal(crashes.Load(), reached)
}

// TestUnreadableVerdictsAreLeftOut guards against an instance that does not start
// since a saved verdict cannot be decoded.
func TestUnreadableVerdictsAreLeftOut(t *testing.T) {
	is := is.New(t)
	s := newSite(t)
	s.startCrashableTargets(1)
	s.restarting = true
	for key, value := range map[string]string{
		"x": `{"serial":1}`, "00000000000000aa": `{"serial":`, "00000000000000ab": `{"serial":-1}`, "00000000000000ac": `[[`,
		"00000000000000ad": `{"serial":1,"crashes":-3}`, "00000000000000ae": `{"serial":2,"crashes":3,"last_copy":9e30}`,
	} {
		s.store.Put("pistachioford_poison", key, []byte(value))
	}
	s.store.Put("pistachioford_poison", "00000000000000af", fmt.Appendf(nil, `{"serial":2,"crashes":3,"last_copy":%d}`, time.Now().Unix()))
	g := s.startInstance("g-1")
	g.withEngine(func(e *steer.Engine) {
		is.Equal(len(e.Poison().Verdicts(time.Now())), 1)
		is.True(e.Poison().Blocked(0xaf))
	})
}
