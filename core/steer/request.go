package steer

import (
	"slices"
	"time"

	"pistachioford.example/core/account"
	"pistachioford.example/core/admission"
	"pistachioford.example/core/poison"
)

// Request is a request of a caller with the state of its attempts.
type Request struct {
	Route   *Route
	Service string
	// Object is the hash of the object that the request is about, 0 if unknown.
	Object uint64
	// Fingerprint is a hash of the request's content, equal for all copies of a
	// request.
	Fingerprint uint64
	BodyBytes   int
	Deadline    time.Time
	// Account is the client account of the caller, nil if there is none.
	Account *account.Account
	// Streaming is set if a part of the body is not buffered, so that the
	// request cannot be sent again.
	Streaming bool
	// ResponseStarted is set once a part of a response went to the caller, so
	// that no other target can respond.
	ResponseStarted bool

	// arrivedAt is when the request was first decided on, delayUntil the time
	// until which it could be delayed as of the last decision, and latestStart
	// that as of the first delay.
	arrivedAt, delayUntil, latestStart time.Time

	tried []TargetID
	// sendCount counts the decisions to send the request.
	sendCount int
	// attemptCount counts the targets that the request may have reached.
	attemptCount int
	// mayHaveRun is set once a target may have begun to work on the request.
	mayHaveRun bool
}

// MayHaveRun reports whether a target may have begun to work on the request. If
// so, the response to the caller must not state that it did not run.
func (r *Request) MayHaveRun() bool { return r.mayHaveRun }

func (r *Request) allows(region string) bool {
	if len(r.Route.Regions) > 0 && !slices.Contains(r.Route.Regions, region) {
		return false
	}
	return r.Account == nil || len(r.Account.Regions) == 0 || slices.Contains(r.Account.Regions, region)
}

// AllowsAnyRegion reports whether the route and the account have an allowed
// region in common.
func (r *Request) AllowsAnyRegion() bool {
	if r.Account == nil || len(r.Account.Regions) == 0 || len(r.Route.Regions) == 0 {
		return true
	}
	return slices.ContainsFunc(r.Account.Regions, r.allows)
}

// Priority returns the priority of the request: its account's, or else its
// route's. 0 is the most urgent.
func (r *Request) Priority() int {
	if r.Account == nil {
		return r.Route.Priority
	}
	return r.Account.PriorityOr(r.Route.Priority)
}

func (r *Request) hasTried(id TargetID) bool { return slices.Contains(r.tried, id) }

// Send is a decision to send a request to a target.
type Send struct {
	Target  TargetID
	Address string
	Zone    string
	// EstimatedCost is the expected response time plus all penalties of the
	// placement.
	EstimatedCost time.Duration
	// Cached is set if the target recently handled the object for this instance.
	// Load is the estimated number of requests at the target before this one.
	Cached bool
	Load   float64
	// LoadAge is the age of the newest load report on the target, 0 if there is
	// none.
	LoadAge time.Duration
	// Rank is the target's rank among the object's candidates: 0 for its home,
	// maxCandidates if the target is not one of them.
	Rank int
	// RTT is the round-trip time to the target's zone.
	RTT time.Duration
	// Attempt counts from 1.
	Attempt int

	sentAt time.Time
	target *target
	// queued is set if the target had no free slot.
	queued bool
	// expectedDuration is the expected response time without a queue.
	expectedDuration time.Duration
}

// Reason is the reason why a request is not served.
type Reason uint8

// Reasons for refusals.
const (
	ReasonNone Reason = iota
	// ReasonNoTarget means that no target may get the request now.
	ReasonNoTarget
	// ReasonTooLate means that queueing would delay the response beyond the
	// deadline or the limit derived from the route's latency objective.
	ReasonTooLate
	// ReasonCrasher means that exchanges of copies of the request with several
	// targets ended without a complete response.
	ReasonCrasher
	// ReasonShed means that the last target tried did not run the request.
	ReasonShed
	// ReasonUnreachable means that no connection to a target could be opened.
	ReasonUnreachable
	// ReasonBroken means that the exchange ended without a complete, valid
	// response; the request may have run.
	ReasonBroken
	// ReasonTimeout means that no response came in time; the request may have
	// run.
	ReasonTimeout
	// ReasonCallerDisconnected means that the caller disconnected before the
	// response.
	ReasonCallerDisconnected
	// ReasonHeldBack means that the targets which could take the request have
	// named a limit, or asked for a pause.
	ReasonHeldBack
	// ReasonMalformed means that the target sent bytes that cannot be its
	// response; the request may have run.
	ReasonMalformed
	// ReasonDelayed means that the request is not refused, but waits until there
	// is room, or until it can no longer be in time.
	ReasonDelayed
)

