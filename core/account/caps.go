package account

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"pistachioford.example/core/sharedrate"
)

// The load pattern of usage caps: callers of one account reach many instances at
// once, move between zones within a second, and may send many times what the
// account is allowed, while instances are killed by the dozen and links are cut.
// Each instance gets a part of the cap as a token bucket of its own. The parts
// follow the reported demands, see sharedrate.Weights, and are conservative while
// these change.
const (
	// usedTolerance is the fraction of what a window allows that the instances
	// use together. The rest covers differences between their views.
	usedTolerance = 0.95
	// maxRate limits the rate that all instances together admit, as a multiple
	// of the cap. It exceeds 1 since requests do not arrive where the parts are.
	maxRate = 1.2
	// tokensPerHolder is what the buckets that share the tolerance of a small cap
	// hold on average.
	tokensPerHolder = 2.5
	// steadyWindow is the time constant of the reported average of a demand.
	// Reports that follow each fluctuation would cost parts, since the least
	// recent part counts. A rise by more than riseSigmas standard deviations, or a
	// fall by more than fallSigmas, is reported at once.
	steadyWindow = 8 * time.Second
	riseSigmas   = 1
	fallSigmas   = 2.5
	// initialTokens is what a starting instance may send of each account.
	initialTokens = 0.5
	// maxReported bounds the demands in a heartbeat.
	maxReported = 64
	// minReportedUse is the demand, as a fraction of the cap, that is reported.
	minReportedUse = 0.01
	// unknownShareRetryAfter is the least RetryAfter while this instance has no
	// part of a cap. It gets one once its reports have reached the others.
	unknownShareRetryAfter = time.Second
	// maxRetryAfter limits the RetryAfter of requests over the cap, and so the
	// time over which their callers return.
	maxRetryAfter = 5 * time.Second
	// cappedHold is how long without a refusal an account counts as capped.
	cappedHold = 5 * time.Second
)

// Tolerance is by how much all instances together may exceed a usage cap: in
// each Window, by the fraction Over plus Slack requests.
type Tolerance struct {
	Window      time.Duration
	Over, Slack float64
}

// Caps decides which requests are within the usage caps of their accounts. It is
// not safe for concurrent use.
type Caps struct {
	tolerance Tolerance
	self      string
	weights   *sharedrate.Weights
	states    map[string]*capState
	byGroup   map[uint32]*capState
	lenders   []lender
	// lends is set if this instance is one of them.
	lends bool
	// wanting holds the accounts whose tokens may have to be borrowed.
	wanting []*capState
	// instances is the number of known instances.
	instances int
	// peersAt is when SetPeers was last called.
	peersAt time.Time
	changes []CapChange
}

// capState is the state of one account.
type capState struct {
	account *Account
	group   uint32
	demand  sharedrate.Rate
	// steady is the reported demand, as of reportedAt.
	steady     float64
	reportedAt time.Time
	// loan is what was borrowed from the owner, pool what this instance lends as
	// the owner, or nil. lendersBefore is how many rank before this instance.
	loan          loan
	pool          *pool
	lendersBefore int
	// bucket holds the own part, for the time without an owner.
	bucket sharedrate.Bucket
	// fraction is this instance's part of the cap, rate and depth are those of
	// its bucket, as of computedAt, a time of SetPeers.
	fraction, rate, depth float64
	computedAt            time.Time
	// nextReturn is the time that the next refused caller is told to return at
	// the earliest.
	nextReturn time.Time
	taken      uint64
	refused    uint64
	// cappedAt is when the account began to be refused, zero if it is not;
	// refusedBefore is the count of refusals at that time.
	cappedAt, refusedAt time.Time
	refusedBefore       uint64
}

// NewCaps returns the caps of an instance, without accounts.
func NewCaps(self string, t Tolerance) *Caps {
	return &Caps{
		tolerance: t, self: self, weights: sharedrate.NewWeights(self), instances: 1,
		states: map[string]*capState{}, byGroup: map[uint32]*capState{},
	}
}

