package linger

import (
	"errors"
	"io"
	"net"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"pistachioford.example/pistachioford/linger/lingertest"
)

// pair returns the two ends of a connection whose peer has a small receive buffer.
func pair(t *testing.T) (near, peer *net.TCPConn) {
	t.Helper()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = listener.Close() }()
	dialed, err := lingertest.Dialer().Dial("tcp4", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	accepted, err := listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = dialed.Close() })
	return accepted.(*net.TCPConn), dialed.(*net.TCPConn)
}

// closing is a connection that a group closes.
type closing struct {
	peer *net.TCPConn
	done chan struct{}
	// outcome and left are set once done is closed.
	outcome Outcome
	left    int
}

// close writes n bytes to a connection and closes it in a group.
func (g *Group) close(t *testing.T, n int) *closing {
	t.Helper()
	near, peer := pair(t)
	if _, err := near.Write(make([]byte, n)); err != nil {
		t.Fatal(err)
	}
	c := &closing{peer: peer, done: make(chan struct{})}
	go func() {
		defer close(c.done)
		var dropped [512]byte
		c.outcome, c.left = g.Close(near, func() error {
			_, err := near.Read(dropped[:])
			return err
		})
	}()
	return c
}

// await waits for the end of a connection.
func (c *closing) await(t *testing.T, within time.Duration) {
	t.Helper()
	select {
	case <-c.done:
	case <-time.After(within):
		t.Fatalf("the connection has not ended within %v", within)
	}
}

// awaitUnreceived waits until the group knows of bytes that peers have not received.
func (g *Group) awaitUnreceived(t *testing.T, connections int) {
	t.Helper()
	for end := time.Now().Add(5 * time.Second); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		g.mu.Lock()
		known := 0
		for m := range g.members {
			if m.left > 0 {
				known++
			}
		}
		g.mu.Unlock()
		if known == connections {
			return
		}
	}
	t.Fatalf("fewer than %d connections with unreceived bytes", connections)
}

// Guards against connections without a bound whose peers do not close, and against
// one that is given up although another peer loses nothing by that.
func TestConnectionsAreBounded(t *testing.T) {
	is := is.New(t)
	g := NewGroup(Limits{Connections: 3})
	slow := g.close(t, 50_000)
	g.awaitUnreceived(t, 1)
	time.Sleep(50 * time.Millisecond)
	slower := g.close(t, 50_000)
	g.awaitUnreceived(t, 2)
	received := g.close(t, 0)
	time.Sleep(200 * time.Millisecond)
	next := g.close(t, 50_000)
	received.await(t, time.Second/2)
	is.Equal(received.outcome, Evicted)
	is.Equal(received.left, 0)
	g.awaitUnreceived(t, 3)
	// The one that has taken nothing for longest is next.
	last := g.close(t, 0)
	slow.await(t, time.Second/2)
	is.Equal(slow.outcome, Evicted)
	is.True(slow.left > 0)
	connections, left := g.Count()
	is.Equal(connections, 3)
	is.True(left > 0)
	// The others still receive everything.
	for _, c := range []*closing{slower, next} {
		_ = c.peer.SetReadDeadline(time.Now().Add(5 * time.Second))
		body, err := io.ReadAll(c.peer)
		is.NoErr(err)
		is.Equal(len(body), 50_000)
		_ = c.peer.Close()
		c.await(t, time.Second)
		is.Equal(c.outcome, PeerClosed)
	}
	last.await(t, 2*time.Second)
	is.Equal(last.outcome, Received)
	connections, left = g.Count()
	is.Equal(connections, 0)
	is.Equal(left, 0)
	is.True(!g.Reclaim())
}

// Guards against peers that read nothing and take memory without a bound, and
// against memory that the system keeps for them after the connection was given up.
func TestUnreceivedBytesAreBounded(t *testing.T) {
	is := is.New(t)
	const limit = 120_000
	g := NewGroup(Limits{Bytes: limit})
	var all []*closing
	for range 6 {
		all = append(all, g.close(t, 50_000))
	}
	time.Sleep(500 * time.Millisecond)
	connections, left := g.Count()
	is.True(connections >= 2)
	is.True(left <= limit)
	evicted := 0
	for _, c := range all {
		c.await(t, StallTimeout+2*time.Second)
		is.True(c.left > 0)
		if c.outcome == Evicted {
			evicted++
		} else {
			is.Equal(c.outcome, Stalled)
		}
		_ = c.peer.SetReadDeadline(time.Now().Add(time.Second))
		_, err := io.Copy(io.Discard, c.peer)
		is.True(errors.Is(err, syscall.ECONNRESET))
	}
	is.Equal(evicted, len(all)-connections)
	_, left = g.Count()
	is.Equal(left, 0)
}

// Guards against a reset that overtakes what was written, and against an end that
// makes a response without its last part look complete.
func TestResetFollowsWhatWasWritten(t *testing.T) {
	is := is.New(t)
	near, peer := pair(t)
	_, err := near.Write(make([]byte, 50_000))
	is.NoErr(err)
	g := NewGroup(Limits{})
	var ended sync.WaitGroup
	var outcome Outcome
	ended.Go(func() {
		var dropped [512]byte
		outcome, _ = g.Reset(near, func() error {
			_, err := near.Read(dropped[:])
			return err
		})
	})
	time.Sleep(500 * time.Millisecond)
	_, err = peer.Write([]byte("a request"))
	is.NoErr(err)
	_ = peer.SetReadDeadline(time.Now().Add(5 * time.Second))
	body, err := io.ReadAll(peer)
	is.Equal(len(body), 50_000)
	is.True(errors.Is(err, syscall.ECONNRESET))
	ended.Wait()
	is.Equal(outcome, Received)
}
