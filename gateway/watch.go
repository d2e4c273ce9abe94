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
	// lost answer goes unnoticed for this long.
	feedWait = 2500 * time.Millisecond
	// feedPause gathers changes that come close together into one call.
	feedPause = 150 * time.Millisecond
	// retryLeast and retryMost bound the pause after a failed call.
	retryLeast = 150 * time.Millisecond
	retryMost  = 800 * time.Millisecond
	// currentFor is how long after the last answer of the store the document
	// counts as new.
	currentFor = 2*feedWait + time.Second
	// lapseWindow is how long after a failed call a removed entry may have
	// lapsed because its target could not reach the store.
	lapseWindow = 5 * time.Second
	// lapseGrace is how long such a target stays in use: live targets are back
	// in the registry about 2 s after the store's return.
	lapseGrace = 2200 * time.Millisecond
)

// storeState is what the instance knows of the store. It is safe for
// concurrent use.
type storeState struct {
	mu       sync.Mutex
	answered time.Time
	failed   time.Time
	down     bool
	registry bool
}

func (s *storeState) succeeded(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.answered = now
	if s.down {
		s.down = false
		telemetry.Event("store_regained", telemetry.F("after", now.Sub(s.failed)))
	}
}

func (s *storeState) lost(now time.Time, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.failed = now
	if !s.down {
		s.down = true
		telemetry.Failure("store_lost", err)
	}
}

// current tells whether the document is known to be new.
func (s *storeState) current(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.down && now.Sub(s.answered) < currentFor
}

// lapse is how long a target stays in use after its entry went.
func (s *storeState) lapse(now time.Time) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if now.Sub(s.failed) < lapseWindow {
		return lapseGrace
	}
	return 0
}

func (s *storeState) sawRegistry() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.registry
}

// feed follows one table of the store.
type feed[T any] struct {
	name   string
	read   func(context.Context) ([]T, uint64, error)
	watch  func(context.Context, uint64, time.Duration) ([]T, uint64, error)
	apply  func(now time.Time, changes []T, whole bool)
	synced bool
	// version is the newest one that was taken in.
	version uint64
}

// follow runs until the instance stops.
func follow[T any](g *Gateway, f *feed[T]) {
	failures := 0
	for g.ctx.Err() == nil {
		changed, err := f.step(g.ctx)
		now := time.Now()
		switch {
		case errors.Is(err, platform.ErrHistoryGone):
			f.synced = false
			telemetry.Event("feed_reset", telemetry.F("feed", f.name), telemetry.F("version", f.version))
			pause(g.ctx, retryLeast)
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

// errOldAnswer reports an answer from before what is already known.
var errOldAnswer = errors.New("the store's answer is older than what is known")

func (f *feed[T]) step(ctx context.Context) (changed bool, err error) {
	if f.synced {
		changes, version, err := f.watch(ctx, f.version, feedWait)
		if err != nil {
			return false, err
		}
		f.version = max(f.version, version)
		f.apply(time.Now(), changes, false)
		return len(changes) > 0, nil
	}
	changes, version, err := f.read(ctx)
	if err != nil {
		return false, err
	}
	if version < f.version {
		return false, errOldAnswer
	}
	f.version, f.synced = version, true
	f.apply(time.Now(), changes, true)
	return true, nil
}

func backoff(failures int) time.Duration {
	most := min(retryLeast<<min(failures-1, 3), retryMost)
	return most/2 + rand.N(most/2)
}

func (g *Gateway) watchDocument() {
	follow(g, &feed[platform.DocumentChange]{
		name: "document", read: g.client.ReadOperator, watch: g.client.WatchOperator, apply: g.applyOperator,
	})
}

// applyOperator takes in what the operator wrote. whole says that the changes
// are all that is there.
func (g *Gateway) applyOperator(now time.Time, changes []platform.DocumentChange, whole bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	evacuated := map[string]bool{}
	for _, change := range changes {
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
	follow(g, &feed[platform.TargetChange]{
		name: "registry", read: g.client.ReadRegistry, watch: g.client.WatchRegistry,
		apply: func(now time.Time, changes []platform.TargetChange, whole bool) {
			g.applyRegistry(now, changes, whole, known)
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