// SetDirectory replaces the accounts. Accounts that stay under their name keep
// what they have used. d may be nil.
func (c *Caps) SetDirectory(now time.Time, d *Directory) {
	states := map[string]*capState{}
	clear(c.byGroup)
	if d != nil {
		for _, a := range d.All() {
			known, group := c.states[a.Name], c.freeGroup(a.Name)
			s := known
			if s == nil || s.group != group {
				s = &capState{group: group, account: a}
				s.bucket.Start(now, initialTokens)
				switch {
				case c.peersAt.IsZero():
				case known == nil:
					c.assignFirstOwner(now, s)
				default:
					c.assignOwner(now, s)
				}
			}
			if s.account != nil && (a.Rate < s.account.Rate || a.Burst < s.account.Burst) {
				// What was borrowed by the higher cap exceeds the lower one.
				s.loan.credit = min(s.loan.credit, 1)
				if s.pool != nil {
					// The lower cap binds from one window later on.
					s.pool.lent = sharedrate.Window{}
				}
			}
			if s.account != nil && a.Rate != s.account.Rate {
				// The next refusal is reported with the new cap.
				s.cappedAt = time.Time{}
			}
			s.account, s.computedAt = a, time.Time{}
			states[a.Name], c.byGroup[s.group] = s, s
		}
	}
	c.states = states
}

// freeGroup returns the identity of an account in messages: a hash of its name.
// If an account before it in the document has the same one, which happens in 1% of
// documents with 10,000 accounts, it is another, on all instances alike: with one
// identity each would lend and report the tokens of the other.
func (c *Caps) freeGroup(name string) uint32 {
	// Names contain no blanks.
	for text := name; ; text += " " {
		group := uint32(xxhash.Sum64String(text))
		if c.byGroup[group] == nil {
			return group
		}
	}
}

// SetPeers records what is known of the other instances, and whether lookups
// return this one. Until the first call this instance has no part of any cap.
func (c *Caps) SetPeers(now time.Time, advertised bool, peers []sharedrate.Peer) {
	c.weights.SetPeers(now, advertised, peers)
	c.instances, c.peersAt = len(peers)+1, now
	c.assignOwners(now, advertised, peers)
}

// Report returns the demands for the next heartbeats: those that are nearest to
// their caps. It must be called at each heartbeat, since other instances count
// on what this one reports.
func (c *Caps) Report(now time.Time) []sharedrate.Demand {
	type use struct {
		demand   sharedrate.Demand
		fraction float64
	}
	var uses []use
	for _, s := range c.states {
		if s.account.Rate <= 0 {
			continue
		}
		// One instance has no use for more than the cap.
		perSecond := min(s.steadyDemand(now), s.account.Rate)
		if fraction := perSecond / s.account.Rate; fraction >= minReportedUse {
			uses = append(uses, use{sharedrate.Demand{Group: s.group, PerSecond: perSecond}, fraction})
		}
	}
	slices.SortFunc(uses, func(a, b use) int {
		return cmp.Or(cmp.Compare(b.fraction, a.fraction), cmp.Compare(a.demand.Group, b.demand.Group))
	})
	var demands []sharedrate.Demand
	for _, u := range uses[:min(len(uses), maxReported)] {
		demands = append(demands, u.demand)
	}
	slices.SortFunc(demands, func(a, b sharedrate.Demand) int { return cmp.Compare(a.Group, b.Group) })
	c.weights.RecordReport(demands)
	return demands
}

// steadyDemand returns the demand without the fluctuations of random arrivals.
func (s *capState) steadyDemand(now time.Time) float64 {
	current := s.demand.Current(now)
	deviation := math.Sqrt(sharedrate.Variance(s.steady))
	switch change := current - s.steady; {
	case change > riseSigmas*deviation, change < -fallSigmas*deviation:
		s.steady = current
	default:
		s.steady += change * (1 - math.Exp(-now.Sub(s.reportedAt).Seconds()/steadyWindow.Seconds()))
	}
	s.reportedAt = now
	return s.steady
}

// Decision is what happens to a request of an account with a usage cap.
type Decision struct {
	// Admitted is set if the request has a token.
	Admitted bool
	// Wait is set if tokens are on their way: Retry decides in a moment.
	Wait bool
	// RetryAfter is when the caller of a request that is neither may return.
	RetryAfter time.Duration
}

// Take takes a token of the account's cap for a request that has arrived.
func (c *Caps) Take(now time.Time, a *Account) Decision {
	s := c.states[a.Name]
	if s == nil {
		// The account came with a document that is not active here any more.
		return Decision{RetryAfter: unknownShareRetryAfter}
	}
	s.demand.Record(now)
	return c.decide(now, s, true)
}

// Retry decides again on a request that waits, for the last time if last is set.
func (c *Caps) Retry(now time.Time, a *Account, last bool) Decision {
	s := c.states[a.Name]
	if s == nil {
		return Decision{RetryAfter: unknownShareRetryAfter}
	}
	return c.decide(now, s, !last)
}

