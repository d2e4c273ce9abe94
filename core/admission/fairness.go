package admission

import (
	"math"
	"time"
)

// The load pattern: under overload a large account sends as much as all others
// together. If each request were treated alike, the small accounts would lose as
// large a part of their requests to a load that is not theirs.
//
// Under overload, the limit of an account falls with its part of the admitted
// work: one with less than its share keeps nearly the limit of a peak, one with
// more is limited first. Shares are in proportion to the accounts' weights.
const (
	// shareWindow is the time constant of the admitted work.
	shareWindow = 5 * time.Second
	// maxExcess and excessFactor bound by how much more the limit of an account
	// falls that has several times its share.
	maxExcess    = 3
	excessFactor = 0.1
	// minShareWork is the admitted work below which an account is not counted.
	minShareWork = time.Millisecond
)

// shares holds the admitted work of the accounts at a service.
type shares struct {
	accounts map[string]*accountWork
	// total is the sum over all accounts, weights that of the weights of those
	// with admitted work.
	total, weights float64
	at             time.Time
}

type accountWork struct {
	seconds, weight float64
}

// decay brings all work up to date.
func (s *shares) decay(now time.Time) {
	if s.accounts == nil {
		s.accounts = map[string]*accountWork{}
	}
	elapsed := now.Sub(s.at)
	if elapsed < shareWindow/10 {
		return
	}
	s.at = now
	factor := math.Exp(-elapsed.Seconds() / shareWindow.Seconds())
	s.total, s.weights = 0, 0
	for name, a := range s.accounts {
		if a.seconds *= factor; a.seconds < minShareWork.Seconds() {
			delete(s.accounts, name)
			continue
		}
		s.total += a.seconds
		s.weights += a.weight
	}
}

// record counts an admitted request.
func (s *shares) record(now time.Time, r Request) {
	s.decay(now)
	a := s.accounts[r.Account]
	if a == nil {
		a = &accountWork{weight: r.Weight}
		s.accounts[r.Account] = a
		s.weights += r.Weight
	}
	work := (r.Expected - r.QueueWait - r.Elapsed).Seconds()
	a.seconds += work
	s.total += work
}

// excess returns the part of the admitted work that an account has, relative to
// its share.
func (s *shares) excess(now time.Time, r Request) float64 {
	s.decay(now)
	a := s.accounts[r.Account]
	if a == nil || s.total <= 0 || a.weight <= 0 {
		return 0
	}
	return (a.seconds / s.total) / (a.weight / s.weights)
}

// excessReduction returns by how much the limit of a request falls because its
// account has more than its share.
func (r Request) excessReduction(overload, excess float64) time.Duration {
	beyond := min(max(excess-1, 0), maxExcess)
	return time.Duration(overload * excessFactor * beyond * float64(r.Objective))
}