var reasonNames = [...]string{
	"none", "no_target", "too_late", "crasher", "shed", "unreachable", "broken", "timeout", "caller_gone",
	"held_back", "malformed", "delayed",
}

func (r Reason) String() string { return reasonNames[r] }

// Refusal states why a request is not sent and when the caller may try again.
// Best, ResponseTime, Load and LoadAge are set only if a target was chosen
// first.
type Refusal struct {
	Reason     Reason
	RetryAfter time.Duration
	// Best is the target with the lowest estimated cost.
	Best TargetID
	// ResponseTime is the expected response time at Best. Load and LoadAge are
	// as in Send.
	ResponseTime time.Duration
	Load         float64
	LoadAge      time.Duration
}

const (
	// busyRetryAfter is the least RetryAfter if a target should have a free slot
	// within a few responses.
	busyRetryAfter = 150 * time.Millisecond
	// noTargetRetryAfter is the RetryAfter if no target may get the request.
	noTargetRetryAfter = 400 * time.Millisecond
)

// Arrive selects the target of a new request or refuses it. Route, Object,
// Fingerprint, BodyBytes and Deadline must be set. If the reason of the refusal
// is ReasonDelayed, a later call of Resume returns the decision.
func (e *Engine) Arrive(now time.Time, r *Request) (Send, *Refusal) {
	r.arrivedAt = now
	r.Service = e.pickService(r.Route)
	if !e.poison.Admit(now, r.Fingerprint) {
		return Send{}, &Refusal{Reason: ReasonCrasher, RetryAfter: poison.ProbeDelay}
	}
	e.creditRequest(now, r.Service)
	send, refusal := e.dispatch(now, r)
	if refusal != nil && refusal.Reason == ReasonDelayed && !e.delay(r) {
		refusal.Reason = ReasonTooLate
	}
	return send, refusal
}

// dispatch chooses a target that the request has not tried yet and records the
// decision to send the request there, or refuses the request.
func (e *Engine) dispatch(now time.Time, r *Request) (Send, *Refusal) {
	c := e.choose(now, r)
	t := c.target
	if c.home != nil && r.sendCount == 0 {
		e.recordDemand(now, c.home)
	}
	if t == nil {
		if wait, heldBack := e.heldBack(now, r); heldBack {
			return Send{}, &Refusal{Reason: ReasonHeldBack, RetryAfter: wait}
		}
		return Send{}, &Refusal{Reason: ReasonNoTarget, RetryAfter: noTargetRetryAfter}
	}
	if verdict := e.admit(now, r, c); verdict != admission.Send {
		reason := ReasonTooLate
		if verdict == admission.Delay {
			reason = ReasonDelayed
		}
		return Send{}, &Refusal{
			Reason: reason, RetryAfter: max(busyRetryAfter, c.queueWait/2),
			Best: t.ID, ResponseTime: c.responseTime, Load: t.load(now), LoadAge: t.loadAge(now),
		}
	}
	times := e.serviceTimesOf(r)
	r.sendCount++
	s := Send{
		Target: t.ID, Address: t.Address, Zone: t.Zone, Attempt: r.sendCount,
		EstimatedCost: c.cost, Rank: c.rank, RTT: e.rtt(t), target: t, sentAt: now,
		Cached:  e.recentObjects.has(now, r.Object, t),
		Load:    t.load(now),
		LoadAge: t.loadAge(now),
		queued:  t.load(now) >= float64(t.Slots),
	}
	cachedProbability := 0.0
	if s.Cached {
		cachedProbability = 1
	}
	s.expectedDuration = times.expected(cachedProbability) + s.RTT
	if t.isCold(now) {
		t.coldBucket.take()
	}
	if t.notice.limit > 0 {
		t.notice.share.bucket.Tokens--
	}
	t.inFlight++
	t.health.recordSend()
	e.poison.RecordSend(now, t.bootHash(), r.Fingerprint)
	r.tried = append(r.tried, t.ID)
	return s, nil
}

// Load is a target's own count of its requests and slots.
type Load struct {
	Running, Waiting, Slots int
	// Pace is how long work takes on the target's machine now, as a multiple of
	// the usual time; 0 if the target does not state it.
	Pace float64
}

// Result is the outcome of an exchange with a target.
type Result uint8

