package gateway

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/sourcegraph/conc/panics"

	"pistachioford.example/core/account"
	"pistachioford.example/core/feed"
	"pistachioford.example/core/steer"
	"pistachioford.example/pistachioford/platform"
	"pistachioford.example/pistachioford/telemetry"
)

const (
	// maxLongPollWait is the longest time for which the store may hold a call
	// that waits for changes. A lost response goes unnoticed for this long,
	// unless another instance reports a newer version.
	maxLongPollWait = 4 * time.Second
	// propagationTime is how long a change that another instance knows may
	// still be on its way to this one.
	propagationTime = 400 * time.Millisecond
	// feedBatchDelay is the pause after a change, so that one call reads the
	// changes that follow closely.
	feedBatchDelay = 350 * time.Millisecond
	// fallbackBatchDelay replaces feedBatchDelay for an instance that calls the
	// store because it cannot reach its relay.
	fallbackBatchDelay = time.Second
	// minRetryDelay and maxRetryDelay limit the pause after a failed call,
	// before jitter.
	minRetryDelay = 150 * time.Millisecond
	maxRetryDelay = 500 * time.Millisecond
	// storeFreshFor is how long after the last response of the store the
	// document is treated as current.
	storeFreshFor = maxLongPollWait + 2*time.Second
	// expiryGrace is how long after the store is reachable again a target
	// without an entry stays in use. The entry may have expired while the
	// target could not reach the store; a live target has it back after about
	// 2 s.
	expiryGrace = 2 * time.Second
	// followerReleaseDelay is how long a relay must have lost the store before it
	// releases the followers that it holds. All relays lose a store that starts
	// again, and all followers would call it at the same time.
	followerReleaseDelay = time.Second
	// localOutageAfter is how long other instances must have been ahead before
	// a loss of the store is treated as local to this instance.
	localOutageAfter = 1500 * time.Millisecond
)

// storeState is what the instance knows of the store's availability. It is safe
// for concurrent use.
type storeState struct {
	mu           sync.Mutex
	lastResponse time.Time
	lastFailure  time.Time
	// recoveredAt is when the last outage that was not local ended.
	recoveredAt time.Time
	// localOutage is set while this instance has lost the store and either
	// other instances have not, or none of them is reachable. Entries that
	// disappear meanwhile were then removed and did not expire.
	localOutage bool
	down        bool
	// losses is how often the store was lost.
	losses int
	// lost is closed once the store has been lost for followerReleaseDelay.
	lost chan struct{}
	// registryRead is set once the whole registry was read.
	registryRead bool
}

func newStoreState() *storeState { return &storeState{lost: make(chan struct{})} }

// recordSuccess records a response of the store or the relay, and returns true
// if the store was lost before.
func (s *storeState) recordSuccess(now time.Time) (regained bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastResponse = now
	if !s.down {
		return false
	}
	s.down = false
	if isClosed(s.lost) {
		s.lost = make(chan struct{})
	}
	if !s.localOutage {
		s.recoveredAt = now
	}
	telemetry.Event("store_regained", telemetry.F("after", now.Sub(s.lastFailure)))
	return true
}

func (s *storeState) recordFailure(now time.Time, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastFailure = now
	if !s.down {
		s.down, s.localOutage = true, false
		s.losses++
		loss := s.losses
		time.AfterFunc(followerReleaseDelay, func() { s.confirmLoss(loss) })
		telemetry.Failure("store_lost", err)
	}
}

// confirmLoss records that a loss of the store has lasted, unless the store has
// responded since.
func (s *storeState) confirmLoss(loss int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down && s.losses == loss {
		close(s.lost)
	}
}

func isClosed(c <-chan struct{}) bool {
	select {
	case <-c:
		return true
	default:
		return false
	}
}

// age returns the time since the last response of the store or the relay, or 0
// before the first.
func (s *storeState) age(now time.Time) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.lastResponse.IsZero() {
		return 0
	}
	return now.Sub(s.lastResponse)
}

// isCurrent reports whether the document is known to be current.
func (s *storeState) isCurrent(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.down && now.Sub(s.lastResponse) < storeFreshFor
}

// whenLost returns a channel that is closed once the store has been lost for
// followerReleaseDelay.
func (s *storeState) whenLost() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.lost
}