func (c *Caps) decide(now time.Time, s *capState, mayWait bool) Decision {
	if s.account.Rate <= 0 {
		s.taken++
		return Decision{Admitted: true}
	}
	admitted, lends := c.takeLent(now, s)
	if !lends {
		admitted = c.takeOwn(now, s)
	}
	if admitted {
		s.taken++
		return Decision{Admitted: true}
	}
	if lends && mayWait && !c.ownsIt(s) && !s.loan.scarce {
		return Decision{Wait: true}
	}
	s.refused++
	c.recordRefusal(now, s)
	c.updateShare(now, s)
	return Decision{RetryAfter: s.returnIn(now)}
}

// takeOwn takes a token of this instance's own part of a cap.
func (c *Caps) takeOwn(now time.Time, s *capState) bool {
	c.refill(now, s)
	if s.bucket.Tokens < 1 {
		return false
	}
	s.bucket.Tokens--
	return true
}

// Return gives back the token of a request that did not run.
func (c *Caps) Return(now time.Time, a *Account) {
	s := c.states[a.Name]
	if s == nil || s.account.Rate <= 0 {
		return
	}
	if s.taken > 0 { // the account may have been removed and added again
		s.taken--
	}
	if !s.loan.usesShare {
		s.loan.credit = max(s.loan.credit, min(s.loan.credit+1, c.wantedCredit(now, s)))
		return
	}
	c.refill(now, s)
	s.bucket.Tokens = min(s.bucket.Tokens+1, s.depth)
}

// updateShare computes the own part of a cap once after each SetPeers.
func (c *Caps) updateShare(now time.Time, s *capState) {
	if s.computedAt.IsZero() || s.computedAt != c.peersAt {
		c.computeShare(now, s)
	}
}

// refill brings the bucket of an account up to date.
func (c *Caps) refill(now time.Time, s *capState) {
	c.updateShare(now, s)
	s.bucket.Refill(now, c.shareRate(now, s), s.depth)
}

// computeShare computes this instance's part of a cap. What all buckets admit in
// a window, their depths and the rate times the window, is at most usedTolerance
// of what the cap allows. What that exceeds the cap by goes to the depths and to
// the rate in equal parts, but each bucket must be able to hold a token, which
// also limits the number of instances that share a small cap.
func (c *Caps) computeShare(now time.Time, s *capState) {
	a, window := s.account, c.tolerance.Window.Seconds()
	allowed := usedTolerance * ((a.Rate*window+a.Burst)*(1+c.tolerance.Over) + c.tolerance.Slack)
	holders := min(max(int((allowed-a.Rate*window)/tokensPerHolder), 1), c.instances)
	saved := max(a.Burst+(allowed-a.Rate*window-a.Burst)/2, 1.5*float64(holders))
	rate := min((allowed-saved)/window, maxRate*a.Rate)
	saved = allowed - rate*window
	s.fraction = c.weights.Fraction(now, s.group, a.Rate, holders)
	s.rate, s.depth = s.fraction*rate, 0
	if s.fraction > 0 {
		s.depth = 1 + s.fraction*max(saved-float64(holders), 0)
	}
	s.computedAt = c.peersAt
}

// returnIn returns when a refused caller may return. Each caller gets a time of
// its own, as far apart as the tokens of this instance.
func (s *capState) returnIn(now time.Time) time.Duration {
	if s.rate <= 0 {
		return spread(unknownShareRetryAfter, s.refused)
	}
	if s.rate*maxRetryAfter.Seconds() < 1 {
		// An interval of the rate may exceed a time.Duration.
		return spread(maxRetryAfter/2, s.refused)
	}
	interval := time.Duration(float64(time.Second) / s.rate)
	missing := 1.0
	if s.loan.usesShare {
		missing -= s.bucket.Tokens
	}
	earliest := now.Add(time.Duration(missing * float64(interval)))
	at := earliest
	if at.Before(s.nextReturn) {
		at = s.nextReturn
	}
	if earliest.Add(interval).Sub(now) > maxRetryAfter {
		// There is room for one caller at most.
		return spread(maxRetryAfter/2, s.refused)
	}
	if at.Sub(now) > maxRetryAfter {
		// More callers are waiting than there is room for: the order starts
		// again, so that they stay spread.
		at = earliest
	}
	s.nextReturn = at.Add(interval)
	return at.Sub(now)
}

// spread returns times between least and twice that, far apart for successive n.
func spread(least time.Duration, n uint64) time.Duration {
	_, part := math.Modf(float64(n) / math.Phi)
	return least + time.Duration(part*float64(least))
}