// Results of exchanges.
const (
	// Responded means a complete response with a status below 500.
	Responded Result = iota
	// Failed means a complete response which says that the run failed.
	Failed
	// Shed means a response which says that the request did not run.
	Shed
	// Misdirected means that another target responded at the address.
	Misdirected
	// NotSent means that nothing of the request left this instance.
	NotSent
	// Broken means that the exchange ended without a complete, valid response.
	Broken
	// TimedOut means that the deadline passed without a response.
	TimedOut
	// Abandoned means that the caller disconnected.
	Abandoned
	// Discarded means that a response was given up since it could neither be passed
	// on yet nor held.
	Discarded
)

var resultNames = [...]string{
	"answered", "failed", "shed", "misdirected", "not_sent", "broken", "timed_out", "abandoned", "discarded",
}

func (r Result) String() string { return resultNames[r] }

// NotRun reports whether the request certainly did not run.
func (r Result) NotRun() bool { return r == Shed || r == Misdirected || r == NotSent }

// BreakCause is why an exchange ended without a complete, valid response.
type BreakCause uint8

const (
	// ClosedByTarget means that the target closed or reset the connection.
	ClosedByTarget BreakCause = iota
	// Unacknowledged means that the connection broke since the target, or a link,
	// acknowledged nothing.
	Unacknowledged
	// Malformed means that the target sent bytes that cannot be its response.
	Malformed
)

var breakCauseNames = [...]string{"closed", "unacknowledged", "malformed"}

func (c BreakCause) String() string { return breakCauseNames[c] }

// ExchangeReport describes the end of an exchange with a target.
type ExchangeReport struct {
	Result Result
	// Load is the load that the target reported with its response, or nil.
	Load *Load
	// Notice is what the target stated with its response, nil if there was no
	// response or RecordNotice was called for it.
	Notice *Notice
	// ColdRemaining is how much longer the target stays cold, if it reported
	// that.
	ColdRemaining time.Duration
	// ResponseBytes is the size of the response body.
	ResponseBytes int
	// BeganAfter is the time until a response began that was passed on in pieces,
	// 0 for others. The rest of the time is that of its caller.
	BeganAfter time.Duration
	// Cause is why a Broken exchange ended.
	Cause BreakCause
	// Immediate is set for a Broken exchange on a new connection that ended
	// before the target can have done any work.
	Immediate bool
	// StaleConnection is set for a Broken exchange on a reused idle connection
	// that ended just as early, as if the connection had been dropped while it
	// was idle. It does not count against the target, but the request may still
	// have run.
	StaleConnection bool
}

// Finish records the end of an exchange and decides whether the request is sent
// again. If both results are nil, the caller gets the response of the exchange.
func (e *Engine) Finish(now time.Time, r *Request, s *Send, report ExchangeReport) (*Send, *Refusal) {
	e.recordOutcome(now, r, s, report)
	reason, retry := e.classify(now, r, s, report)
	if reason == ReasonNone && !retry {
		return nil, nil
	}
	if retry {
		if next, refusal := e.dispatch(now, r); refusal == nil {
			return &next, nil
		}
	}
	if reason == ReasonNone {
		return nil, nil
	}
	return nil, &Refusal{Reason: reason, RetryAfter: busyRetryAfter}
}

// recordOutcome updates the request and the state of the target.
func (e *Engine) recordOutcome(now time.Time, r *Request, s *Send, report ExchangeReport) {
	t := s.target
	if !report.Result.NotRun() {
		r.mayHaveRun = true
	}
	inFlight := t.inFlight
	t.inFlight--
	if report.Load != nil {
		// The reported load still includes the request that the target responds
		// to.
		t.recordReport(now, report.Load.Running+report.Load.Waiting, inFlight)
	}
	if report.Notice != nil {
		e.RecordNotice(now, s, *report.Notice)
	}
	if report.ColdRemaining > 0 {
		t.coldUntil = later(t.coldUntil, now.Add(report.ColdRemaining))
	}
	elapsed := now.Sub(s.sentAt)
	pace := e.recordPace(now, t, report.Load)
	e.recordExposure(now, r, s, report)
	switch report.Result {
	case Responded:
		e.recordSuccess(now, r, s, report, pace)
	case Failed:
		t.health.recordRefusal(now)
	case Shed:
		t.health.recordRefusal(now)
		if report.Load == nil {
			t.recordReport(now, 2*t.Slots, t.inFlight)
		}
	case Misdirected:
		t.misdirected = true
		t.health.cancelProbe()
	case NotSent:
		t.health.recordFailure(now, true)
	case Broken:
		if report.StaleConnection {
			t.health.cancelProbe()
			// The target may get the request again on another connection.
			r.tried = r.tried[:len(r.tried)-1]
		} else {
			t.health.recordFailure(now, report.Immediate)
		}
	case TimedOut:
		t.health.recordFailure(now, false)
		t.recordDuration(now, elapsed, s.expectedDuration)
	case Abandoned, Discarded:
		t.health.cancelProbe()
	}
}