// markLocalOutage records that only this instance has lost the store. It does
// nothing while the store is reachable.
func (s *storeState) markLocalOutage() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.localOutage = s.localOutage || s.down
}

// recordRestore records that the store has come back from a copy. Entries that
// are missing there are written again, as after an outage.
func (s *storeState) recordRestore(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.recoveredAt = now
}

// removalGrace returns how much longer a target stays in use after its entry
// disappeared.
func (s *storeState) removalGrace(now time.Time) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down && !s.localOutage {
		return expiryGrace
	}
	return max(s.recoveredAt.Add(expiryGrace).Sub(now), 0)
}

func (s *storeState) hasRegistry() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.registryRead
}

// source is where a feed is read from: the store, or the relay of the zone.
type source interface {
	// Name identifies the source in logs.
	Name() string
	Read(ctx context.Context, f platform.Feed) ([]platform.Row, platform.Position, error)
	Watch(ctx context.Context, f platform.Feed, after feed.Version, wait time.Duration) ([]platform.Row, platform.Position, error)
}

// follower follows one table of the store. One goroutine uses it.
type follower struct {
	table platform.Feed
	apply func(now time.Time, origin origin, rows []platform.Row, snapshot bool)
	// progress is shared with the heartbeats, history with the responses to
	// followers.
	progress *progress
	history  *history
	// beforeTable, if set, runs while the whole table is read, and ends before the
	// table is applied.
	beforeTable func(ctx context.Context, src source)
	// synced is false if the whole table is to be read next.
	synced bool
	// next is the version after which changes are to be read.
	next feed.Version
	// restored is called when the store has come back from a copy.
	restored func(now time.Time)
	// advanced, if set, is called after changes were read from the store itself.
	advanced func()
}

// origin says where rows came from, and how late they are known to be.
type origin struct {
	source string
	// behind is how long another instance has been known to be ahead.
	behind time.Duration
}

// progress is how far this instance has read a table, and how far others have
// according to their heartbeats. It is safe for concurrent use.
type progress struct {
	mu sync.Mutex
	// newest is the version of the newest change that was read, covered the one
	// up to which no change is missing.
	newest, covered feed.Version
	// ahead holds the versions that other instances reported and that are not
	// covered here, in increasing order.
	ahead []peerVersion
	// waiting is set while the feed waits: for the response to a held call, or
	// in a pause. A call is held if its source responds only once there is a
	// change or the wait is over.
	waiting bool
	// advancedAt is when the newest change was read.
	advancedAt time.Time
	// watched is set while a timer is to call interruptIfOverdue.
	watched bool
	// interrupt ends the wait.
	interrupt chan struct{}
}

// peerVersion is a version that another instance reported, and when it first
// did.
type peerVersion struct {
	version    feed.Version
	reportedAt time.Time
}

// maxPeerVersions bounds progress.ahead. Only the oldest and the newest one
// matter for long.
const maxPeerVersions = 64

func newProgress() *progress { return &progress{interrupt: make(chan struct{}, 1)} }

// advance records the position after a call.
func (p *progress) advance(at platform.Position) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.newest = max(p.newest, at.Newest)
	if at.Covered > p.covered {
		p.covered, p.advancedAt = at.Covered, time.Now()
	}
	kept := p.ahead[:0]
	for _, reported := range p.ahead {
		if reported.version > p.covered {
			kept = append(kept, reported)
		}
	}
	p.ahead = kept
}

// behindFor returns how long another instance has been ahead by a change that is
// not covered here.
func (p *progress) behindFor(now time.Time) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.ahead) == 0 {
		return 0
	}
	return now.Sub(p.ahead[0].reportedAt)
}

// isBehind reports whether another instance knows a change that is not covered
// here.
func (p *progress) isBehind() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.ahead) > 0
}

// overdueIn returns how long a change that another instance knows may still be on
// its way, and false if there is none. A change that was just read delays the
// next one by a pause: if that counted as lateness, all followers of a busy zone
// would leave their relay for the store, be ahead of the others there, and make
// them leave as well.
func (p *progress) overdueIn(now time.Time) (left time.Duration, isBehind bool) {
	if len(p.ahead) == 0 {
		return 0, false
	}
	due := p.ahead[0].reportedAt.Add(propagationTime)
	if afterPause := p.advancedAt.Add(feedBatchDelay + propagationTime); afterPause.After(due) {
		due = afterPause
	}
	return max(due.Sub(now), 0), true
}

