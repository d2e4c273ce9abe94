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

// In each zone one instance, the relay, follows the feeds of the store, and the
// other instances follow the relay. The number of calls to the store then does
// not grow with the instances of a zone. An instance whose relay failed calls
// the store itself.
const (
	relayPath = "/feed/"
	// relayRetryDelay is how long an instance calls the store itself after its
	// relay failed.
	relayRetryDelay = 5 * time.Second
	// relayTimeoutMargin is added to the time for which a relay may hold a
	// call. It also limits the opening of a connection to the relay.
	relayTimeoutMargin = 700 * time.Millisecond
	// maxRelayWait limits how long a relay holds a call.
	maxRelayWait = 30 * time.Second
	// tombstoneTTL is how long removed rows are kept for followers.
	tombstoneTTL = time.Minute
	// maxRelayResponse limits the body of a relay's response.
	maxRelayResponse = 16 << 20
)

// history is the state of a feed, from which a relay responds to its followers.
// It is safe for concurrent use.
type history struct {
	mu   sync.Mutex
	rows map[string]platform.Row
	// removedAt is when each tombstone was added.
	removedAt map[string]time.Time
	position  platform.Position
	// prunedVersion is the version up to which tombstones were dropped.
	prunedVersion uint64
	// changed is closed at the next update.
	changed chan struct{}
}

func newHistory() *history {
	return &history{rows: map[string]platform.Row{}, removedAt: map[string]time.Time{}, changed: make(chan struct{})}
}

// update applies rows. snapshot means that they are the whole table.
func (h *history) update(now time.Time, rows []platform.Row, at platform.Position, snapshot bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if snapshot {
		h.markMissingRemoved(now, rows, at)
	}
	for _, row := range rows {
		h.rows[row.Key] = row
		delete(h.removedAt, row.Key)
		if row.Deleted {
			h.removedAt[row.Key] = now
		}
	}
	h.position.Next = max(h.position.Next, at.Next)
	h.position.Newest = max(h.position.Newest, at.Newest)
	h.position.Covered = max(h.position.Covered, at.Covered)
	h.pruneTombstones(now)
	if snapshot || len(rows) > 0 {
		close(h.changed)
		h.changed = make(chan struct{})
	}
}

// markMissingRemoved replaces rows that a snapshot no longer contains by
// tombstones.
func (h *history) markMissingRemoved(now time.Time, rows []platform.Row, at platform.Position) {
	present := make(map[string]bool, len(rows))
	for _, row := range rows {
		present[row.Key] = true
	}
	for key, row := range h.rows {
		if !present[key] && !row.Deleted {
			h.rows[key] = platform.Row{Key: key, Version: at.Next, Deleted: true}
			h.removedAt[key] = now
		}
	}
}

// pruneTombstones drops tombstones older than tombstoneTTL.
func (h *history) pruneTombstones(now time.Time) {
	for key, at := range h.removedAt {
		if now.Sub(at) > tombstoneTTL {
			h.prunedVersion = max(h.prunedVersion, h.rows[key].Version)
			delete(h.rows, key)
			delete(h.removedAt, key)
		}
	}
}

// changesSince returns the rows that changed after a version, or all rows for
// version 0, and a channel that is closed at the next change. It returns false
// if removed rows may be missing.
func (h *history) changesSince(after uint64) ([]platform.Row, platform.Position, <-chan struct{}, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if after > 0 && after < h.prunedVersion {
		return nil, platform.Position{}, nil, false
	}
	var rows []platform.Row
	for _, row := range h.rows {
		if row.Version > after && (after > 0 || !row.Deleted) {
			rows = append(rows, row)
		}
	}
	slices.SortFunc(rows, func(a, b platform.Row) int { return int(int64(a.Version) - int64(b.Version)) })
	return rows, h.position, h.changed, true
}

// relays holds the feeds that this instance relays, and the client for its own
// relay. It is safe for concurrent use.
type relays struct {
	histories [2]*history
	client    fasthttp.Client

	mu sync.Mutex
	// failedAt is when a call to the relay last failed.
	failedAt time.Time
}

func newRelays() *relays {
	return &relays{
		histories: [2]*history{newHistory(), newHistory()},
		client: fasthttp.Client{
			MaxResponseBodySize: maxRelayResponse, MaxIdemponentCallAttempts: 1,
			RetryIfErr: func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
			Dial: func(address string) (net.Conn, error) {
				return net.DialTimeout("tcp4", address, relayTimeoutMargin)
			},
		},
	}
}

func (r *relays) recordFailure(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.failedAt = now
}

// isUsable reports whether the last failure of a relay is at least
// relayRetryDelay ago.
func (r *relays) isUsable(now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return now.Sub(r.failedAt) >= relayRetryDelay
}

