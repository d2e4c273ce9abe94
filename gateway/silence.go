package gateway

import (
	"time"

	"golang.org/x/sys/unix"

	"pistachioford.example/pistachioford/linger"
)

// silenceCheckInterval is how often the connection of an upload is checked for a
// target that has fallen silent.
const silenceCheckInterval = 250 * time.Millisecond

// ackState is what the system knows of the acknowledgements on a connection.
type ackState struct {
	// awaited is set while sent data, or a probe of a closed window, has not been
	// acknowledged.
	awaited bool
	// left are the bytes that the target has not acknowledged or not been sent yet.
	left int
	// lastAck is when the last acknowledgement arrived, if the system tells that.
	lastAck time.Time
}

// silence decides whether a target has fallen silent. One that reads slowly still
// acknowledges probes of its closed window. TCP_USER_TIMEOUT does not distinguish
// the two: it breaks the connection of either.
type silence struct {
	// since is from when on an acknowledgement has been awaited; left are the bytes
	// that were left then.
	since time.Time
	left  int
}

// observe returns true once a target has acknowledged nothing for tcpUserTimeout.
func (s *silence) observe(now time.Time, state ackState) bool {
	switch {
	case !state.awaited:
		s.since = time.Time{}
		return false
	case s.since.IsZero() || state.left != s.left:
		s.since, s.left = now, state.left
	case state.lastAck.After(s.since):
		s.since = state.lastAck
	}
	return now.Sub(s.since) >= tcpUserTimeout
}

// watchSilence breaks the connection once its target falls silent, until stop is
// called. An upload needs it in place of TCP_USER_TIMEOUT.
func (c *targetConn) watchSilence() (stop func()) {
	stopped := make(chan struct{})
	go func() {
		ticker := time.NewTicker(silenceCheckInterval)
		defer ticker.Stop()
		var s silence
		for {
			select {
			case <-stopped:
				return
			case now := <-ticker.C:
				state, err := c.ackState(now)
				if err != nil {
					return
				}
				if s.observe(now, state) {
					closeQuietly(c)
					return
				}
			}
		}
	}()
	return func() { close(stopped) }
}

func (c *targetConn) ackState(now time.Time) (state ackState, err error) {
	controlErr := c.raw.Control(func(fd uintptr) {
		var info *unix.TCPInfo
		if info, err = unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO); err != nil {
			return
		}
		state.awaited = info.Unacked > 0 || info.Probes > 0
		if info.Last_ack_recv > 0 {
			state.lastAck = now.Add(-time.Duration(info.Last_ack_recv) * time.Millisecond)
		}
	})
	state.left = linger.Unreceived(c.Conn)
	if controlErr != nil {
		return ackState{}, controlErr
	}
	return state, err
}

// allowSlowReading lets the target of an upload keep its window closed until the
// deadline, and breaks the connection if it falls silent, until stop is called.
func (c *targetConn) allowSlowReading(deadline time.Time) (stop func()) {
	if c.raw == nil || setUserTimeout(c.raw, max(time.Until(deadline), tcpUserTimeout)) != nil {
		return func() {}
	}
	c.longUserTimeout = true
	return c.watchSilence()
}

// endSlowReading returns false if the connection cannot be used for another request.
func (c *targetConn) endSlowReading() bool {
	if !c.longUserTimeout {
		return true
	}
	c.longUserTimeout = false
	// What the target has not read yet would keep its window closed.
	return linger.Unreceived(c.Conn) == 0 && setUserTimeout(c.raw, tcpUserTimeout) == nil
}