// isOverdue reports whether another instance has been ahead for longer than a
// change may be on its way.
func (p *progress) isOverdue(now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	left, isBehind := p.overdueIn(now)
	return isBehind && left == 0
}

// overdueVersion returns the oldest version that other instances reported and
// that is overdue here, and false if there is none.
func (p *progress) overdueVersion(now time.Time) (feed.Version, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	left, isBehind := p.overdueIn(now)
	if !isBehind || left > 0 {
		return 0, false
	}
	return p.ahead[0].version, true
}

// covers reports whether all changes up to a version are known.
func (p *progress) covers(version feed.Version) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.covered >= version
}

// newestVersion returns the version that heartbeats report.
func (p *progress) newestVersion() feed.Version {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.newest
}

// recordPeerVersion records the version that another instance reports. If this
// instance does not reach it within propagationTime, a wait of its feed ends.
func (p *progress) recordPeerVersion(version feed.Version) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if version <= p.covered || len(p.ahead) > 0 && version <= p.ahead[len(p.ahead)-1].version {
		return
	}
	if len(p.ahead) == maxPeerVersions {
		p.ahead[len(p.ahead)-1].version = version
		return
	}
	p.ahead = append(p.ahead, peerVersion{version, time.Now()})
	p.watch(propagationTime)
}

// watch calls interruptIfOverdue after d, unless it is to be called already. It
// is called with mu held.
func (p *progress) watch(d time.Duration) {
	if !p.watched {
		p.watched = true
		time.AfterFunc(d, p.interruptIfOverdue)
	}
}

// interruptIfOverdue ends a wait that another instance's report has made
// pointless. A call that is not held goes on: it may be the one that closes the
// gap.
func (p *progress) interruptIfOverdue() {
	p.mu.Lock()
	p.watched = false
	left, isBehind := p.overdueIn(time.Now())
	if isBehind && left > 0 {
		p.watch(left)
	}
	p.mu.Unlock()
	if isBehind && left == 0 {
		p.interruptWait()
	}
}

// interruptWait ends the wait of the feed, if it waits.
func (p *progress) interruptWait() {
	p.mu.Lock()
	waiting := p.waiting
	p.mu.Unlock()
	if waiting {
		p.interruptCall()
	}
}

// interruptCall ends the wait of the feed, or the call that is in progress.
func (p *progress) interruptCall() {
	select {
	case p.interrupt <- struct{}{}:
	default:
	}
}

// beginWait returns false if the instance is already overdue. Otherwise it ends
// the wait as soon as it is; endWait must follow.
func (p *progress) beginWait() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	left, isBehind := p.overdueIn(time.Now())
	p.waiting = !isBehind || left > 0
	if isBehind && p.waiting {
		p.watch(left)
	}
	return p.waiting
}

func (p *progress) endWait() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.waiting = false
}

// clearInterrupt drops a signal that was meant for an earlier call.
func (p *progress) clearInterrupt() {
	select {
	case <-p.interrupt:
	default:
	}
}

// pause waits for d, or until the instance is overdue or ctx is done.
func (p *progress) pause(ctx context.Context, d time.Duration) {
	p.clearInterrupt()
	if !p.beginWait() {
		return
	}
	defer p.endWait()
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	case <-p.interrupt:
	}
}

