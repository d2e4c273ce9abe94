package gateway

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"slices"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/matryer/is"

	"pistachioford.example/core/feed"
	"pistachioford.example/core/presence"
	"pistachioford.example/pistachioford/platform"
)

// documentDelay is how long after its acknowledgement a document version may be
// missing at an instance that reaches the platform: the shortest time among the
// users' sites.
const documentDelay = 2 * time.Second

// silentRelay is a relay that accepts calls and never responds.
type silentRelay struct {
	heartbeat presence.Heartbeat
}

// startSilentRelay makes an instance follow a relay that does not respond.
func (s *site) startSilentRelay(g *Gateway) *silentRelay {
	s.t.Helper()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		s.t.Fatal(err)
	}
	s.t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			s.t.Cleanup(func() { _ = conn.Close() })
		}
	}()
	r := &silentRelay{heartbeat: presence.Heartbeat{
		Name: relayNameFor(g.node.Name), Zone: g.node.Zone, RequestAddr: "127.0.0.1:1", PeerAddr: listener.Addr().String(), Ready: true,
		MilliCPU: g.node.MilliCPU, LinkMbps: g.node.LinkMbps,
	}}
	stop := make(chan struct{})
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		for {
			g.handleHeartbeat(heartbeatMessage{own: r.heartbeat})
			r.heartbeat.Sequence++
			select {
			case <-stop:
				return
			case <-time.After(100 * time.Millisecond):
			}
		}
	}()
	s.t.Cleanup(func() { close(stop); <-stopped })
	return r
}

// relayNameFor returns the name of an instance that is the relay of another one
// of its size.
func relayNameFor(follower string) string {
	name := "relay"
	for i := 0; xxhash.Sum64String(name) > xxhash.Sum64String(follower); i++ {
		name = fmt.Sprintf("relay-%d", i)
	}
	return name
}

// putDocument writes a version of the document and returns the version of its
// row.
func (s *site) putDocument(version int) feed.Version {
	s.t.Helper()
	s.setDocument(version)
	_, at, err := platform.NewStore(s.store.Address()).Read(s.t.Context(), platform.FeedOperator)
	if err != nil {
		s.t.Fatal(err)
	}
	return at.Newest
}

// waitForDocument waits until an instance uses a version of the document, and
// returns how long that took.
func (s *site) waitForDocument(g *Gateway, version uint64) time.Duration {
	s.t.Helper()
	began := time.Now()
	s.waitFor(fmt.Sprintf("document %d", version), func() bool { return g.documentVersion() == version })
	return time.Since(began)
}

// Guards against an instance that learns from others of a newer document while
// it pauses between two calls, and then holds the next call at a relay that
// does not respond.
func TestNewerDocumentIsReadAfterASignalBetweenTwoCalls(t *testing.T) {
	is := is.New(t)
	s := newSite(t)
	g := s.startInstance("g")
	s.startSilentRelay(g)
	elsewhere := presence.Heartbeat{Name: "elsewhere", Zone: "zb", PeerAddr: "127.0.0.1:1"}
	report := func(version feed.Version) {
		elsewhere.Sequence++
		elsewhere.Document = version
		g.handleHeartbeat(heartbeatMessage{own: elsewhere})
	}
	for version := 2; version <= 5; version++ {
		report(s.putDocument(version))
		took := s.waitForDocument(g, uint64(version))
		t.Logf("version %d active after %v", version, took)
		is.True(took <= documentDelay)
	}
}

// slowSource responds to each call after a delay.
type slowSource struct {
	scriptedSource
	delay time.Duration
}

func (s *slowSource) Watch(ctx context.Context, f platform.Feed, after feed.Version, wait time.Duration) ([]platform.Row, platform.Position, error) {
	time.Sleep(s.delay)
	return s.scriptedSource.Watch(ctx, f, after, wait)
}

// Guards against a feed that never catches up: while the store is slow and
// changes are frequent, each newer version that another instance reports gives
// up the call that would bring the missing ones.
func TestCallThatClosesAGapIsNotGivenUp(t *testing.T) {
	is := is.New(t)
	f := &follower{table: platform.FeedOperator, progress: newProgress(), history: newHistory(platform.FeedOperator), next: 10, synced: true,
		apply: func(time.Time, origin, []platform.Row, bool) {}}
	src := &slowSource{delay: 2 * propagationTime, scriptedSource: scriptedSource{responses: []scriptedResponse{
		{rows: []platform.Row{{Key: "config", Version: 12}}, at: platform.Position{Next: 12, Newest: 12, Covered: 12}},
	}}}
	f.progress.recordPeerVersion(11)
	time.Sleep(propagationTime / 2)
	f.progress.recordPeerVersion(12)
	changed, err := f.poll(t.Context(), src, true)
	is.NoErr(err)
	is.True(changed)
	is.True(!f.progress.isBehind())
}

