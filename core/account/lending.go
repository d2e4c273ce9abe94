package account

import (
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"pistachioford.example/core/sharedrate"
)

// The load pattern: a small account's callers reach a few instances at a time,
// and other ones a second later. Parts that follow reported demands come too late
// for them, and most of the cap lies where nobody asks for it.
//
// For each account one instance, its owner, therefore keeps the tokens that the
// cap allows, and lends them to the instances that its callers reach, ahead of
// the requests. An instance whose owner does not respond uses its part of the cap
// by reported demands (see computeShare), beginning with an empty bucket; the
// owner keeps the parts of instances that are silent. Both sides of a partition
// so have an owner that lends no more than their parts.
const (
	// claimAhead is the time for whose demand an instance borrows, beside one
	// token: that of a round trip between regions and of a claim that is lost.
	claimAhead = 350 * time.Millisecond
	// aheadShare limits what is borrowed ahead, as a multiple of the own part.
	aheadShare = 1
	// claimInterval is the least time between two claims for an account. It doubles
	// with each grant without tokens, up to maxClaimInterval: 480 instances that
	// claim from an empty pool would otherwise send its owner 4,800 messages/s.
	claimInterval    = 100 * time.Millisecond
	maxClaimInterval = 400 * time.Millisecond
	// claimTravel is how long a claim is expected to bring its tokens, which are
	// not claimed again until then. A later grant is still used within grantTTL.
	claimTravel = 200 * time.Millisecond
	grantTTL    = time.Second
	// idleAfter is the time without a request after which the tokens borrowed
	// ahead are dropped: callers that move would leave some at each instance, all
	// of which could be used at once. For the same reason an instance keeps at
	// most maxKept times what it wants. With 1 s, 4.1% of a steady small account were
	// refused instead of 3.3%.
	idleAfter = 3 * time.Second
	maxKept   = 2
	// ownerTimeout is how long an owner may take to respond.
	ownerTimeout = 500 * time.Millisecond
	// ownerTTL is the time without a heartbeat after which another instance takes
	// over an owner's accounts. It gets claims as long as it responds, for lenderTTL
	// at most.
	ownerTTL  = 3 * time.Second
	lenderTTL = 10 * time.Second
	// handoverDelay is how long a new owner waits before it lends: others may
	// still borrow from the one before.
	handoverDelay = 1500 * time.Millisecond
	// borrowFor is how long after its last request an account's tokens are
	// borrowed ahead.
	borrowFor = 10 * time.Second
	// reserveDelay is how long an owner may take to reserve the part of an instance
	// that has lost it. earlyShareUse is the part of what a cap allows beyond its
	// rate that such instances may use in that time.
	reserveDelay  = 2500 * time.Millisecond
	earlyShareUse = 0.35
	// lentTolerance is the part of what a cap allows beyond its rate that an owner
	// lends. The rest covers what is on its way, or used before a partition is
	// noticed.
	lentTolerance = 0.85
	// overdraftFactor is the part of the burst and the tolerance that instances
	// may use before they have borrowed it, 1 request each.
	overdraftFactor = 0.2
	// minPoolTime is the time for whose rate a pool has room at least, so that no
	// tokens are lost between two claims.
	minPoolTime = claimInterval
)

// Claim asks the owner of an account for tokens, Grant brings them.
type Claim struct {
	// Account identifies the account.
	Account uint32
	Tokens  int
	// Serial identifies the claim among those of the last second that its sender
	// made for the account. A Grant repeats it, so that each is used only once.
	Serial uint8
}

// maxSerial is the largest Claim.Serial, which takes one byte in a message.
const maxSerial = 1<<7 - 1

// Grant is the response to a Claim. Tokens may be 0.
type Grant Claim

// loan is what this instance has borrowed of one account.
type loan struct {
	// credit are the tokens left, down to -1 if the account may be overdrawn.
	credit float64
	// owner is the name of the owner, empty if there is none.
	owner string
	// askedAt is when a request of the account arrived last, claimedAt when the
	// last claim was sent, and waitingSince when the first one to which the owner
	// has not responded was, and respondedAt when the owner responded last.
	askedAt, claimedAt, waitingSince, respondedAt time.Time
	// claims are those without a grant, serial is that of the last one, and
	// interval the time until the next.
	claims   []sentClaim
	serial   uint8
	interval time.Duration
	// scarce is set once the owner granted fewer tokens than were claimed.
	scarce bool
	// usesShare is set while the owner does not respond, since lostAt.
	usesShare bool
	lostAt    time.Time
	// wanted is set while the account is in Caps.wanting.
	wanted bool
}