// followFeed reads a feed until the instance stops.
func (g *Gateway) followFeed(f *follower) {
	failures := 0
	for g.ctx.Err() == nil {
		if failures == 0 && f.progress.isOverdue(time.Now()) {
			failures = failuresBeforeStore
		}
		src, relayed := g.selectSource(f, failures)
		repairs := f.next > 0 && isAnyInstance(src)
		changed, err := f.poll(g.ctx, src, failures > 0)
		now := time.Now()
		g.metrics.countFeedCall(f.table, relayed, changed, err)
		if err != nil && !errors.Is(err, platform.ErrHistoryDropped) {
			g.dropIdleConnections()
		}
		switch {
		case errors.Is(err, errPollAbandoned):
			telemetry.Event("feed_kicked", telemetry.F("feed", f.table), telemetry.F("source", src.Name()),
				telemetry.F("version", f.next), telemetry.F("behind", f.progress.behindFor(now)))
			if missed, isOverdue := f.progress.overdueVersion(now); relayed && isOverdue {
				g.relays.recordLate(now, f.table, missed, heartbeatFrom(src.Name(), g.peers.live(now)))
			}
			failures = nextFailures(failures, relayed)
		case errors.Is(err, platform.ErrHistoryDropped):
			f.synced = false
			telemetry.Event("feed_reset", telemetry.F("feed", f.table), telemetry.F("source", src.Name()), telemetry.F("version", f.next))
			pause(g.ctx, minRetryDelay)
		case err != nil && relayed:
			telemetry.Event("relay_failed", telemetry.F("feed", f.table), telemetry.F("error", err))
			g.relays.recordFailure(now, err)
			failures = nextFailures(failures, relayed)
			pause(g.ctx, backoff(failures))
		case err != nil:
			g.storeState.recordFailure(now, err)
			failures = nextFailures(failures, relayed)
			pause(g.ctx, backoff(failures))
		default:
			failures = f.failuresAfterSuccess(now, failures, relayed)
			// An instance that is not the relay says nothing of the store.
			if !repairs && g.storeState.recordSuccess(now) {
				// A call that the store did not answer while it was lost would
				// only end by its timeout.
				g.operatorProgress.interruptCall()
				g.registryProgress.interruptCall()
			}
			g.announceReadiness()
			if changed {
				f.progress.pause(g.ctx, g.batchDelay(f.table, relayed))
			}
		}
	}
}

// dropIdleConnections closes the idle connections to the store and to other
// instances after a call that failed or was given up. What made one connection
// fall silent may have met the others too, and each call on such a connection
// would only end by its timeout.
func (g *Gateway) dropIdleConnections() {
	g.storeClient.DropIdleConnections()
	g.relays.client.CloseIdleConnections()
}

// isAnyInstance reports whether a source is an instance that may itself have
// lost the store.
func isAnyInstance(src source) bool {
	instance, ok := src.(*relaySource)
	return ok && instance.acceptsStale
}

// failuresAfterSuccess returns the failure count after a call that succeeded. A
// call that did not bring what others have had for long is treated as failed.
func (f *follower) failuresAfterSuccess(now time.Time, failures int, relayed bool) int {
	if failures > 0 && f.progress.behindFor(now) >= propagationTime {
		return nextFailures(failures, relayed)
	}
	return 0
}

var (
	// errStaleResponse reports a response that is older than what was read
	// before.
	errStaleResponse = errors.New("the response is older than what was read before")
	// errPollAbandoned reports a call that was given up because other instances
	// are ahead, or because the store responds again to other calls.
	errPollAbandoned = errors.New("call given up: it seems to be lost")
)

// poll makes one call and applies the result. afterFailure means that the last
// call failed: the source is then not asked to hold this one, since its loss
// would go unnoticed.
func (f *follower) poll(ctx context.Context, src source, afterFailure bool) (changed bool, err error) {
	if isAnyInstance(src) {
		// Only the whole table shows what was removed meanwhile.
		f.synced = false
	}
	if check := f.history.checkAt(); !check.IsZero() && !time.Now().Before(check) {
		f.synced = false
	}
	snapshot := !f.synced
	var prepared sync.WaitGroup
	if snapshot && f.beforeTable != nil {
		prepared.Go(func() { f.beforeTable(ctx, src) })
	}
	rows, at, err := f.fetch(ctx, src, afterFailure)
	switch {
	case err != nil:
		return false, err
	case at.Next < f.next:
		return false, errStaleResponse
	}
	prepared.Wait()
	now := time.Now()
	f.synced = true
	// The response to a held call may have no rows and a version beyond a
	// change that the store has not delivered yet, so only a response with rows
	// moves the position.
	if snapshot || len(rows) > 0 {
		f.next = at.Next
		// An engine that is rebuilt meanwhile needs the rows.
		update := f.history.update(now, rows, at, snapshot)
		if update.Restored {
			telemetry.Event("store_restored", telemetry.F("feed", f.table), telemetry.F("source", src.Name()), telemetry.F("version", at.Next))
			f.restored(now)
		}
		f.apply(now, origin{src.Name(), f.progress.behindFor(now)}, update.Rows, update.Whole)
		f.progress.advance(at)
		if _, relayed := src.(*relaySource); !relayed && !snapshot && f.advanced != nil {
			f.advanced()
		}
	}
	if afterFailure && !snapshot && f.progress.isBehind() {
		telemetry.Event("feed_behind", telemetry.F("feed", f.table), telemetry.F("version", f.next))
		f.synced = false
	}
	return snapshot || len(rows) > 0, nil
}

