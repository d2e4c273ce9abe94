package steer

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// TargetID identifies a target in the registry.
type TargetID string

// Record is the registry entry of a target.
type Record struct {
	ID       TargetID
	Service  string
	Address  string
	Zone     string
	Slots    int
	Draining bool
	// ColdRemaining is how much longer the target stays cold, counted from this
	// record.
	ColdRemaining time.Duration
	// Boot distinguishes the starts of a target; later starts have larger
	// values.
	Boot int64
	// Sequence orders the records of one boot.
	Sequence int64
}

const (
	// peerLoadWeight is the weight of the newest report in the moving average
	// of the load that other instances put on a target.
	peerLoadWeight = 0.4
	// peerLoadHold is the age up to which a load report counts in full; its
	// weight then falls to zero within peerLoadFade.
	peerLoadHold = time.Second
	peerLoadFade = 2 * time.Second
	// slowdownWeight is the weight of the newest response in a target's
	// slowdown.
	slowdownWeight = 0.2
	// maxSlowdown caps the slowdown, so that a recovered target is tried again.
	maxSlowdown = 12
	// slowdownHalfLife is the time without a response in which a slowdown above
	// 1 moves halfway back to 1.
	slowdownHalfLife = 4 * time.Second
)

// target is the state that this instance keeps of a target.
type target struct {
	Record
	region   string
	locality locality
	hash     uint64
	// inFlight counts the requests of this instance at the target.
	inFlight int
	// peerLoad estimates the load from other instances as of peerLoadAt.
	peerLoad   float64
	peerLoadAt time.Time
	// reportedAt is when the target last reported its load to this instance.
	reportedAt time.Time
	// downReports holds the newest report of each instance that cannot reach
	// the target.
	downReports []downReport
	// slowdown is the moving average, as of slowdownAt, of the ratio of the
	// actual to the expected response time.
	slowdown   float64
	slowdownAt time.Time
	// pace is how fast the target's machine was when it stated that last.
	pace       statedPace
	health     health
	coldBucket coldBucket
	// coldUntil is when the target stops being cold, as it states. Until then it
	// gets few requests.
	coldUntil time.Time
	// reopenedAt is when the evacuation of its zone ended. The target is treated as
	// cold for warmup from then on.
	reopenedAt time.Time
	// warmup is that of the active document.
	warmup time.Duration
	// expiresAt is when the target goes out of use. It is set once the registry
	// no longer lists the target.
	expiresAt time.Time
	// lapsed is set once the end of the registry entry was recorded.
	lapsed bool
	// notice is what the target stated in its responses. restricted is set if it
	// restricts what the target may get, so that most decisions need not look.
	notice     *notice
	restricted bool
	// misdirected is set once another target responded at the address.
	misdirected bool
}

func newTarget(r Record) *target {
	return &target{Record: r, hash: xxhash.Sum64String(string(r.ID)), slowdown: 1, notice: &notice{}}
}

// bootHash identifies this start of the target.
func (t *target) bootHash() uint64 { return mix(t.hash, uint64(t.Boot)) }

// load returns the estimated number of requests that run or wait at the target.
func (t *target) load(now time.Time) float64 {
	overdue := now.Sub(t.peerLoadAt) - peerLoadHold
	weight := min(1-float64(overdue)/float64(peerLoadFade), 1)
	return float64(t.inFlight) + t.peerLoad*max(0, weight)
}

// loadAge returns the age of the newest load report, whether from the target or
// from another instance, or 0 if there is none.
func (t *target) loadAge(now time.Time) time.Duration {
	if t.peerLoadAt.IsZero() {
		return 0
	}
	return now.Sub(t.peerLoadAt)
}

// recordReport stores the number of running and waiting requests that the
// target reported; own is how many of them are from this instance.
func (t *target) recordReport(now time.Time, total, own int) {
	peerLoad := max(0, float64(total-own))
	if now.Sub(t.peerLoadAt) < peerLoadFade {
		peerLoad = t.peerLoad + peerLoadWeight*(peerLoad-t.peerLoad)
	}
	t.peerLoad, t.peerLoadAt, t.reportedAt = peerLoad, now, now
}

// recordPeerLoad stores the load that another instance observed.
func (t *target) recordPeerLoad(now time.Time, total int) {
	t.peerLoad, t.peerLoadAt = max(0, float64(total-t.inFlight)), now
}

// currentSlowdown returns the slowdown, at least 0.5. A slowdown above 1 decays
// towards 1 while the target is not used.
func (t *target) currentSlowdown(now time.Time) float64 {
	excess := t.slowdown - 1
	for idle := now.Sub(t.slowdownAt); idle > slowdownHalfLife && excess > 0.05; idle -= slowdownHalfLife {
		excess /= 2
	}
	return 1 + max(excess, -0.5)
}

// recordDuration updates the slowdown with the time that a response took.
func (t *target) recordDuration(now time.Time, elapsed, expected time.Duration) {
	if expected <= 0 {
		return
	}
	ratio := min(float64(elapsed)/float64(expected), maxSlowdown)
	t.slowdown = t.currentSlowdown(now)
	t.slowdown += slowdownWeight * (ratio - t.slowdown)
	t.slowdownAt = now
}

func (t *target) isCold(now time.Time) bool {
	return now.Before(t.coldUntil) || !t.reopenedAt.IsZero() && now.Sub(t.reopenedAt) < t.warmup
}
