// Package linger ends TCP connections without losing what was written to them. A
// write only hands bytes to the system: they are lost if the connection is reset
// before the peer has received them, and a closed socket is reset by the next byte
// that the peer sends.
package linger

import (
	"context"
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// pollInterval is how often the send queue of a connection is checked, and
// minPollInterval the first interval if someone waits for the end.
const (
	pollInterval    = 100 * time.Millisecond
	minPollInterval = 5 * time.Millisecond
)

// Outcome is how the end of a connection was completed.
type Outcome string

// Outcomes of ends.
const (
	// PeerClosed is a peer that has closed or reset the connection.
	PeerClosed Outcome = "peer_closed"
	// Received is a peer that has acknowledged everything.
	Received Outcome = "received"
	// Stalled is a peer that did not take what was written to it.
	Stalled Outcome = "stalled"
	// Evicted is a connection that was given up for others.
	Evicted Outcome = "evicted"

	pending Outcome = ""
)

// Outcomes lists all outcomes.
var Outcomes = []Outcome{PeerClosed, Received, Stalled, Evicted}

// Limits bounds the connections of a group that are ending, and the bytes that
// their peers have not received.
type Limits struct {
	Connections, Bytes int
}

// Abandon resets a connection. The system would otherwise keep what the peer has not
// received for minutes.
func Abandon(conn net.Conn) {
	if tcpConn, ok := conn.(*net.TCPConn); ok {
		_ = tcpConn.SetLinger(0)
	}
	_ = conn.Close()
}

// Group is a set of connections that are ending. It is safe for concurrent use.
type Group struct {
	limits Limits

	mu      sync.Mutex
	members map[*member]struct{}
	// left is the sum of the members' bytes.
	left int

	// background counts the connections of CloseInBackground.
	background atomic.Int64
}

// member is a connection that is ending. It is guarded by the group's mu.
type member struct {
	conn *net.TCPConn
	// left are the bytes that the peer had not received when the system was last
	// asked, progressAt is when it had last taken some.
	left       int
	progressAt time.Time
	// measured is set once left is known.
	measured, evicted bool
}

// NewGroup returns an empty group.
func NewGroup(limits Limits) *Group {
	return &Group{limits: limits, members: map[*member]struct{}{}}
}

// Close ends a connection in order: it sends the end of the stream behind what was
// written and drops what arrives, until the peer has closed, has received
// everything and falls silent, or takes nothing any more. discard reads and drops
// bytes of the connection; nobody else may read from it. Close returns the bytes
// that the peer has not received.
func (g *Group) Close(conn net.Conn, discard func() error) (Outcome, int) {
	return g.finish(conn, discard, &ending{})
}

// Reset resets a connection after the peer has received what was written, so that
// a response that is cut short does not look complete and those before it are not
// lost.
func (g *Group) Reset(conn net.Conn, discard func() error) (Outcome, int) {
	return g.finish(conn, discard, &ending{resets: true})
}

func (g *Group) finish(netConn net.Conn, discard func() error, e *ending) (Outcome, int) {
	conn, ok := netConn.(*net.TCPConn)
	if !ok {
		_ = netConn.Close()
		return Received, 0
	}
	poll := pollInterval
	if e.resets {
		// The peer waits for the rest of a response until it sees the reset.
		poll = minPollInterval
	} else {
		_ = conn.CloseWrite()
	}
	now := time.Now()
	m := g.add(conn, now)
	e.progress.StartAt(now)
	outcome := pending
	for outcome == pending {
		nextPoll := now.Add(poll)
		poll = min(2*poll, pollInterval)
		_ = conn.SetReadDeadline(nextPoll)
		err := discard()
		for err == nil && time.Now().Before(nextPoll) {
			e.arrivedAt = time.Now()
			err = discard()
		}
		now = time.Now()
		if err != nil && !isTimeout(err) {
			outcome = PeerClosed
			break
		}
		left := Unreceived(conn)
		g.update(m, now, left)
		outcome = e.step(now, left)
	}
	evicted, left := g.remove(m)
	switch {
	case evicted:
		outcome = Evicted
	case outcome == Stalled || e.resets && outcome == Received:
		Abandon(conn)
	case outcome == PeerClosed:
		left = 0
	}
	_ = conn.Close()
	return outcome, left
}

func (g *Group) add(conn *net.TCPConn, now time.Time) *member {
	m := &member{conn: conn, progressAt: now}
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.limits.Connections > 0 && len(g.members) >= g.limits.Connections {
		g.evict(false)
	}
	g.members[m] = struct{}{}
	return m
}

func (g *Group) update(m *member, now time.Time, left int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if m.evicted {
		return
	}
	if left < m.left {
		m.progressAt = now
	}
	g.setLeft(m, left)
	for g.limits.Bytes > 0 && g.left > g.limits.Bytes && g.evict(true) {
	}
}

// setLeft is called with mu held.
func (g *Group) setLeft(m *member, left int) {
	g.left += left - m.left
	m.left, m.measured = left, true
}

func (g *Group) remove(m *member) (evicted bool, left int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !m.evicted {
		delete(g.members, m)
		g.left -= m.left
	}
	return m.evicted, m.left
}

// Reclaim gives up one connection, so that its descriptor and memory become free.
// It returns false if there is none.
func (g *Group) Reclaim() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.evict(false)
}

// evict gives up the connection whose peer loses least, among those with unreceived
// bytes if onlyUnreceived is set. It is called with mu held.
func (g *Group) evict(onlyUnreceived bool) bool {
	var victim *member
	for m := range g.members {
		if !m.measured {
			g.setLeft(m, Unreceived(m.conn))
		}
		if onlyUnreceived && m.left == 0 {
			continue
		}
		if victim == nil || m.losesLessThan(victim) {
			victim = m
		}
	}
	if victim == nil {
		return false
	}
	victim.evicted = true
	delete(g.members, victim)
	g.left -= victim.left
	if victim.left > 0 {
		Abandon(victim.conn)
	} else {
		_ = victim.conn.Close()
	}
	return true
}

// losesLessThan orders connections by what their peers lose: nothing if they have
// received everything, otherwise the less, the longer they have taken nothing.
func (m *member) losesLessThan(other *member) bool {
	if (m.left == 0) != (other.left == 0) {
		return m.left == 0
	}
	return m.progressAt.Before(other.progressAt)
}

// CloseInBackground is Close for a connection that another goroutine may still wait
// to read from. It calls closed at the end.
func (g *Group) CloseInBackground(conn net.Conn, closed func()) {
	g.background.Add(1)
	go func() {
		defer g.background.Add(-1)
		defer closed()
		var dropped [1 << 10]byte
		g.Close(conn, func() error {
			_, err := conn.Read(dropped[:])
			return err
		})
	}()
}

// Wait waits until the connections that CloseInBackground closes have ended, or ctx
// is done.
func (g *Group) Wait(ctx context.Context) error {
	ticker := time.NewTicker(minPollInterval)
	defer ticker.Stop()
	for g.background.Load() > 0 {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
	}
	return nil
}

// Count returns the number of connections that are ending, and the bytes that
// their peers have not received.
func (g *Group) Count() (connections, left int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return len(g.members), g.left
}

func isTimeout(err error) bool {
	var timeout net.Error
	return errors.As(err, &timeout) && timeout.Timeout()
}