type sentClaim struct {
	serial uint8
	tokens int
	at     time.Time
}

// expect returns the tokens that claims on their way may bring.
func (l *loan) expect(now time.Time) (tokens int) {
	l.claims = slices.DeleteFunc(l.claims, func(s sentClaim) bool { return now.Sub(s.at) >= grantTTL })
	for _, s := range l.claims {
		if now.Sub(s.at) < claimTravel {
			tokens += s.tokens
		}
	}
	return tokens
}

// pool holds the tokens of an account that this instance owns.
type pool struct {
	bucket sharedrate.Bucket
	lent   sharedrate.Window
	since  time.Time
}

// assignOwners determines the owners of all accounts. Rendezvous hashing ranks
// for each account the instances that lookups return: an instance owns an account
// while it hears of none that ranks before it, and claims go to the first one that
// is heard. Heartbeats between zones may be late, so that an owner that responds to
// claims keeps them.
func (c *Caps) assignOwners(now time.Time, advertised bool, peers []sharedrate.Peer) {
	var found []lender
	if advertised {
		found = append(found, lender{name: c.self, hash: xxhash.Sum64String(c.self), fresh: true})
	}
	for _, p := range peers {
		if p.Advertised && !p.Leaving && !p.Received.IsZero() && now.Sub(p.Received) < lenderTTL {
			found = append(found, lender{
				name: p.Name, hash: xxhash.Sum64String(p.Name), fresh: now.Sub(p.Received) < ownerTTL,
			})
		}
	}
	slices.SortFunc(found, func(a, b lender) int { return strings.Compare(a.name, b.name) })
	allFresh := !slices.ContainsFunc(found, func(l lender) bool { return !l.fresh })
	unchanged := advertised == c.lends && slices.Equal(found, c.lenders)
	c.lenders, c.lends = found, advertised
	if unchanged && allFresh {
		return
	}
	for _, s := range c.states {
		c.assignOwner(now, s)
	}
}

// lender is an instance that may own accounts.
type lender struct {
	name string
	hash uint64
	// fresh is set if it was heard within ownerTTL.
	fresh bool
}

// assignOwner determines whom this instance asks for an account's tokens, whether
// it owns the account, and whether it may overdraw it.
func (c *Caps) assignOwner(now time.Time, s *capState) {
	own := rankOf(xxhash.Sum64String(c.self), s.group)
	owner, highest := "", uint64(0)
	before, freshBefore := 0, false
	for _, l := range c.lenders {
		rank := rankOf(l.hash, s.group)
		responds := l.name == s.loan.owner && now.Sub(s.loan.respondedAt) < ownerTTL
		if (l.fresh || responds) && (owner == "" || rank > highest) {
			owner, highest = l.name, rank
		}
		if l.name != c.self && rank > own {
			before++
			freshBefore = freshBefore || l.fresh
		}
	}
	s.lendersBefore = before
	if s.loan.owner != owner {
		s.loan.owner, s.loan.claimedAt = owner, time.Time{}
		s.loan.claims, s.loan.interval = nil, claimInterval
	}
	switch owns := c.lends && !freshBefore; {
	case !owns:
		s.pool = nil
	case s.pool == nil:
		s.pool = &pool{since: now}
		s.pool.bucket.Start(now, 0)
	}
}

// assignFirstOwner assigns the owner of an account that is new in the document.
// No other instance has lent its tokens before.
func (c *Caps) assignFirstOwner(now time.Time, s *capState) {
	c.assignOwner(now, s)
	if s.pool != nil {
		s.pool.since = now.Add(-handoverDelay)
	}
}

// ownsIt reports whether this instance asks itself for an account's tokens.
func (c *Caps) ownsIt(s *capState) bool { return s.pool != nil && s.loan.owner == c.self }