// Guards against a signal that is lost because it comes while no call is in
// progress.
func TestOverdueInstanceDoesNotWait(t *testing.T) {
	is := is.New(t)
	p := newProgress()
	p.recordPeerVersion(7)
	time.Sleep(propagationTime + 50*time.Millisecond)
	is.True(!p.beginWait())
	began := time.Now()
	p.pause(t.Context(), 10*time.Second)
	is.True(time.Since(began) < time.Second)
	p.advance(platform.Position{Newest: 7, Covered: 7})
	is.True(p.beginWait())
}

// Guards against followers of a busy table that leave their relay for the store
// since a pause after a change ended late: the instances that read from the store
// are ahead of the others, and make them leave as well.
func TestPauseAfterAChangeIsNoLateness(t *testing.T) {
	is := is.New(t)
	p := newProgress()
	p.advance(platform.Position{Newest: 5, Covered: 5})
	p.recordPeerVersion(7)
	began := time.Now()
	p.pause(t.Context(), feedBatchDelay)
	time.Sleep(propagationTime - feedBatchDelay + 20*time.Millisecond)
	if time.Since(began) < feedBatchDelay+propagationTime {
		is.True(!p.isOverdue(time.Now()))
		is.True(p.beginWait()) // the call may be held
	}
	select {
	case <-p.interrupt:
	case <-time.After(5 * time.Second):
		t.Fatal("the held call was not given up")
	}
	is.True(time.Since(began) >= feedBatchDelay+propagationTime)
	is.True(p.isOverdue(time.Now()))
}

// Guards against followers that call the store for seconds since their relay was
// behind once: a relay that has caught up is used again.
func TestRelayThatCaughtUpIsUsedAgain(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	report := func(document, registry feed.Version) presence.Heartbeat {
		return presence.Heartbeat{Name: "relay", Document: document, Registry: registry}
	}
	r := newRelays()
	is.True(r.isUsable(now, report(0, 0)))
	r.recordLate(now, platform.FeedRegistry, 7, report(9, 6))
	is.True(!r.isUsable(now, report(9, 6)))
	is.True(r.isUsable(now, report(9, 7)))
	is.True(r.isUsable(now.Add(relayRetryDelay), report(9, 6)))

	// A relay that had the change does not reach this instance.
	r.recordLate(now, platform.FeedRegistry, 7, report(9, 7))
	is.True(!r.isUsable(now, report(9, 8)))
	is.True(r.isUsable(now.Add(relayRetryDelay), report(9, 7)))

	// A failed call says more than an earlier lateness.
	r.recordLate(now, platform.FeedOperator, 10, report(9, 7))
	r.recordFailure(now, io.EOF)
	is.True(!r.isUsable(now, report(10, 7)))
}

// Guards against a follower that stays with the store after one call to it, since
// the pause that spares the store is longer than a change may be late.
func TestFollowerReturnsToAUsableRelay(t *testing.T) {
	is := is.New(t)
	s := newSite(t)
	g := s.startInstance("g")
	relay := s.startSilentRelay(g)
	s.waitFor("relay", func() bool { return relayAddress(g.self(), g.peers.live(time.Now())) == relay.heartbeat.PeerAddr })
	is.Equal(g.batchDelay(platform.FeedRegistry, false), feedBatchDelay)
	g.relays.recordFailure(time.Now(), io.EOF)
	is.Equal(g.batchDelay(platform.FeedRegistry, false), fallbackBatchDelay)
}

// Guards against instances that choose different relays while a zone starts,
// since each learns late which others are ready. Before, a heartbeat said so at
// any time within an interval.
func TestReadinessIsAnnouncedAtOnce(t *testing.T) {
	is := is.New(t)
	s := newSite(t)
	first := s.startInstance("first")
	const starts = 10
	atOnce := 0
	for i := range starts {
		name := fmt.Sprintf("g-%d", i)
		started := s.startInstance(name)
		began := time.Now()
		s.waitFor("a heartbeat that says ready", func() bool {
			return slices.ContainsFunc(first.peers.live(time.Now()), func(h presence.Heartbeat) bool { return h.Name == name && h.Ready })
		})
		if time.Since(began) < presence.Interval/3 {
			atOnce++
		}
		started.Cleanup()
	}
	is.True(atOnce >= starts*8/10)
}

