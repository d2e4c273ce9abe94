package gateway

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"pistachioford.example/core/steer"
	"pistachioford.example/pistachioford/platform"
	"pistachioford.example/pistachioford/telemetry"
)

const (
	// feedWait is how long the store may hold a call that waits for changes. A
	// lost answer goes unnoticed for this long, unless another instance is
	// heard to be ahead.
	feedWait = 4 * time.Second
	// behindTime is how long news of others may be on their way here too.
	behindTime = 400 * time.Millisecond
	// feedPause gathers changes that come close together into one call.
	feedPause = 350 * time.Millisecond
	// retryLeast and retryMost bound the pause after a failed call.
	retryLeast = 150 * time.Millisecond
	retryMost  = 500 * time.Millisecond
	// currentFor is how long after the last answer of the store the document
	// counts as new.
	currentFor = feedWait + 2*time.Second
	// lapseGrace is how long after the store's return a target whose entry went
	// stays in use: the entry may have lapsed while its target could not reach
	// the store, and is back after about 2 s if the target lives.
	lapseGrace = 2 * time.Second
	// ownPathTime is how long others must have been ahead for a loss of the
	// store to be one of the own path only.
	ownPathTime = 1500 * time.Millisecond
)

// storeState is what the instance knows of the store. It is safe for
// concurrent use.
type storeState struct {
	mu       sync.Mutex
	answered time.Time
	failed   time.Time
	regained time.Time
	// ownPath is set while the store is away and others reach it, or nobody is
	// reached at all. Entries that went meanwhile have then not lapsed.
	ownPath  bool
	down     bool
	registry bool
}

func (s *storeState) succeeded(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.answered = now
	if s.down {
		s.down = false
		if !s.ownPath {
			s.regained = now
		}
		telemetry.Event("store_regained", telemetry.F("after", now.Sub(s.failed)))
	}
}

func (s *storeState) lost(now time.Time, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.failed = now
	if !s.down {
		s.down, s.ownPath = true, false
		telemetry.Failure("store_lost", err)
	}
}

// age is the time since the last answer of the store or the relay.
func (s *storeState) age(now time.Time) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.answered.IsZero() {
		return 0
	}
	return now.Sub(s.answered)
}

// current tells whether the document is known to be new.
func (s *storeState) current(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.down && now.Sub(s.answered) < currentFor
}

// blameOwnPath notes that only this instance has lost the store.
func (s *storeState) blameOwnPath() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ownPath = s.ownPath || s.down
}

// lapse is how much longer a target stays in use whose entry went.
func (s *storeState) lapse(now time.Time) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down && !s.ownPath {
		return lapseGrace
	}
	return max(s.regained.Add(lapseGrace).Sub(now), 0)
}

func (s *storeState) sawRegistry() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.registry
}

// source is where a feed is read from: the store, or the relay of the zone.
type source interface {
	Read(ctx context.Context, f platform.Feed) ([]platform.Row, platform.Position, error)
	Watch(ctx context.Context, f platform.Feed, after uint64, wait time.Duration) ([]platform.Row, platform.Position, error)
}

// feed follows one table of the store. One goroutine uses it.
type feed struct {
	table platform.Feed
	apply func(now time.Time, rows []platform.Row, whole bool)
	// progress is shared with the heartbeats, history with the relay's answers.
	progress *progress
	history  *history
	synced   bool
	// next is the version after which changes are to be read.
	next uint64
}

// progress is how far this instance has followed a table, and what it hears
// of others. It is safe for concurrent use.
type progress struct {
	mu sync.Mutex
	// newest is the version of the newest change that was taken in, covered
	// that up to which none is missing, ahead the highest one that another
	// instance named.
	newest, covered, ahead uint64
	// aheadSince is when another instance was first heard to be ahead.
	aheadSince time.Time
	kick       chan struct{}
}

func newProgress() *progress { return &progress{kick: make(chan struct{}, 1)} }

// seen takes in how far the table was followed.
func (p *progress) seen(at platform.Position) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.newest = max(p.newest, at.Newest)
	p.covered = max(p.covered, at.Covered)
	if p.covered >= p.ahead {
		p.aheadSince = time.Time{}
	}
}

