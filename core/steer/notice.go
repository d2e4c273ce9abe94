package steer

import (
	"cmp"
	"slices"
	"time"
)

// A target states in its responses what it wants of the instances: that they
// send it nothing more, nothing for a while, or only so many requests a second.
// It need not be in trouble by any measurement made here, and the registry may
// not say so yet. Notices are kept by the id of the target, apart from the
// entries of the registry: an entry that expires and returns while the target
// runs on must not make them forgotten.

// Notice is what a target stated in a response.
type Notice struct {
	// Leaving is set if the target is about to stop. That is final for its boot.
	Leaving bool
	// RetryAfter is how long this instance shall send nothing to the target.
	RetryAfter time.Duration
	// Limit is the number of requests per second that the target takes from all
	// instances together, 0 if it names none.
	Limit float64
}

// NoLimit as an observed limit says that the target no longer names one.
const NoLimit = -1

const (
	// noticeTTL is how long the notice of a target that the registry no longer
	// lists is kept.
	noticeTTL = 10 * time.Minute
	// limitTTL is how long a limit holds that the target has not named again to
	// any instance, and how long a statement about a limit is shared.
	limitTTL = 30 * time.Second
	// maxSharedNotices bounds the notices in a heartbeat. The ones that were
	// shared least recently come first.
	maxSharedNotices = 8
)

// NoticeChange is a change of what is known of a target's statements, for logs.
type NoticeChange struct {
	Target  TargetID
	Leaving bool
	// Limit is 0 if the target names none.
	Limit float64
	// Pause is how long the target wants no requests from this instance.
	Pause time.Duration
	// Reported is set if another instance reported the statement.
	Reported bool
}

// maxNoticeChanges bounds the changes that are kept until they are taken.
const maxNoticeChanges = 256

// TakeNoticeChanges returns the changes since the last call.
func (e *Engine) TakeNoticeChanges() []NoticeChange {
	changes := e.noticeChanges
	e.noticeChanges = nil
	return changes
}

// noteChange keeps a change of a target's notice if before differs from it.
func (e *Engine) noteChange(now time.Time, t *target, before notice, reported bool) {
	n := t.notice
	changed := n.leaving != before.leaving || (n.limit == 0) != (before.limit == 0) || !n.pausedUntil.Equal(before.pausedUntil)
	if !changed || len(e.noticeChanges) >= maxNoticeChanges {
		return
	}
	e.noticeChanges = append(e.noticeChanges, NoticeChange{
		Target: t.ID, Leaving: n.leaving, Limit: n.limit, Pause: max(n.pausedUntil.Sub(now), 0), Reported: reported,
	})
}

// notice is what is known of the statements of one target.
type notice struct {
	// boot and sequence are those of the newest entry of the target.
	boot, sequence int64
	// listedAt is when the registry was last known to list the target.
	listedAt    time.Time
	leaving     bool
	pausedUntil time.Time
	// limit is the limit that the target names, 0 if none, since limitSince.
	limit      float64
	limitSince time.Time
	// limitAt is when the target made its newest known statement about a limit,
	// to this or another instance.
	limitAt time.Time
	// sharedAt is when the notice was last sent to other instances.
	sharedAt time.Time
	share    limitShare
}

// noticeOf returns the notice of the target of a registry entry. A new boot
// knows nothing of what an earlier one stated. Entries without a boot start to
// count their reports anew.
func (e *Engine) noticeOf(now time.Time, r Record) *notice {
	n := e.notices[r.ID]
	if n == nil || r.Boot > n.boot || r.Boot == 0 && r.Sequence < n.sequence {
		n = &notice{boot: r.Boot}
		e.notices[r.ID] = n
	}
	n.sequence, n.listedAt = r.Sequence, now
	return n
}

// RecordNotice records what a target stated in its response to a request that
// was sent to it at sentAt.
func (e *Engine) RecordNotice(now time.Time, s *Send, stated Notice) {
	n := s.target.notice
	defer e.noteChange(now, s.target, *n, false)
	defer s.target.updateRestricted(now)
	if stated.Leaving {
		n.leave()
	}
	if stated.RetryAfter > 0 {
		n.pausedUntil = later(n.pausedUntil, now.Add(stated.RetryAfter))
	}
	switch {
	case stated.Limit > 0:
		n.setLimit(now, now, stated.Limit)
	case n.limit > 0 && s.sentAt.After(n.limitSince):
		// A response to an earlier request may have been made before the limit
		// was named.
		n.setLimit(now, now, 0)
	}
}

