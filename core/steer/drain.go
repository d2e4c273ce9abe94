package steer

import "time"

// DrainPlan says which requests an instance still takes during its planned stop.
// Requests that another instance can take are not begun if this one may have to
// cut them off: the caller of one that must not run twice would never learn
// whether it ran.
type DrainPlan struct {
	// RedirectedAt is when callers have had time to move to other instances.
	// Requests that arrive earlier are taken in any case.
	RedirectedAt time.Time
	// EndsAt is when the process ends, whatever is in flight.
	EndsAt time.Time
}

// Accepts reports whether a request that arrives now, and whose response is due
// at the deadline, is taken.
func (p *DrainPlan) Accepts(now, deadline time.Time) bool {
	return now.Before(p.RedirectedAt) || !deadline.After(p.EndsAt)
}
