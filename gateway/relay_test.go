package gateway

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against a fleet whose start costs the store a number of calls that
// grows with the instances times the changes: each instance would read all
// tables and follow them itself until it has found its relay.
//
// The load: all instances of a zone start within 0.3 s while the targets are
// still registering.
func TestStartingZoneReadsTheStoreOnce(t *testing.T) {
	const (
		instances = 12
		targets   = 60
	)
	is := is.New(t)
	s := newSite(t)
	registered := make(chan struct{})
	go func() {
		defer close(registered)
		for i := range targets {
			s.register(fmt.Sprintf("i-%d", i), fmt.Sprintf("127.0.0.1:%d", 1+i), "ready", 1)
			time.Sleep(50 * time.Millisecond)
		}
	}()
	started := make(chan *Gateway, instances)
	for i := range instances {
		go func() {
			time.Sleep(time.Duration(i) * 25 * time.Millisecond)
			started <- s.startInstance(fmt.Sprintf("g-%02d", i))
		}()
	}
	<-registered
	for range instances {
		s.waitForTargets(<-started, targets)
	}
	// Each instance writes its row and reads those of the others. The relay
	// reads two tables and follows the registry for 3 s in steps of
	// feedBatchDelay; the others only fall back to the store at first.
	reads := s.store.Calls("/rows-get") - instances
	follows := s.store.Calls("/rows-feed")
	t.Logf("reads of feeds: %d, calls for changes: %d", reads, follows)
	is.True(reads+follows <= 2*instances)
}

// Guards against a starting instance that takes the targets from an instance
// which has itself lost the store: a target that left meanwhile would be used
// again.
func TestStartTakesNoStaleTableWhileTheStoreIsReachable(t *testing.T) {
	is := is.New(t)
	s := newSite(t)
	s.startTarget("i-1", respondOK)
	s.startTarget("i-2", respondOK)
	link := s.startStoreLink()
	a := s.startInstanceAt("a", 320, 1000, link.listener.Addr().String())
	s.waitForTargets(a, 2)
	link.cut()
	s.waitFor("store outage of one instance", func() bool { return !a.storeState.isCurrent(time.Now()) })
	s.store.Remove("servers", "i-1")
	b := s.startInstance("b")
	s.waitFor("heartbeats", func() bool { return len(b.peers.live(time.Now())) == 1 })
	for range 20 {
		time.Sleep(50 * time.Millisecond)
		b.mu.Lock()
		known := b.engine.Targets()
		b.mu.Unlock()
		is.Equal(known, 1)
	}
}

// Guards against a fleet that starts again and waits for its rows to be written
// one after the other, though they still hold.
func TestRestartKeepsItsRow(t *testing.T) {
	is := is.New(t)
	s := newSite(t)
	a, b := s.startInstance("a"), s.startInstance("b")
	s.waitFor("heartbeats", func() bool { return len(a.peers.live(time.Now())) == 1 })
	written := s.store.Calls("/rows-tx")
	node := *b.node
	node.FirstStart = false
	b.Cleanup()
	again := New(&node)
	is.NoErr(again.Provision())
	again.Start()
	t.Cleanup(again.Cleanup)
	s.waitFor("readiness", again.ready)
	s.waitFor("heartbeats", func() bool { return len(again.peers.live(time.Now())) == 1 })
	is.Equal(s.store.Calls("/rows-tx"), written)

	moved := node
	moved.PeerPort = freePorts(t, 1)[0]
	again.Cleanup()
	elsewhere := New(&moved)
	is.NoErr(elsewhere.Provision())
	elsewhere.Start()
	t.Cleanup(elsewhere.Cleanup)
	s.waitFor("a new row", func() bool { return s.store.Calls("/rows-tx") == written+1 })
}

// Guards against an instance that starts without the store and does not ask the
// zone until several calls have timed out, and against one that takes stale
// tables before it asked the store.
func TestStartAlternatesBetweenStoreAndZone(t *testing.T) {
	is := is.New(t)
	is.Equal(nextFailures(0, false), 1) // the store failed: next is the zone
	is.Equal(nextFailures(1, true), 2)  // the zone failed: next is the store
	is.Equal(nextFailures(1, false), 3) // no instance of the zone was known
	is.Equal(nextFailures(0, true), 2)  // the relay refused: next is the store
	is.Equal(nextFailures(2, false), 3)
}
