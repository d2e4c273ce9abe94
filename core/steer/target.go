package steer

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// TargetID identifies a target in the registry.
type TargetID string

// Record is what the registry says of a target.
type Record struct {
	ID       TargetID
	Service  string
	Address  string
	Zone     string
	Slots    int
	Draining bool
	// ColdFor is how much longer the target stays cold, as of this record.
	ColdFor time.Duration
	// Boot tells the starts of one id apart; later ones are larger.
	Boot int64
	// Sequence orders the records of one boot.
	Sequence int64
}

const (
	// othersWeight is the weight of the newest report in the mean load that
	// other instances put on a target.
	othersWeight = 0.4
	// othersHold is the age up to which a load report counts in full; it then
	// fades to nothing within othersFade.
	othersHold = time.Second
	othersFade = 2 * time.Second
	// slowWeight is the weight of the newest answer in a target's slowness.
	slowWeight = 0.2
	// slowMost bounds the slowness, so that a recovered target is tried again.
	slowMost = 12
	// slowFade is the time without an answer after which a slow target counts
	// as half as slow.
	slowFade = 4 * time.Second
)

// target is a row of the table of targets.
type target struct {
	Record
	region string
	way    way
	hash   uint64
	// running counts the requests of this instance at the target.
	running int
	// others is the mean load from other instances, as of reported.
	others   float64
	reported time.Time
	// measured is when the target last reported its load to this instance.
	measured time.Time
	// downs are the last words of other instances that cannot reach it.
	downs []downReport
	// slow is the mean ratio of the time of an answer to the expected one.
	slow    float64
	slowAt  time.Time
	failing health
	cold    coldRate
	// coldUntil ends the time in which few requests may be sent.
	coldUntil time.Time
	// goneAt is set once the registry no longer lists the target.
	goneAt time.Time
	// misdirected is set once another target answered at the address.
	misdirected bool
}

func newTarget(r Record) *target {
	return &target{Record: r, hash: xxhash.Sum64String(string(r.ID)), slow: 1}
}

// load estimates the requests that run or wait at the target.
func (t *target) load(now time.Time) float64 {
	old := now.Sub(t.reported) - othersHold
	fresh := min(1-float64(old)/float64(othersFade), 1)
	return float64(t.running) + t.others*max(0, fresh)
}

// reportAge is the age of the target's last own report, or 0 if there is none.
func (t *target) reportAge(now time.Time) time.Duration {
	if t.reported.IsZero() {
		return 0
	}
	return now.Sub(t.reported)
}

// report takes in the target's own count of its running and waiting requests;
// own is what this instance had there at that time.
func (t *target) report(now time.Time, total, own int) {
	others := max(0, float64(total-own))
	if now.Sub(t.reported) < othersFade {
		others = t.others + othersWeight*(others-t.others)
	}
	t.others, t.reported, t.measured = others, now, now
}

// hearLoad takes in the load that another instance measured.
func (t *target) hearLoad(now time.Time, total int) {
	t.others, t.reported = max(0, float64(total-t.running)), now
}

// slowness fades towards 1 while the target is not used.
func (t *target) slowness(now time.Time) float64 {
	excess := t.slow - 1
	for idle := now.Sub(t.slowAt); idle > slowFade && excess > 0.05; idle -= slowFade {
		excess /= 2
	}
	return 1 + max(excess, -0.5)
}

func (t *target) took(now time.Time, elapsed, expected time.Duration) {
	if expected <= 0 {
		return
	}
	ratio := min(float64(elapsed)/float64(expected), slowMost)
	t.slow = t.slowness(now)
	t.slow += slowWeight * (ratio - t.slow)
	t.slowAt = now
}

func (t *target) isCold(now time.Time) bool { return now.Before(t.coldUntil) }
