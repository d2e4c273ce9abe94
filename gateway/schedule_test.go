package gateway

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"net"
	"strconv"
	"sync"
	"testing"
	"time"

	"pistachioford.example/core/presence"
	"pistachioford.example/pistachioford/platform"
)

var (
	scheduleSeeds     = flag.Int("schedule-seeds", 2, "number of seeds of document schedules to run, at the same time")
	firstScheduleSeed = flag.Uint64("first-schedule-seed", 1, "first of these seeds")
)

// faultyLink forwards connections to the store. Its faults hit all open
// connections; new ones work as long as accepts is set.
type faultyLink struct {
	listener net.Listener
	store    string

	mu      sync.Mutex
	accepts bool
	open    map[*forwarded]struct{}
	// changedAt is when the last fault began or ended.
	changedAt time.Time
}

type forwarded struct {
	near, far net.Conn
	// silent is set if nothing is forwarded any more, though both sides stay
	// open.
	silent bool
}

func (s *site) startFaultyLink() *faultyLink {
	s.t.Helper()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		s.t.Fatal(err)
	}
	l := &faultyLink{listener: listener, store: s.store.Address(), accepts: true, open: map[*forwarded]struct{}{}}
	s.t.Cleanup(func() {
		_ = listener.Close()
		l.fail(false, false)
	})
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go l.forward(conn)
		}
	}()
	return l
}

func (l *faultyLink) forward(near net.Conn) {
	far, err := net.Dial("tcp4", l.store)
	if err != nil {
		_ = near.Close()
		return
	}
	f := &forwarded{near: near, far: far}
	l.mu.Lock()
	if !l.accepts {
		_ = near.Close()
		_ = far.Close()
	} else {
		l.open[f] = struct{}{}
	}
	l.mu.Unlock()
	go l.copy(f, near, far)
	l.copy(f, far, near)
}

func (l *faultyLink) copy(f *forwarded, to, from net.Conn) {
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		l.mu.Lock()
		silent := f.silent
		l.mu.Unlock()
		if !silent && n > 0 {
			_, err = to.Write(buffer[:n])
		}
		if err != nil {
			if !silent {
				_ = f.near.Close()
				_ = f.far.Close()
			}
			return
		}
	}
}

// fail closes the open connections or, if silently is set, stops forwarding.
// accepts says whether new ones work.
func (l *faultyLink) fail(silently, accepts bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.accepts, l.changedAt = accepts, time.Now()
	for f := range l.open {
		if silently {
			f.silent = true
			continue
		}
		_ = f.near.Close()
		_ = f.far.Close()
	}
	clear(l.open)
}

func (l *faultyLink) repair() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.accepts, l.changedAt = true, time.Now()
}

// worksSince returns when the link last changed, or false while it refuses
// connections.
func (l *faultyLink) worksSince() (time.Time, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.changedAt, l.accepts
}

// Guards against a relay whose connection to the store has fallen silent, and
// whose followers then get a change only after its call has timed out.
func TestSilentRelayDoesNotDelayTheDocument(t *testing.T) {
	s := newSite(t)
	var instances []*Gateway
	links := map[string]*faultyLink{}
	for i := range 4 {
		link := s.startFaultyLink()
		g := s.startInstanceAt(fmt.Sprintf("g-%d", i), 320, 1000, link.listener.Addr().String())
		links[g.node.Name] = link
		instances = append(instances, g)
	}
	isRelay := func(g *Gateway) bool { return relayAddress(g.self(), g.peers.live(time.Now())) == "" }
	s.setDocument(2)
	for _, g := range instances {
		s.waitFor("version 2", func() bool { return g.documentVersion() == 2 })
	}
	// All begin a new held call.
	time.Sleep(fallbackBatchDelay)
	for _, g := range instances {
		if isRelay(g) {
			links[g.node.Name].fail(true, true)
		}
	}
	s.setDocument(3)
	time.Sleep(documentDelay)
	for _, g := range instances {
		if !isRelay(g) && g.documentVersion() != 3 {
			t.Errorf("%s uses version %d, %v after version 3 was put", g.node.Name, g.documentVersion(), documentDelay)
		}
	}
}

// Guards against an instance that makes one call after the other on connections
// which have fallen silent together, and waits for the timeout of each.
func TestSilentIdleConnectionsAreNotUsedAgain(t *testing.T) {
	s := newSite(t)
	link := s.startFaultyLink()
	g := s.startInstanceAt("g", 320, 1000, link.listener.Addr().String())
	_, at, _, _ := g.relays.histories[platform.FeedOperator].changesSince(0)
	var held sync.WaitGroup
	for range 6 {
		// Leaves an idle connection.
		held.Go(func() {
			_, _, _ = g.storeClient.Watch(t.Context(), platform.FeedOperator, at.Next, 300*time.Millisecond)
		})
	}
	held.Wait()
	link.fail(true, true)
	version := s.putDocument(2)
	g.handleHeartbeat(heartbeatMessage{own: presence.Heartbeat{
		Name: "elsewhere", Zone: "zb", PeerAddr: "127.0.0.1:1", Sequence: 1, Document: version,
	}})
	if took := s.waitForDocument(g, 2); took > documentDelay {
		t.Errorf("version 2 active %v after another instance reported it", took)
	}
}

const (
	scheduleInstances = 5
	scheduleSteps     = 16
	// linkStable is how long a link must have worked before an instance has to
	// follow the store.
	linkStable = 3 * time.Second
)

// Guards against an instance that reaches the store and misses, loses or gets
// late a version of the document, whatever happened to its relay, its
// connections, or the history of the store. Each seed is a random schedule of
// document changes and faults.
func TestDocumentSchedules(t *testing.T) {
	for i := range *scheduleSeeds {
		seed := *firstScheduleSeed + uint64(i)
		t.Run(strconv.FormatUint(seed, 10), func(t *testing.T) {
			t.Parallel()
			runDocumentSchedule(t, rand.New(rand.NewPCG(seed, 23)))
		})
	}
}

func runDocumentSchedule(t *testing.T, random *rand.Rand) {
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
	highest := make([]uint64, scheduleInstances)
	for range scheduleSteps {
		switch random.IntN(8) {
		case 0, 1, 2:
			version++
			s.setDocument(int(version))
			put, wanted := time.Now(), version
			checks.Go(func() { checkDocument(t, instances, links, put, wanted) })
		case 3:
			s.store.DropHistory()
		case 4:
			links[random.IntN(scheduleInstances)].fail(true, true)
		case 5:
			links[random.IntN(scheduleInstances)].fail(false, false)
		case 6:
			links[random.IntN(scheduleInstances)].fail(true, false)
		case 7:
			links[random.IntN(scheduleInstances)].repair()
		}
		for end := time.Now().Add(time.Duration(random.IntN(900)) * time.Millisecond); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
			for i, g := range instances {
				active := g.documentVersion()
				if active < highest[i] {
					t.Errorf("%s went back from version %d to %d", g.node.Name, highest[i], active)
				}
				highest[i] = max(highest[i], active)
			}
		}
	}
	checks.Wait()
}

// checkDocument checks documentDelay after a version was put that the instances
// whose links worked all the time use it.
func checkDocument(t *testing.T, instances []*Gateway, links []*faultyLink, put time.Time, version uint64) {
	time.Sleep(time.Until(put.Add(documentDelay)))
	for i, g := range instances {
		active := g.documentVersion()
		if since, works := links[i].worksSince(); works && put.Sub(since) >= linkStable && active < version {
			t.Errorf("%s uses version %d, %v after version %d was put; its link last changed %v",
				g.node.Name, active, time.Since(put), version, since)
		}
	}
}
