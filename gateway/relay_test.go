package gateway

import (
	"bytes"
	"compress/gzip"
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/valyala/fasthttp"

	"pistachioford.example/core/feed"
	"pistachioford.example/core/presence"
	"pistachioford.example/pistachioford/platform"
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

// Guards against a relay whose memory and link fill up when all instances of its
// zone start at the same time and read its tables.
func TestTableIsEncodedOnceAndSmall(t *testing.T) {
	is := is.New(t)
	h := newHistory(platform.FeedRegistry)
	var rows []platform.Row
	for i := range 3000 {
		rows = append(rows, platform.Row{Key: fmt.Sprintf("i-%d", i), Version: feed.Version(i + 1), Value: fmt.Appendf(nil,
			`{"address":"10.1.0.%d:80","born":1,"info":{"service":"s","zone":"za","capacity":3},"status":{"state":"ready","seq":%d,"cold_left":"0ms"}}`, i%250, i)})
	}
	at := platform.Position{Next: 3000, Newest: 3000, Covered: 3000}
	h.update(time.Now(), rows, at, true)
	first, err := h.compressedTable()
	is.NoErr(err)
	second, err := h.compressedTable()
	is.NoErr(err)
	is.True(&first[0] == &second[0])
	is.True(len(first) < 100_000)

	resp := &fasthttp.Response{}
	resp.Header.SetContentEncoding("gzip")
	resp.SetBodyRaw(first)
	decoded, err := decodeRelayResponse(resp, 0)
	is.NoErr(err)
	is.Equal(len(decoded.Rows), 3000)
	is.Equal(decoded.At, at)

	h.update(time.Now(), []platform.Row{{Key: "i-0", Version: 3001, Deleted: true}}, platform.Position{Next: 3001, Newest: 3001, Covered: 3001}, false)
	changed, err := h.compressedTable()
	is.NoErr(err)
	resp.SetBodyRaw(changed)
	decoded, err = decodeRelayResponse(resp, 0)
	is.NoErr(err)
	is.Equal(len(decoded.Rows), 2999)
}

// Guards against a compressed response that takes an instance's memory.
func TestCompressedTableIsBounded(t *testing.T) {
	is := is.New(t)
	var compressed bytes.Buffer
	w := gzip.NewWriter(&compressed)
	_, err := w.Write(make([]byte, maxRelayResponse+2))
	is.NoErr(err)
	is.NoErr(w.Close())
	_, err = decompressTable(compressed.Bytes())
	is.Equal(err, errTooLarge)
	_, err = decompressTable([]byte("no gzip"))
	is.True(err != nil)
}

// Guards against a fleet whose readers of the store have all lost it, or have a
// silent connection: nobody else would notice a change.
func TestInstancesThatLoseTheStoreAreReplacedAsReaders(t *testing.T) {
	s := newSite(t)
	links := map[string]*faultyLink{}
	var instances []*Gateway
	for i := range 5 {
		name := fmt.Sprintf("g-%d", i)
		links[name] = s.startFaultyLink()
		instances = append(instances, s.startInstanceAt(name, 320, 1000, links[name].listener.Addr().String()))
	}
	readers := func() (readers []*Gateway) {
		for _, g := range instances {
			if relayOf(platform.FeedOperator, g.self(), g.peers.live(time.Now())) == "" {
				readers = append(readers, g)
			}
		}
		return readers
	}
	s.waitFor("readers", func() bool { return len(readers()) == minStoreReaders })
	lost := readers()
	relay := slices.IndexFunc(lost, func(g *Gateway) bool { return relayAddress(g.self(), g.peers.live(time.Now())) == "" })
	for i, g := range lost {
		if i != relay {
			links[g.node.Name].fail(false, false)
		}
	}
	for i, g := range lost {
		if i != relay {
			s.waitFor("loss of the store", func() bool { return isClosed(g.storeState.whenLost()) })
		}
	}
	// Heartbeats report the loss, and others follow the store instead.
	time.Sleep(3 * presence.Interval)
	// Their held calls have begun.
	time.Sleep(time.Second)
	links[lost[relay].node.Name].fail(true, true)
	s.setDocument(2)
	put := time.Now()
	var checks sync.WaitGroup
	for _, g := range instances {
		if slices.Contains(lost, g) {
			continue
		}
		checks.Go(func() {
			s.waitForDocument(g, 2)
			took := time.Since(put)
			t.Logf("%s has version 2 after %v", g.node.Name, took)
			if took > documentDelay {
				t.Errorf("%s has version 2 after %v", g.node.Name, took)
			}
		})
	}
	checks.Wait()
}