// selectSource returns where the next call of a feed goes; relayed reports
// whether that is another instance. failures is the number of calls that failed
// since the last success, hasState means that the feed was read before.
func (g *Gateway) selectSource(failures int, hasState bool) (src source, relayed bool) {
	now := time.Now()
	live := g.peers.live(now)
	address := ""
	switch {
	case !hasState && failures%2 == 1:
		// The store may be unreachable while this instance starts, so every
		// other call goes to another instance.
		address = readyPeerInZone(g.node.Zone, live)
	case failures == 0 && g.relays.isUsable(now):
		address = relayAddress(g.self(), live)
	}
	if address == "" {
		return g.storeClient, false
	}
	return &relaySource{relays: g.relays, address: address}, true
}

// readyPeerInZone returns the address of a live instance of the zone that is
// ready, or an empty string.
func readyPeerInZone(zone string, live []presence.Heartbeat) string {
	for _, heartbeat := range live {
		if heartbeat.Zone == zone && heartbeat.Ready {
			return heartbeat.PeerAddr
		}
	}
	return ""
}

// relayAddress returns the address of the zone's relay, or an empty string if
// this instance is the relay. All instances that see the same live instances
// choose the same one. It is an advertised one, since the link of a weak
// instance would delay the feeds for the whole zone.
func relayAddress(self presence.Heartbeat, live []presence.Heartbeat) string {
	candidates := []presence.Heartbeat{self}
	for _, heartbeat := range live {
		if heartbeat.Zone == self.Zone && heartbeat.Ready {
			candidates = append(candidates, heartbeat)
		}
	}
	relay := slices.MinFunc(presence.Advertised(candidates), func(a, b presence.Heartbeat) int {
		return cmp.Compare(xxhash.Sum64String(a.Name), xxhash.Sum64String(b.Name))
	})
	if relay.Name == self.Name {
		return ""
	}
	return relay.PeerAddr
}

// relayResponse is the body of a relay's response.
type relayResponse struct {
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
	if err := s.relays.client.DoTimeout(req, resp, wait+relayTimeoutMargin); err != nil {
		return nil, platform.Position{}, fmt.Errorf("step=relay peer=%s: %w", s.address, err)
	}
	switch status := resp.StatusCode(); status {
	case fasthttp.StatusOK:
	case fasthttp.StatusGone:
		return nil, platform.Position{}, platform.ErrHistoryDropped
	default:
		return nil, platform.Position{}, fmt.Errorf("step=relay peer=%s: status %d", s.address, status)
	}
	var response relayResponse
	if err := json.Unmarshal(resp.Body(), &response); err != nil {
		return nil, platform.Position{}, fmt.Errorf("step=relay peer=%s: %w", s.address, err)
	}
	return response.Rows, response.At, nil
}

// handleRelay responds to a follower's call.
func (g *Gateway) handleRelay(ctx *fasthttp.RequestCtx) {
	name, found := strings.CutPrefix(string(ctx.Path()), relayPath)
	if !found {
		ctx.SetStatusCode(fasthttp.StatusNotFound)
		return
	}
	for f, h := range g.relays.histories {
		if platform.Feed(f).String() == name {
			g.serveFollower(ctx, h)
			return
		}
	}
	ctx.SetStatusCode(fasthttp.StatusNotFound)
}

// serveFollower responds to a call for one feed. An instance that does not
// follow the store itself refuses calls for changes, so that followers do not
// follow each other.
func (g *Gateway) serveFollower(ctx *fasthttp.RequestCtx, h *history) {
	after, afterErr := strconv.ParseUint(string(ctx.QueryArgs().Peek("after")), 10, 64)
	waitMS, waitErr := strconv.ParseUint(string(ctx.QueryArgs().Peek("wait_ms")), 10, 32)
	if afterErr != nil || waitErr != nil {
		ctx.SetStatusCode(fasthttp.StatusBadRequest)
		return
	}
	_, relayed := g.selectSource(0, true)
	rows, at, changed, complete := h.changesSince(after)
	// A starting instance gets the state even if that may be outdated: without
	// any state it would serve nothing.
	current := !relayed && g.storeState.isCurrent(time.Now()) || after == 0 && at.Next > 0
	if !current || g.leaving.Load() {
		ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
		return
	}
	if complete && len(rows) == 0 && after > 0 {
		timer := time.NewTimer(min(time.Duration(waitMS)*time.Millisecond, maxRelayWait))
		defer timer.Stop()
		select {
		case <-changed:
		case <-timer.C:
		case <-g.ctx.Done():
		}
		rows, at, _, complete = h.changesSince(after)
	}
	if !complete {
		ctx.SetStatusCode(fasthttp.StatusGone)
		return
	}
	// The follower may have read from the store before, and be ahead: versions
	// also grow with changes of other tables.
	at.Next = max(at.Next, after)
	body, err := json.Marshal(relayResponse{Rows: rows, At: at})
	if err != nil {
		ctx.SetStatusCode(fasthttp.StatusInternalServerError)
		return
	}
	ctx.SetContentType("application/json")
	ctx.SetBody(body)
}