// Guards against followers that a relay holds though it knows that it has lost
// the store itself: they could read the changes from the store.
func TestRelayThatLosesTheStoreReleasesItsFollowers(t *testing.T) {
	is := is.New(t)
	s := newSite(t)
	link := s.startStoreLink()
	relay := s.startInstanceAt("relay", 320, 1000, link.listener.Addr().String())
	_, at, _, _ := relay.relays.histories[platform.FeedOperator].changesSince(0)
	held := make(chan error, 1)
	go func() {
		follower := &relaySource{relays: newRelays(), address: peerAddress(relay.node)}
		_, _, err := follower.Watch(t.Context(), platform.FeedOperator, at.Next, 3*documentDelay)
		held <- err
	}()
	time.Sleep(100 * time.Millisecond)
	link.cut()
	select {
	case err := <-held:
		is.True(errors.Is(err, errRelayRefused))
	case <-time.After(documentDelay):
		t.Fatal("the relay still holds its follower")
	}
}

// Guards against all followers calling a store that was away for a moment.
func TestRelayHoldsItsFollowersThroughAShortLossOfTheStore(t *testing.T) {
	is := is.New(t)
	s := newSite(t)
	link := s.startFaultyLink()
	relay := s.startInstanceAt("relay", 320, 1000, link.listener.Addr().String())
	_, at, _, _ := relay.relays.histories[platform.FeedOperator].changesSince(0)
	held := make(chan error, 1)
	go func() {
		follower := &relaySource{relays: newRelays(), address: peerAddress(relay.node)}
		rows, _, err := follower.Watch(t.Context(), platform.FeedOperator, at.Next, 3*documentDelay)
		if err == nil && len(rows) == 0 {
			err = errors.New("no change")
		}
		held <- err
	}()
	time.Sleep(100 * time.Millisecond)
	link.fail(false, false)
	s.waitFor("loss of the store", func() bool { return !relay.storeState.isCurrent(time.Now()) })
	link.repair()
	s.waitFor("return of the store", func() bool { return relay.storeState.isCurrent(time.Now()) })
	time.Sleep(followerReleaseDelay)
	s.putDocument(2)
	is.NoErr(<-held) // released by the change, not by the loss
}

// Guards against an instance that overlooks a newer version which only a copied
// heartbeat reports.
func TestCopiedHeartbeatReportsANewerVersion(t *testing.T) {
	is := is.New(t)
	s := newSite(t)
	g := s.startInstance("g")
	g.handleHeartbeat(heartbeatMessage{
		own:    presence.Heartbeat{Name: "a", Zone: "zb", PeerAddr: "127.0.0.1:1"},
		others: []presence.Heartbeat{{Name: "b", Zone: "zb", PeerAddr: "127.0.0.1:1", Document: 1 << 40, Registry: 1 << 40}},
	})
	is.True(g.operatorProgress.isBehind())
	is.True(g.registryProgress.isBehind())
}

// Guards against an instance that asks only the store for a change which other
// instances have, while the store refuses or does not reach this one.
func TestInstanceWithoutTheStoreReadsANewerDocumentFromAnother(t *testing.T) {
	is := is.New(t)
	s := newSite(t)
	link := s.startStoreLink()
	cut := s.startInstanceAt(relayNameFor("other"), 320, 1000, link.listener.Addr().String())
	other := s.startInstance("other")
	s.waitFor("heartbeats", func() bool { return len(cut.peers.live(time.Now())) == 1 })
	link.cut()
	s.waitFor("store outage of one instance", func() bool { return !cut.storeState.isCurrent(time.Now()) })
	for version := 2; version <= 4; version++ {
		s.putDocument(version)
		s.waitForDocument(other, uint64(version))
		took := s.waitForDocument(cut, uint64(version))
		t.Logf("version %d active after %v", version, took)
		is.True(took <= documentDelay)
	}
}

// Guards against an instance that returns to a relay which has just missed a
// change: it would learn of each further change late again.
func TestRelayThatMissedAChangeIsNotUsedForAWhile(t *testing.T) {
	is := is.New(t)
	s := newSite(t)
	g := s.startInstance("g")
	relay := s.startSilentRelay(g)
	s.waitFor("relay", func() bool { return relayAddress(g.self(), g.peers.live(time.Now())) == relay.heartbeat.PeerAddr })
	g.handleHeartbeat(heartbeatMessage{own: presence.Heartbeat{
		Name: "elsewhere", Zone: "zb", PeerAddr: "127.0.0.1:1", Sequence: 1, Document: s.putDocument(2),
	}})
	s.waitForDocument(g, 2)
	// No instance reports the next version.
	s.putDocument(3)
	is.True(s.waitForDocument(g, 3) <= documentDelay)
}