// leave records that the target stops. Other instances learn of it first.
func (n *notice) leave() {
	if !n.leaving {
		n.leaving, n.sharedAt = true, time.Time{}
	}
}

// IsLeaving reports whether the target has said that it stops.
func (e *Engine) IsLeaving(id TargetID) bool {
	n := e.notices[id]
	return n != nil && n.leaving
}

// setLimit records that the target stated a limit at statedAt, or none for 0. A
// limit that begins or ends is shared first.
func (n *notice) setLimit(now, statedAt time.Time, limit float64) {
	if (n.limit == 0) != (limit == 0) {
		n.limitSince, n.sharedAt, n.share = now, time.Time{}, limitShare{}
	}
	n.limit, n.limitAt = limit, statedAt
}

// isPaused reports whether the target wants nothing from this instance at
// present.
func (n *notice) isPaused(now time.Time) bool { return now.Before(n.pausedUntil) }

// updateRestricted must be called after each change of the target's notice.
func (t *target) updateRestricted(now time.Time) {
	n := t.notice
	t.restricted = n.leaving || n.limit > 0 || n.isPaused(now)
}

// sharedLimit returns what other instances are told of the target's limit, or 0
// for nothing.
func (n *notice) sharedLimit(now time.Time) float64 {
	switch {
	case n.limitAt.IsZero() || now.Sub(n.limitAt) >= limitTTL:
		return 0
	case n.limit == 0:
		return NoLimit
	}
	return n.limit
}

// SharedNotices returns the notices to be sent to other instances, as
// observations of their targets.
func (e *Engine) SharedNotices(now time.Time) []Observation {
	var stated []*target
	for _, t := range e.targets {
		// Without a boot, others could take the report for one about a later
		// start.
		if t.notice.boot != 0 && (t.notice.leaving || t.notice.sharedLimit(now) != 0) {
			stated = append(stated, t)
		}
	}
	slices.SortFunc(stated, func(a, b *target) int {
		return cmp.Or(a.notice.sharedAt.Compare(b.notice.sharedAt), cmp.Compare(a.hash, b.hash))
	})
	var shared []Observation
	for _, t := range stated[:min(len(stated), maxSharedNotices)] {
		t.notice.sharedAt = now
		o := Observation{Target: t.hash, Boot: uint32(t.notice.boot), Leaving: t.notice.leaving, Limit: t.notice.sharedLimit(now)}
		if o.Limit != 0 {
			o.LimitAge = now.Sub(t.notice.limitAt)
		}
		shared = append(shared, o)
	}
	return shared
}

// recordSharedNotice records what another instance knows of the target's
// statements. The newest statement about a limit holds: instances that repeat
// older ones to each other cannot keep up a limit that has ended.
func (e *Engine) recordSharedNotice(now time.Time, t *target, o Observation) {
	n := t.notice
	if n.boot == 0 || uint32(n.boot) != o.Boot {
		return
	}
	defer e.noteChange(now, t, *n, true)
	defer t.updateRestricted(now)
	if o.Leaving {
		n.leave()
	}
	statedAt := now.Add(-o.LimitAge)
	if o.Limit != 0 && o.LimitAge < limitTTL && statedAt.After(n.limitAt) {
		n.setLimit(now, statedAt, max(o.Limit, 0))
	}
}

// expireNotices forgets limits that were not confirmed, and the notices of
// targets that have been gone for long.
func (e *Engine) expireNotices(now time.Time) {
	for id, n := range e.notices {
		if n.limit > 0 && now.Sub(n.limitAt) > limitTTL {
			n.limit = 0
		}
		if t := e.targets[id]; t != nil {
			n.listedAt = now
			t.updateRestricted(now)
		} else if now.Sub(n.listedAt) > noticeTTL {
			delete(e.notices, id)
		}
	}
}

// AdoptNotices takes over the notices of an engine that this one replaces.
func (e *Engine) AdoptNotices(from *Engine) {
	for id, n := range from.notices {
		e.notices[id] = &notice{
			boot: n.boot, sequence: n.sequence, listedAt: n.listedAt, leaving: n.leaving, pausedUntil: n.pausedUntil,
			limit: n.limit, limitSince: n.limitSince, limitAt: n.limitAt,
		}
	}
}