// rankOf returns the rank of the instance whose name has a hash. All instances
// must compute the same. 10,000 accounts on 480 instances take 4.8 million ranks
// when an instance comes or goes, so that a full hash costs too much.
func rankOf(hash uint64, group uint32) uint64 {
	x := hash ^ uint64(group)*0x9e3779b97f4a7c15
	x = (x ^ x>>32) * 0xd6e8feb86659fd93
	x = (x ^ x>>32) * 0xd6e8feb86659fd93
	return x ^ x>>32
}

// takeLent takes a borrowed token. It returns false for lends if the instance
// must use its own part of the cap.
func (c *Caps) takeLent(now time.Time, s *capState) (ok, lends bool) {
	l := &s.loan
	if now.Sub(l.askedAt) >= idleAfter {
		l.credit = min(l.credit, 0)
	}
	l.askedAt = now
	l.credit = min(l.credit, maxKept*c.wantedCredit(now, s))
	if c.ownsIt(s) {
		l.credit += c.draw(now, s, c.missing(now, s))
	}
	c.want(s)
	if usesShare := !c.ownerResponds(now, s); usesShare != l.usesShare {
		// What was saved before would come in addition to what was lent.
		l.usesShare, l.lostAt = usesShare, now
		s.bucket.Refill(now, 0, 0)
	}
	if l.usesShare {
		return false, false
	}
	if l.credit < 1-c.overdraft(s) {
		return false, true
	}
	l.credit--
	return true, true
}

func (c *Caps) ownerResponds(now time.Time, s *capState) bool {
	switch l := &s.loan; {
	case l.owner == "":
		return false
	case c.ownsIt(s):
		return now.Sub(s.pool.since) >= handoverDelay
	default:
		return l.waitingSince.IsZero() || now.Sub(l.waitingSince) < ownerTimeout
	}
}

// shareRate returns the rate of the own part. Until the owner has reserved it, the
// tokens come in addition to those that the owner lends to others.
func (c *Caps) shareRate(now time.Time, s *capState) float64 {
	if now.Sub(s.loan.lostAt) >= reserveDelay {
		return s.rate
	}
	early := earlyShareUse * c.extra(s.account) / (s.account.Rate * reserveDelay.Seconds())
	return s.rate * min(max(early, 0), 1)
}

// overdraft returns how many tokens this instance may use before it has borrowed
// them.
func (c *Caps) overdraft(s *capState) float64 {
	if c.lends && s.lendersBefore < c.overdrafts(s.account) {
		return 1
	}
	return 0
}

// extra returns what a cap and its tolerance allow in a window beyond its rate.
func (c *Caps) extra(a *Account) float64 {
	window := c.tolerance.Window.Seconds()
	return usedTolerance*((a.Rate*window+a.Burst)*(1+c.tolerance.Over)+c.tolerance.Slack) - a.Rate*window
}

// overdrafts returns how many instances may overdraw an account.
func (c *Caps) overdrafts(a *Account) int {
	return max(int(min(float64(len(c.lenders)), overdraftFactor*c.extra(a))), 0)
}

// poolLimits returns the rate and the depth of an owner's pool, and how much it
// lends in a window: what the cap allows there with its tolerance, which is most
// of it for a small account, less what may be overdrawn. The burst may be used at
// once, or add to the rate for the whole window.
func (c *Caps) poolLimits(a *Account) (rate, depth, perWindow float64) {
	window := c.tolerance.Window.Seconds()
	saved := lentTolerance*c.extra(a) - float64(c.overdrafts(a))
	depth = max(a.Burst, saved, a.Rate*minPoolTime.Seconds(), 1)
	return a.Rate + a.Burst/window, depth, max(a.Rate*window+saved, 1)
}

// wantedCredit returns the tokens that this instance wants to hold: one, and as
// many as the demand needs, up to aheadShare of its own part of the cap. Tokens
// that instances hold may all be used at once.
func (c *Caps) wantedCredit(now time.Time, s *capState) float64 {
	if now.Sub(s.loan.askedAt) >= borrowFor {
		return 0
	}
	c.updateShare(now, s)
	return 1 + min(s.demand.Current(now), aheadShare*s.fraction*s.account.Rate)*claimAhead.Seconds()
}

// missing returns the tokens that this instance wants to borrow.
func (c *Caps) missing(now time.Time, s *capState) int {
	return max(int(c.wantedCredit(now, s)-s.loan.credit+0.5), 0)
}