// behindFor is how long another instance has been ahead.
func (p *progress) behindFor(now time.Time) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.aheadSince.IsZero() {
		return 0
	}
	return now.Sub(p.aheadSince)
}

// isBehind tells whether another instance named a change that is not known.
func (p *progress) isBehind() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.covered < p.ahead
}

// covers tells whether all changes up to a version are known.
func (p *progress) covers(version uint64) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.covered >= version
}

// version is what other instances are told.
func (p *progress) version() uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.newest
}

// heard takes in how far another instance is. If this one does not get there
// soon, its waiting call was lost and is given up.
func (p *progress) heard(version uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if version <= p.covered || version <= p.ahead {
		return
	}
	p.ahead = version
	if p.aheadSince.IsZero() {
		p.aheadSince = time.Now()
	}
	time.AfterFunc(behindTime, func() {
		if p.covers(version) {
			return
		}
		select {
		case p.kick <- struct{}{}:
		default:
		}
	})
}

// forgetKick drops a kick for an earlier call.
func (p *progress) forgetKick() {
	select {
	case <-p.kick:
	default:
	}
}

// follow runs until the instance stops.
func (g *Gateway) follow(f *feed) {
	failures := 0
	for g.ctx.Err() == nil {
		from, relayed := g.sourceOf(failures, f.next > 0)
		changed, err := f.step(g.ctx, from, failures > 0)
		now := time.Now()
		switch {
		case errors.Is(err, errKicked):
			telemetry.Event("feed_kicked", telemetry.F("feed", f.table), telemetry.F("version", f.next))
			failures++
		case errors.Is(err, platform.ErrHistoryGone):
			f.synced = false
			telemetry.Event("feed_reset", telemetry.F("feed", f.table), telemetry.F("version", f.next))
			pause(g.ctx, retryLeast)
		case err != nil && relayed:
			telemetry.Event("relay_failed", telemetry.F("feed", f.table), telemetry.F("error", err))
			g.relays.distrust(now)
			failures++
			pause(g.ctx, backoff(failures))
		case err != nil:
			g.store.lost(now, err)
			failures++
			pause(g.ctx, backoff(failures))
		default:
			failures = 0
			g.store.succeeded(now)
			if changed {
				pause(g.ctx, feedPause)
			}
		}
	}
}

var (
	// errOldAnswer reports an answer from before what is already known.
	errOldAnswer = errors.New("the store's answer is older than what is known")
	// errKicked reports a call that was given up since others are ahead.
	errKicked = errors.New("other instances are ahead")
)

// step makes one call. doubtful says that the last one failed: the store is
// then not asked to hold the call, whose loss would go unnoticed.
func (f *feed) step(ctx context.Context, from source, doubtful bool) (changed bool, err error) {
	whole := !f.synced
	rows, at, err := f.call(ctx, from, doubtful)
	switch {
	case err != nil:
		return false, err
	case at.Next < f.next:
		return false, errOldAnswer
	}
	now := time.Now()
	f.synced = true
	// The store may answer a held call without changes that it had not yet
	// told, so only an answer with rows moves the position.
	if whole || len(rows) > 0 {
		f.next = at.Next
		f.apply(now, rows, whole)
		f.history.update(now, rows, at, whole)
		f.progress.seen(at)
	}
	if doubtful && !whole && f.progress.isBehind() {
		telemetry.Event("feed_behind", telemetry.F("feed", f.table), telemetry.F("version", f.next))
		f.synced = false
	}
	return whole || len(rows) > 0, nil
}

// call runs in the background, so that it can be given up.
func (f *feed) call(ctx context.Context, from source, doubtful bool) (rows []platform.Row, at platform.Position, err error) {
	if !f.synced {
		return from.Read(ctx, f.table)
	}
	if doubtful {
		return from.Watch(ctx, f.table, f.next, 0)
	}
	// Only a held call can be lost without being noticed soon.
	f.progress.forgetKick()
	done := make(chan struct{})
	after := f.next
	var got struct {
		rows []platform.Row
		at   platform.Position
		err  error
	}
	go func() {
		defer close(done)
		got.rows, got.at, got.err = from.Watch(ctx, f.table, after, feedWait/2+rand.N(feedWait/2))
	}()
	select {
	case <-done:
		return got.rows, got.at, got.err
	case <-f.progress.kick:
		return nil, platform.Position{}, errKicked
	}
}