// fetch reads the whole table or its changes. The call runs in the background,
// so that it can be given up.
func (f *follower) fetch(ctx context.Context, src source, afterFailure bool) ([]platform.Row, platform.Position, error) {
	// A call that was given up goes on while the feed does, so it gets copies.
	table, after, synced := f.table, f.next, f.synced
	wait := maxLongPollWait/2 + rand.N(maxLongPollWait/2)
	if check := f.history.checkAt(); !check.IsZero() {
		wait = min(wait, max(time.Until(check), 0))
	}
	call := func() ([]platform.Row, platform.Position, error) {
		switch {
		case !synced:
			return src.Read(ctx, table)
		case afterFailure:
			return src.Watch(ctx, table, after, 0)
		default:
			return src.Watch(ctx, table, after, wait)
		}
	}
	type outcome struct {
		rows []platform.Row
		at   platform.Position
		err  error
	}
	f.progress.clearInterrupt()
	if synced && !afterFailure {
		if !f.progress.beginWait() {
			return nil, platform.Position{}, errPollAbandoned
		}
		defer f.progress.endWait()
	}
	done := make(chan outcome, 1)
	go func() {
		var result outcome
		if recovered := panics.Try(func() { result.rows, result.at, result.err = call() }); recovered != nil {
			result.err = recovered.AsError()
		}
		done <- result
	}()
	select {
	case result := <-done:
		return result.rows, result.at, result.err
	case <-f.progress.interrupt:
		return nil, platform.Position{}, errPollAbandoned
	}
}

// backoff returns the pause after a number of consecutive failures, with
// jitter.
func backoff(failures int) time.Duration {
	limit := min(minRetryDelay<<min(failures-1, 3), maxRetryDelay)
	return limit/2 + rand.N(limit/2)
}

// recordRestore takes note that the store has come back from a copy, once for
// each feed: what this instance wrote there may be lost.
func (g *Gateway) recordRestore(now time.Time) {
	g.metrics.increment("store_restores_total")
	g.storeState.recordRestore(now)
	g.guard("verdicts", func() { g.withEngine(func(e *steer.Engine) { e.Poison().SaveAgain() }) })
	select {
	case g.restores <- struct{}{}:
	default:
	}
}

func (g *Gateway) watchDocument() {
	// After a restart callers wait, and the document is small.
	if g.node.FirstStart {
		g.awaitMembers()
	}
	g.followFeed(&follower{
		table: platform.FeedOperator, apply: g.applyOperator,
		progress: g.operatorProgress, history: g.relays.histories[platform.FeedOperator], restored: g.recordRestore,
		// Instances that follow a relay whose connection fell silent learn of the
		// change from heartbeats alone.
		advanced: g.sendHeartbeat,
	})
}

// applyOperator applies the operator's documents and evacuations. snapshot
// means that rows is the whole table.
func (g *Gateway) applyOperator(now time.Time, from origin, rows []platform.Row, snapshot bool) {
	evacuated := map[string]bool{}
	for _, change := range platform.DecodeOperator(rows) {
		if change.Document == nil && change.Err == nil {
			evacuated[change.Zone] = change.Evacuated
		}
		g.guard("operator_row", func() { g.applyOperatorChange(now, from, change) })
	}
	if !snapshot {
		return
	}
	var before []string
	g.withEngine(func(e *steer.Engine) { before = e.Evacuated() })
	for _, zone := range before {
		if !evacuated[zone] {
			g.applyOperatorChange(now, from, platform.OperatorChange{Zone: zone})
		}
	}
}