// draw takes up to n tokens from the pool of an account that this instance owns.
func (c *Caps) draw(now time.Time, s *capState, n int) float64 {
	if now.Sub(s.pool.since) < handoverDelay {
		s.pool.bucket.Refill(now, 0, 0)
		return 0
	}
	rate, depth, perWindow := c.poolLimits(s.account)
	unreserved := c.weights.Unreserved(s.group, s.account.Rate)
	s.pool.bucket.Refill(now, rate*unreserved, depth)
	room := perWindow*unreserved - s.pool.lent.Sum(now, c.tolerance.Window)
	drawn := min(float64(n), float64(int(max(min(s.pool.bucket.Tokens, room), 0))))
	s.pool.bucket.Tokens -= drawn
	s.pool.lent.Add(drawn)
	return drawn
}

// want records that tokens of an account may have to be borrowed.
func (c *Caps) want(s *capState) {
	if !s.loan.wanted && !c.ownsIt(s) {
		s.loan.wanted = true
		c.wanting = append(c.wanting, s)
	}
}

// Claims returns the claims that are due, by the names of the owners. It should be
// called every few tens of milliseconds while Wants returns true.
func (c *Caps) Claims(now time.Time) map[string][]Claim {
	var claims map[string][]Claim
	kept := c.wanting[:0]
	for _, s := range c.wanting {
		l := &s.loan
		missing := c.missing(now, s)
		if missing == 0 || c.ownsIt(s) || c.states[s.account.Name] != s {
			l.wanted, l.waitingSince = false, time.Time{}
			continue
		}
		kept = append(kept, s)
		interval := l.interval
		if !l.waitingSince.IsZero() {
			interval = claimInterval
		}
		tokens := missing - l.expect(now)
		if l.owner == "" || tokens <= 0 || now.Sub(l.claimedAt) < interval {
			continue
		}
		l.claimedAt, l.serial = now, (l.serial+1)&maxSerial
		l.claims = append(l.claims, sentClaim{l.serial, tokens, now})
		if l.waitingSince.IsZero() {
			l.waitingSince = now
		}
		if claims == nil {
			claims = map[string][]Claim{}
		}
		claims[l.owner] = append(claims[l.owner], Claim{Account: s.group, Tokens: tokens, Serial: l.serial})
	}
	clear(c.wanting[len(kept):])
	c.wanting = kept
	return claims
}

// Wants reports whether Claims may return claims.
func (c *Caps) Wants() bool { return len(c.wanting) > 0 }

// Lend returns the grants for claims of another instance. Claims for accounts that
// have no cap, or that this instance does not own, or not long enough, get none.
func (c *Caps) Lend(now time.Time, claims []Claim) []Grant {
	var grants []Grant
	for _, claim := range claims {
		s := c.byGroup[claim.Account]
		if s == nil || s.pool == nil || s.account.Rate <= 0 || now.Sub(s.pool.since) < handoverDelay {
			continue
		}
		n := min(max(claim.Tokens, 0), int(s.account.Rate*claimAhead.Seconds())+2)
		grants = append(grants, Grant{Account: claim.Account, Tokens: int(c.draw(now, s, n)), Serial: claim.Serial})
	}
	return grants
}

// Receive records grants of an owner. Those that have no claim of the last second
// are repeated or late and bring no tokens.
func (c *Caps) Receive(now time.Time, grants []Grant) {
	for _, grant := range grants {
		s := c.byGroup[grant.Account]
		if s == nil {
			continue
		}
		l := &s.loan
		i := slices.IndexFunc(l.claims, func(sent sentClaim) bool { return sent.serial == grant.Serial })
		if i < 0 || now.Sub(l.claims[i].at) >= grantTTL {
			continue
		}
		tokens := min(max(grant.Tokens, 0), l.claims[i].tokens)
		l.scarce = tokens < l.claims[i].tokens
		l.claims = slices.Delete(l.claims, i, i+1)
		l.waitingSince, l.respondedAt = time.Time{}, now
		l.credit += float64(tokens)
		if tokens > 0 {
			l.interval = claimInterval
		} else {
			l.interval = min(2*max(l.interval, claimInterval), maxClaimInterval)
		}
	}
}