func backoff(failures int) time.Duration {
	most := min(retryLeast<<min(failures-1, 3), retryMost)
	return most/2 + rand.N(most/2)
}

func (g *Gateway) watchDocument() {
	g.follow(&feed{
		table: platform.FeedOperator, apply: g.applyOperator,
		progress: g.documents, history: g.relays.histories[platform.FeedOperator],
	})
}

// applyOperator takes in what the operator wrote. whole says that the rows are
// all that is there.
func (g *Gateway) applyOperator(now time.Time, rows []platform.Row, whole bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	evacuated := map[string]bool{}
	for _, change := range platform.DecodeOperator(rows) {
		switch {
		case change.Err != nil:
			telemetry.Failure("document_refused", change.Err)
		case change.Document != nil:
			g.activate(change.Document)
		default:
			evacuated[change.Zone] = change.Evacuated
			g.evacuate(now, change.Zone, change.Evacuated)
		}
	}
	if !whole {
		return
	}
	for _, zone := range g.engine.Evacuated() {
		if !evacuated[zone] {
			g.evacuate(now, zone, false)
		}
	}
}

// activate and evacuate are called with mu held.
func (g *Gateway) activate(doc *steer.Document) {
	if !g.engine.SetDocument(doc) {
		return
	}
	g.document.Store(doc)
	telemetry.Event("document_active", telemetry.F("version", doc.Version),
		telemetry.F("routes", len(doc.Routes)), telemetry.F("services", len(doc.Services)))
}

func (g *Gateway) evacuate(now time.Time, zone string, active bool) {
	g.engine.Evacuate(now, zone, active)
	telemetry.Event("evacuation", telemetry.F("zone", zone), telemetry.F("active", active))
}

func (g *Gateway) watchRegistry() {
	known := map[steer.TargetID]bool{}
	g.follow(&feed{
		table: platform.FeedRegistry, progress: g.registry, history: g.relays.histories[platform.FeedRegistry],
		apply: func(now time.Time, rows []platform.Row, whole bool) {
			g.applyRegistry(now, platform.DecodeRegistry(rows), whole, known)
		},
	})
}

// applyRegistry takes in entries of targets. known holds the targets that the
// registry lists.
func (g *Gateway) applyRegistry(now time.Time, changes []platform.TargetChange, whole bool, known map[steer.TargetID]bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	listed := map[steer.TargetID]bool{}
	for _, change := range changes {
		if change.Err != nil {
			telemetry.Event("target_refused", telemetry.F("target", change.ID), telemetry.F("error", change.Err))
		}
		if change.Gone || change.Err != nil {
			g.dropTarget(now, change.ID, known)
			continue
		}
		listed[change.ID], known[change.ID] = true, true
		taken := g.engine.PutTarget(now, change.Record)
		telemetry.Event("target", telemetry.F("target", change.ID), telemetry.F("service", change.Record.Service),
			telemetry.F("zone", change.Record.Zone), telemetry.F("address", change.Record.Address),
			telemetry.F("draining", change.Record.Draining), telemetry.F("cold", change.Record.ColdFor),
			telemetry.F("boot", change.Record.Boot), telemetry.F("sequence", change.Record.Sequence),
			telemetry.F("taken", taken))
	}
	if whole {
		for id := range known {
			if !listed[id] {
				g.dropTarget(now, id, known)
			}
		}
		g.store.mu.Lock()
		g.store.registry = true
		g.store.mu.Unlock()
	}
}

func (g *Gateway) dropTarget(now time.Time, id steer.TargetID, known map[steer.TargetID]bool) {
	if !known[id] {
		return
	}
	delete(known, id)
	grace := g.store.lapse(now)
	g.engine.DropTarget(now, id, grace)
	telemetry.Event("target_gone", telemetry.F("target", id), telemetry.F("grace", grace))
}