// applyOperatorChange applies one change and logs it.
func (g *Gateway) applyOperatorChange(now time.Time, from origin, change platform.OperatorChange) {
	if change.Err != nil {
		g.metrics.increment("documents_refused_total")
		telemetry.Failure("document_refused", change.Err, telemetry.F("active", g.documentVersion()),
			telemetry.F("source", from.source), telemetry.F("row", change.RowVersion))
		return
	}
	if doc := change.Document; doc != nil {
		if err := g.checkAccounts(doc); err != nil {
			change = platform.OperatorChange{Err: err, RowVersion: change.RowVersion}
			g.applyOperatorChange(now, from, change)
			return
		}
	}
	changed := false
	idleTimeout := g.limits().IdleTimeout
	g.withEngine(func(e *steer.Engine) { changed = applyOperatorChange(e, now, change) })
	switch doc := change.Document; {
	case doc == nil:
		telemetry.Event("evacuation", telemetry.F("zone", change.Zone), telemetry.F("active", change.Evacuated))
	case changed:
		// Requests of accounts that are new must find their caps.
		g.usage.with(func(c *account.Caps) { c.SetDirectory(now, doc.Accounts) })
		g.document.Store(doc)
		if newer := g.limits().IdleTimeout; newer != idleTimeout {
			g.callers.FollowIdleTimeout(newer)
		}
		telemetry.Event("document_active", telemetry.F("version", doc.Version),
			telemetry.F("routes", len(doc.Routes)), telemetry.F("services", len(doc.Services)), telemetry.F("accounts", doc.Accounts.Len()),
			telemetry.F("source", from.source), telemetry.F("row", change.RowVersion), telemetry.F("behind", from.behind))
	case doc.Version < g.documentVersion():
		g.metrics.increment("documents_older_total")
		telemetry.Event("document_older", telemetry.F("version", doc.Version), telemetry.F("active", g.documentVersion()),
			telemetry.F("source", from.source), telemetry.F("row", change.RowVersion))
	}
}

func (g *Gateway) watchRegistry() {
	g.awaitMembers()
	known := map[steer.TargetID]bool{}
	g.followFeed(&follower{
		table: platform.FeedRegistry, progress: g.registryProgress, history: g.relays.histories[platform.FeedRegistry], restored: g.recordRestore,
		beforeTable: func(ctx context.Context, src source) { g.guard("verdicts", func() { g.learnVerdicts(ctx, src) }) },
		apply: func(now time.Time, _ origin, rows []platform.Row, snapshot bool) {
			g.applyRegistry(now, platform.DecodeRegistry(rows), snapshot, known)
		},
	})
}

// applyRegistry applies changed entries of targets. known holds the targets
// that the registry lists.
func (g *Gateway) applyRegistry(now time.Time, changes []platform.TargetChange, snapshot bool, known map[steer.TargetID]bool) {
	listed := map[steer.TargetID]bool{}
	for _, change := range changes {
		g.guard("registry_row", func() { g.applyTargetChange(now, change, known) })
		listed[change.ID] = known[change.ID]
	}
	if !snapshot {
		return
	}
	for id := range known {
		if !listed[id] {
			g.dropTarget(now, id, known)
		}
	}
	g.storeState.mu.Lock()
	g.storeState.registryRead = true
	g.storeState.mu.Unlock()
}

func (g *Gateway) applyTargetChange(now time.Time, change platform.TargetChange, known map[steer.TargetID]bool) {
	if change.Err != nil {
		telemetry.Event("target_refused", telemetry.F("target", change.ID), telemetry.F("error", change.Err))
	}
	if change.Removed || change.Err != nil {
		g.dropTarget(now, change.ID, known)
		return
	}
	accepted := false
	g.withEngine(func(e *steer.Engine) { accepted = e.PutTarget(now, change.Record) })
	known[change.ID] = true
	telemetry.Event("target", telemetry.F("target", change.ID), telemetry.F("service", change.Record.Service),
		telemetry.F("zone", change.Record.Zone), telemetry.F("address", change.Record.Address),
		telemetry.F("draining", change.Record.Draining), telemetry.F("cold", change.Record.ColdRemaining),
		telemetry.F("boot", change.Record.Boot), telemetry.F("sequence", change.Record.Sequence),
		telemetry.F("taken", accepted))
}

func (g *Gateway) dropTarget(now time.Time, id steer.TargetID, known map[steer.TargetID]bool) {
	if !known[id] {
		return
	}
	delete(known, id)
	grace := g.storeState.removalGrace(now)
	g.withEngine(func(e *steer.Engine) { e.DropTarget(now, id, grace) })
	telemetry.Event("target_gone", telemetry.F("target", id), telemetry.F("grace", grace))
}