// recordExposure records what the end of an exchange says of whether the request
// crashed the target. One without a response says so only if the target turns out
// to be lost: it may be slow.
func (e *Engine) recordExposure(now time.Time, r *Request, s *Send, report ExchangeReport) {
	target := s.target.bootHash()
	switch {
	case report.Result.NotRun() && report.Result != Shed:
		e.poison.Forget(target, r.Fingerprint, s.sentAt)
	case report.Result == TimedOut || report.Result == Abandoned || report.Result == Broken && report.Cause == Unacknowledged:
		e.poison.RecordNoResponse(now, target, r.Fingerprint, s.sentAt)
	case report.Result == Broken && report.Cause == ClosedByTarget:
		e.poison.Forget(target, r.Fingerprint, s.sentAt)
		e.poison.RecordBreak(now, poison.Report{Fingerprint: r.Fingerprint, Target: target, SentAgo: now.Sub(s.sentAt)})
	default:
		e.poison.RecordResponse(now, target, r.Fingerprint, s.sentAt)
	}
}

// recordSuccess records a complete response of a target whose machine worked at
// a pace.
func (e *Engine) recordSuccess(now time.Time, r *Request, s *Send, report ExchangeReport, pace float64) {
	t, elapsed := s.target, now.Sub(s.sentAt)
	if report.BeganAfter > 0 {
		elapsed = report.BeganAfter
	}
	t.health.recordSuccess(now)
	e.serviceTimesOf(r).recordSize(report.ResponseBytes)
	e.poison.RecordSuccess(now, r.Fingerprint)
	if !s.queued {
		// The pace passes; what is learned here is the time at the usual one.
		elapsed = s.RTT + time.Duration(float64(elapsed-s.RTT)/pace)
		serviceTime := max(elapsed-e.rtt(t), 0)
		times := e.serviceTimesOf(r)
		expected := s.expectedDuration
		if !s.Cached && r.Object != 0 {
			expected = times.typical(serviceTime) + s.RTT
		}
		times.recordDuration(serviceTime, r, s)
		t.recordDuration(now, elapsed, expected)
	}
	if r.Route.Affinity {
		e.recentObjects.record(now, r.Object, t)
	}
}

// classify returns the reason for a refusal if the request is not sent again,
// and whether it is to be sent again. With ReasonNone the caller gets the
// response.
func (e *Engine) classify(now time.Time, r *Request, s *Send, report ExchangeReport) (Reason, bool) {
	switch report.Result {
	case Responded:
		return ReasonNone, false
	case Abandoned:
		return ReasonCallerDisconnected, false
	case Failed:
		retry := r.Route.Kind.Retryable() && e.takeRetry(now, r)
		return ReasonNone, retry
	case Shed, Misdirected:
		return ReasonShed, e.takeRetry(now, r)
	case NotSent:
		return ReasonUnreachable, !r.Streaming && len(r.tried) < maxTriedTargets
	case TimedOut, Discarded:
		return ReasonTimeout, r.Route.Kind.Retryable() && e.takeRetry(now, r)
	default:
		if report.Cause == Malformed {
			// The target has responded, even if nobody can tell what: a success of
			// another target would contradict it.
			return ReasonMalformed, false
		}
		return ReasonBroken, r.Route.Kind.Retryable() && e.takeRetry(now, r)
	}
}

// maxTriedTargets bounds the retries after unreachable targets, which do not
// count for MaxAttempts: a request that has tried this many targets, reachable
// or not, is refused if the last one is unreachable.
const maxTriedTargets = 5

// takeRetry counts an attempt and reports whether the request may be sent
// again. If so, it takes the retry from the retry budget.
func (e *Engine) takeRetry(now time.Time, r *Request) bool {
	r.attemptCount++
	if r.Streaming || r.ResponseStarted || r.attemptCount >= r.Route.MaxAttempts || !now.Before(r.Deadline) {
		return false
	}
	if e.poison.Blocked(r.Fingerprint) {
		return false
	}
	return e.takeRetryToken(now, r.Service)
}
