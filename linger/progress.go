package linger

import "time"

const (
	// StallTimeout is how long a peer may take fewer than minProgress bytes.
	StallTimeout = 5 * time.Second
	// minProgress is what a peer must take within StallTimeout, unless less is left.
	// Without it, a peer that takes single bytes would hold a connection for hours.
	minProgress = 16 << 10
	// quietTimeout is how long a peer that has acknowledged everything may neither
	// send nor close. Its application may still read what its system has received,
	// and send requests meanwhile; a reset could discard what it has not read.
	quietTimeout = time.Second
)

// Progress decides whether a peer keeps taking what was written to it. The zero
// value is ready to use.
type Progress struct {
	// since is when left bytes were left.
	since time.Time
	left  int
}

// StartAt sets when the peer could begin to take bytes, if that was before the
// first call of Stalled.
func (p *Progress) StartAt(began time.Time) { p.since = began }

// Stalled records how many bytes the peer has not acknowledged yet, and reports
// whether it has taken too few of them for too long.
func (p *Progress) Stalled(now time.Time, left int) bool {
	switch {
	case p.left == 0 && left > 0:
		p.left = left
		if p.since.IsZero() {
			p.since = now
		}
	case left == 0 || p.left-left >= minProgress:
		p.since, p.left = now, left
	}
	return left > 0 && now.Sub(p.since) >= StallTimeout
}

// ending decides when the end of a connection is complete.
type ending struct {
	// resets is set if the connection is reset once the peer has received everything.
	resets   bool
	progress Progress
	// receivedAt is when the peer had acknowledged everything, arrivedAt when it
	// last sent something.
	receivedAt, arrivedAt time.Time
}

// step returns how the end is complete, or pending.
func (e *ending) step(now time.Time, left int) Outcome {
	if e.progress.Stalled(now, left) {
		return Stalled
	}
	if left > 0 {
		e.receivedAt = time.Time{}
		return pending
	}
	if e.resets {
		return Received
	}
	if e.receivedAt.IsZero() {
		e.receivedAt = now
	}
	quietSince := e.receivedAt
	if e.arrivedAt.After(quietSince) {
		quietSince = e.arrivedAt
	}
	// A peer that sends without end does not keep the connection open.
	if now.Sub(quietSince) >= quietTimeout || now.Sub(e.receivedAt) >= StallTimeout {
		return Received
	}
	return pending
}
