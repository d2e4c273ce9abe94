package gateway

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/valyala/fasthttp"

	"pistachioford.example/core/presence"
	"pistachioford.example/pistachioford/platform"
)

// One instance of each zone follows the store; the others follow that one, the
// zone's relay. The calls to the store then do not grow with the instances of
// a zone. Whoever suspects its relay asks the store itself.
const (
	relayPath = "/feed/"
	// distrustTime is how long the store is asked after a relay failed.
	distrustTime = 5 * time.Second
	// relayMargin is the time for an answer beside the time that it is held.
	relayMargin = 700 * time.Millisecond
	// relayHoldMost bounds the time for which an answer is held.
	relayHoldMost = 30 * time.Second
	// tombstoneTime is how long removed rows are kept for followers.
	tombstoneTime = time.Minute
	// relayAnswerBytes bounds the answer of a relay.
	relayAnswerBytes = 16 << 20
)

// history is the state of a feed, from which a relay answers its followers. It
// is safe for concurrent use.
type history struct {
	mu   sync.Mutex
	rows map[string]platform.Row
	// removed is when a tombstone came.
	removed map[string]time.Time
	at      platform.Position
	// floor is the version up to which tombstones were dropped.
	floor uint64
	// changed is closed at the next update.
	changed chan struct{}
}

func newHistory() *history {
	return &history{rows: map[string]platform.Row{}, removed: map[string]time.Time{}, changed: make(chan struct{})}
}

// update takes in rows; whole says that they are all there is.
func (h *history) update(now time.Time, rows []platform.Row, at platform.Position, whole bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if whole {
		h.dropMissing(now, rows, at)
	}
	for _, row := range rows {
		h.rows[row.Key] = row
		delete(h.removed, row.Key)
		if row.Deleted {
			h.removed[row.Key] = now
		}
	}
	h.at.Next = max(h.at.Next, at.Next)
	h.at.Newest = max(h.at.Newest, at.Newest)
	h.at.Covered = max(h.at.Covered, at.Covered)
	h.forget(now)
	if whole || len(rows) > 0 {
		close(h.changed)
		h.changed = make(chan struct{})
	}
}

// dropMissing marks rows that are not listed any more as removed.
func (h *history) dropMissing(now time.Time, rows []platform.Row, at platform.Position) {
	listed := make(map[string]bool, len(rows))
	for _, row := range rows {
		listed[row.Key] = true
	}
	for key, row := range h.rows {
		if !listed[key] && !row.Deleted {
			h.rows[key] = platform.Row{Key: key, Version: at.Next, Deleted: true}
			h.removed[key] = now
		}
	}
}

func (h *history) forget(now time.Time) {
	for key, at := range h.removed {
		if now.Sub(at) > tombstoneTime {
			h.floor = max(h.floor, h.rows[key].Version)
			delete(h.rows, key)
			delete(h.removed, key)
		}
	}
}

// since returns what changed after a version, and a channel that closes at the
// next change. It returns false if removed rows may be missing.
func (h *history) since(after uint64) ([]platform.Row, platform.Position, <-chan struct{}, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if after > 0 && after < h.floor {
		return nil, platform.Position{}, nil, false
	}
	var rows []platform.Row
	for _, row := range h.rows {
		if row.Version > after && (after > 0 || !row.Deleted) {
			rows = append(rows, row)
		}
	}
	slices.SortFunc(rows, func(a, b platform.Row) int { return int(int64(a.Version) - int64(b.Version)) })
	return rows, h.at, h.changed, true
}

// relays holds what this instance relays, and its view of its own relay. It is
// safe for concurrent use.
type relays struct {
	histories [2]*history
	http      fasthttp.Client

	mu        sync.Mutex
	distrusts time.Time
}

func newRelays() *relays {
	return &relays{
		histories: [2]*history{newHistory(), newHistory()},
		http: fasthttp.Client{
			MaxResponseBodySize: relayAnswerBytes, MaxIdemponentCallAttempts: 1,
			RetryIfErr: func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
			Dial: func(address string) (net.Conn, error) {
				return net.DialTimeout("tcp4", address, relayMargin)
			},
		},
	}
}

func (r *relays) distrust(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.distrusts = now
}

func (r *relays) trusted(now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return now.Sub(r.distrusts) >= distrustTime
}

// sourceOf returns where the next call of a feed goes; relayed tells that it is
// another instance. failures counts the failed calls before, known says that
// the feed was read before.
func (g *Gateway) sourceOf(failures int, known bool) (from source, relayed bool) {
	now := time.Now()
	live := g.peers.live(now)
	address := ""
	switch {
	case !known && failures%2 == 1:
		// The store may be away while this instance starts.
		address = rescuerOf(g.node.Zone, live)
	case failures == 0 && g.relays.trusted(now):
		address = relayOf(g.self(), live)
	}
	if address == "" {
		return g.client, false
	}
	return &relaySource{relays: g.relays, address: address}, true
}

// rescuerOf returns the address of a live instance of the zone, if there is one.
func rescuerOf(zone string, live []presence.Beat) string {
	for _, beat := range live {
		if beat.Zone == zone && beat.Ready {
			return beat.Peers
		}
	}
	return ""
}

// relayOf returns the address of the zone's relay, or nothing if that is the
// instance itself. All that see the same live instances choose the same one. It
// is among those that lookups name, since a weak instance's link would delay
// what it passes on to a whole zone.
func relayOf(self presence.Beat, live []presence.Beat) string {
	candidates := []presence.Beat{self}
	for _, beat := range live {
		if beat.Zone == self.Zone && beat.Ready {
			candidates = append(candidates, beat)
		}
	}
	relay := slices.MinFunc(presence.Named(candidates), func(a, b presence.Beat) int {
		return cmp.Compare(xxhash.Sum64String(a.Name), xxhash.Sum64String(b.Name))
	})
	if relay.Name == self.Name {
		return ""
	}
	return relay.Peers
}

// relayAnswer is the body of a relay's answer.
type relayAnswer struct {
	Rows []platform.Row    `json:"rows"`
	At   platform.Position `json:"at"`
}

// relaySource reads feeds from a relay.
type relaySource struct {
	relays  *relays
	address string
}

func (s *relaySource) Read(ctx context.Context, f platform.Feed) ([]platform.Row, platform.Position, error) {
	return s.Watch(ctx, f, 0, 0)
}

func (s *relaySource) Watch(_ context.Context, f platform.Feed, after uint64, wait time.Duration) ([]platform.Row, platform.Position, error) {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.SetRequestURI(fmt.Sprintf("http://%s%s%s?after=%d&wait_ms=%d", s.address, relayPath, f, after, wait.Milliseconds()))
	if err := s.relays.http.DoTimeout(req, resp, wait+relayMargin); err != nil {
		return nil, platform.Position{}, fmt.Errorf("step=relay peer=%s: %w", s.address, err)
	}
	switch status := resp.StatusCode(); status {
	case fasthttp.StatusOK:
	case fasthttp.StatusGone:
		return nil, platform.Position{}, platform.ErrHistoryGone
	default:
		return nil, platform.Position{}, fmt.Errorf("step=relay peer=%s: status %d", s.address, status)
	}
	var answer relayAnswer
	if err := json.Unmarshal(resp.Body(), &answer); err != nil {
		return nil, platform.Position{}, fmt.Errorf("step=relay peer=%s: %w", s.address, err)
	}
	return answer.Rows, answer.At, nil
}

// handleRelay answers a follower. An instance that does not follow the store
// itself refuses, so that followers do not follow each other.
func (g *Gateway) handleRelay(ctx *fasthttp.RequestCtx) {
	name, found := strings.CutPrefix(string(ctx.Path()), relayPath)
	if !found {
		ctx.SetStatusCode(fasthttp.StatusNotFound)
		return
	}
	for f, h := range g.relays.histories {
		if platform.Feed(f).String() == name {
			g.answerFollower(ctx, h)
			return
		}
	}
	ctx.SetStatusCode(fasthttp.StatusNotFound)
}

func (g *Gateway) answerFollower(ctx *fasthttp.RequestCtx, h *history) {
	after, afterErr := strconv.ParseUint(string(ctx.QueryArgs().Peek("after")), 10, 64)
	waitMS, waitErr := strconv.ParseUint(string(ctx.QueryArgs().Peek("wait_ms")), 10, 32)
	if afterErr != nil || waitErr != nil {
		ctx.SetStatusCode(fasthttp.StatusBadRequest)
		return
	}
	_, relayed := g.sourceOf(0, true)
	rows, at, changed, whole := h.since(after)
	// An instance that starts gets the state even while it may be old: without
	// it, it would serve nothing.
	current := !relayed && g.store.current(time.Now()) || after == 0 && at.Next > 0
	if !current || g.leaving.Load() {
		ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
		return
	}
	if whole && len(rows) == 0 && after > 0 {
		timer := time.NewTimer(min(time.Duration(waitMS)*time.Millisecond, relayHoldMost))
		defer timer.Stop()
		select {
		case <-changed:
		case <-timer.C:
		case <-g.ctx.Done():
		}
		rows, at, _, whole = h.since(after)
	}
	if !whole {
		ctx.SetStatusCode(fasthttp.StatusGone)
		return
	}
	// The follower may have read from the store before; versions grow with
	// changes of other tables too.
	at.Next = max(at.Next, after)
	body, err := json.Marshal(relayAnswer{Rows: rows, At: at})
	if err != nil {
		ctx.SetStatusCode(fasthttp.StatusInternalServerError)
		return
	}
	ctx.SetContentType("application/json")
	ctx.SetBody(body)
}
