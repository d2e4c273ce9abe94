package gateway

import (
	"bytes"
	"cmp"
	"compress/gzip"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/valyala/fasthttp"

	"pistachioford.example/core/feed"
	"pistachioford.example/core/presence"
	"pistachioford.example/pistachioford/httpread"
	"pistachioford.example/pistachioford/platform"
)

// In each zone one instance, the relay, follows the feeds of the store, and the
// other instances follow the relay. The number of calls to the store then does
// not grow with the instances of a zone. An instance whose relay failed calls
// the store itself.
const (
	relayPath = "/feed/"
	// relayRetryDelay is how long an instance calls the store itself after its
	// relay failed, relayRefusalDelay that after the relay refused a call: it
	// has not read the feed yet, or sees another instance as the relay, and
	// heartbeats settle both soon.
	relayRetryDelay   = 5 * time.Second
	relayRefusalDelay = presence.Interval
	// minStoreReaders is the least number of instances of a fleet that follow
	// the document from the store. If the connection of one falls silent, the
	// others notice a change, and their heartbeats report it.
	minStoreReaders = 3
	// relayStartWait is how long a relay that starts at the same time may take
	// to read a feed.
	relayStartWait = time.Second
	// tableTimeoutMargin replaces relayTimeoutMargin for a whole table, which a
	// relay sends to all instances of a zone that starts.
	tableTimeoutMargin = 2 * time.Second
	// relayTimeoutMargin is added to the time for which a relay may hold a
	// call. It also limits the opening of a connection to the relay.
	relayTimeoutMargin = 700 * time.Millisecond
	// maxRelayWait limits how long a relay holds a call.
	maxRelayWait = 30 * time.Second
	// maxRelayResponse limits the body of a relay's response.
	maxRelayResponse = 16 << 20
)

// history is the state of a feed, from which a relay responds to its followers.
// It is safe for concurrent use.
type history struct {
	mu    sync.Mutex
	state *feed.Table
	// changed is closed at the next update.
	changed chan struct{}
	// table is the encoded response to a call for all rows, nil if it has not
	// been encoded since the last update.
	table []byte
}

func newHistory(f platform.Feed) *history {
	return &history{state: feed.NewTable(f.CompareRows), changed: make(chan struct{})}
}

// update applies rows; whole means that they are the whole table.
func (h *history) update(now time.Time, rows []platform.Row, at platform.Position, whole bool) feed.Update {
	h.mu.Lock()
	defer h.mu.Unlock()
	u := h.state.Apply(now, rows, at, whole)
	h.table = nil
	if whole || len(rows) > 0 {
		close(h.changed)
		h.changed = make(chan struct{})
	}
	return u
}

// checkAt returns when the whole table is to be read again, or the zero time.
func (h *history) checkAt() time.Time {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.state.CheckAt()
}

// changesSince returns the rows that changed after a version, or all rows for
// version 0, and a channel that is closed at the next change. It returns false
// if removed rows may be missing.
func (h *history) changesSince(after feed.Version) ([]platform.Row, platform.Position, <-chan struct{}, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	rows, complete := h.state.ChangesSince(after)
	return rows, h.state.Position(), h.changed, complete
}

// relays holds the feeds that this instance relays, and the client for its own
// relay. It is safe for concurrent use.
type relays struct {
	histories [2]*history
	client    fasthttp.Client

	mu sync.Mutex
	// usableAt is when the relay may be called again after a call failed.
	usableAt time.Time
	// missed is the version of each table, or 0, that other instances had and the
	// relay had not when it was late with it.
	missed [2]feed.Version
}

func newRelays() *relays {
	return &relays{
		histories: [2]*history{newHistory(platform.FeedOperator), newHistory(platform.FeedRegistry)},
		client: fasthttp.Client{
			Transport: httpread.Transport{}, MaxResponseBodySize: maxRelayResponse, MaxIdemponentCallAttempts: 1,
			RetryIfErr: func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
			Dial: func(address string) (net.Conn, error) {
				return net.DialTimeout("tcp4", address, relayTimeoutMargin)
			},
		},
	}
}

// errRelayRefused reports that the relay cannot serve a feed at present.
var errRelayRefused = errors.New("the relay refused the call")

// recordFailure records that a call to the relay failed.
func (r *relays) recordFailure(now time.Time, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delay := relayRetryDelay
	if errors.Is(err, errRelayRefused) {
		delay = relayRefusalDelay
	}
	r.usableAt, r.missed = now.Add(delay), [2]feed.Version{}
}

// recordLate records that the relay did not bring a change of a table in time. If
// its newest heartbeat does not report the change, it may only be behind itself,
// and not out of reach.
func (r *relays) recordLate(now time.Time, table platform.Feed, missed feed.Version, relay presence.Heartbeat) {
	r.recordFailure(now, errPollAbandoned)
	if versionOf(table, relay) >= missed {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.missed[table] = missed
}

// isUsable reports whether the relay may be called: some time after a failure, or
// once it reports the change that it was late with.
func (r *relays) isUsable(now time.Time, relay presence.Heartbeat) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !now.Before(r.usableAt) {
		return true
	}
	wasBehind := false
	for table, missed := range r.missed {
		if missed > versionOf(platform.Feed(table), relay) {
			return false
		}
		wasBehind = wasBehind || missed > 0
	}
	return wasBehind
}

// versionOf returns the version of the newest change of a table that a heartbeat
// reports.
func versionOf(table platform.Feed, heartbeat presence.Heartbeat) feed.Version {
	if table == platform.FeedRegistry {
		return heartbeat.Registry
	}
	return heartbeat.Document
}

// nextFailures returns the failure count after a call failed. It is odd after a
// call to the store and even after one to another instance, which selectSource
// uses to alternate between them.
func nextFailures(failures int, relayed bool) int {
	failures++
	if failures%2 == 1 == relayed {
		failures++
	}
	return failures
}

// failuresBeforeStore is a failure count with which the next call goes to the
// store, which does not hold it.
const failuresBeforeStore = 2

// selectSource returns where the next call of a feed goes; relayed reports
// whether that is another instance. failures is 0 after a success, and counted
// by nextFailures since.
func (g *Gateway) selectSource(f *follower, failures int) (src source, relayed bool) {
	now := time.Now()
	live := g.peers.live(now)
	address, acceptsStale := "", false
	switch {
	case failures%2 == 1 && f.next == 0:
		// The store may be unreachable while this instance starts. Another one
		// may have lost it as well, but its tables are better than none.
		address, acceptsStale = readyPeerInZone(g.node.Zone, live), true
	case failures%2 == 1 && f.progress.isBehind():
		// The store may refuse only this instance, or show it an older state.
		address, acceptsStale = g.newerPeer(f, live), true
	case failures == 0:
		address = g.usableRelay(now, f.table, live)
	}
	if address == "" {
		return g.storeClient, false
	}
	return &relaySource{relays: g.relays, address: address, acceptsStale: acceptsStale}, true
}

// usableRelay returns the address of the instance that relays a table to this
// one, or an empty string if there is none or the last call to it failed.
func (g *Gateway) usableRelay(now time.Time, table platform.Feed, live []presence.Heartbeat) string {
	address := relayOf(table, g.self(), live)
	if address == "" || !g.relays.isUsable(now, heartbeatFrom(address, live)) {
		return ""
	}
	return address
}

// heartbeatFrom returns the newest heartbeat of the live instance with an address
// for followers, or an empty one.
func heartbeatFrom(address string, live []presence.Heartbeat) presence.Heartbeat {
	for _, heartbeat := range live {
		if heartbeat.PeerAddr == address {
			return heartbeat
		}
	}
	return presence.Heartbeat{}
}

// newerPeer returns the address of a live instance that knows a change which the
// feed does not cover, or an empty string. It prefers the own zone. Instances
// choose different ones, so that none has to serve a whole fleet.
func (g *Gateway) newerPeer(f *follower, live []presence.Heartbeat) string {
	var newer []presence.Heartbeat
	for _, heartbeat := range live {
		if heartbeat.Ready && !f.progress.covers(versionOf(f.table, heartbeat)) {
			newer = append(newer, heartbeat)
		}
	}
	if len(newer) == 0 {
		return ""
	}
	isFar := func(h presence.Heartbeat) int {
		if h.Zone == g.node.Zone {
			return 0
		}
		return 1
	}
	return slices.MinFunc(newer, func(a, b presence.Heartbeat) int {
		return cmp.Or(cmp.Compare(isFar(a), isFar(b)), cmp.Compare(xxhash.Sum64String(g.node.Name+a.Name), xxhash.Sum64String(g.node.Name+b.Name)))
	}).PeerAddr
}

// batchDelay returns the pause after a call that returned changes. An instance
// that calls the store in place of a relay that failed pauses longer: if a relay
// fails, all instances of its zone do. One whose relay is usable returns to it
// before it can be overdue again.
func (g *Gateway) batchDelay(table platform.Feed, relayed bool) time.Duration {
	live := g.peers.live(time.Now())
	if !relayed && g.usableRelay(time.Now(), table, live) == "" && relayOf(table, g.self(), live) != "" {
		return fallbackBatchDelay
	}
	return feedBatchDelay
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

// relayOf returns the address of the instance that relays a table to this one,
// or an empty string if this one follows it from the store.
func relayOf(table platform.Feed, self presence.Heartbeat, live []presence.Heartbeat) string {
	if table == platform.FeedOperator && isStandby(self, live) {
		return ""
	}
	return relayAddress(self, live)
}

// isStandby reports whether an instance follows the document from the store
// though it is not its zone's relay: in a fleet with few zones.
func isStandby(self presence.Heartbeat, live []presence.Heartbeat) bool {
	zones := map[string]bool{self.Zone: true}
	for _, heartbeat := range live {
		zones[heartbeat.Zone] = true
	}
	readersPerZone := (minStoreReaders + len(zones) - 1) / len(zones)
	if readersPerZone < 2 {
		return false
	}
	rank := slices.IndexFunc(relayCandidates(self, live), func(h presence.Heartbeat) bool { return h.Name == self.Name })
	return rank > 0 && rank < readersPerZone
}

// relayAddress returns the address of the zone's relay, or an empty string if
// this instance is the relay. All instances that see the same live instances
// choose the same one.
func relayAddress(self presence.Heartbeat, live []presence.Heartbeat) string {
	candidates := relayCandidates(self, live)
	if len(candidates) == 0 || candidates[0].Name == self.Name {
		return ""
	}
	return candidates[0].PeerAddr
}

// relayCandidates returns the instances that may be the zone's relay, the
// preferred one first. They are advertised ones, since the link of a weak
// instance would delay the feeds for the whole zone. Only ready instances that
// reach the store are relays, unless the zone has none: then those that have lost
// the store, or else those that are starting.
func relayCandidates(self presence.Heartbeat, live []presence.Heartbeat) []presence.Heartbeat {
	var ready, cut, starting []presence.Heartbeat
	for _, heartbeat := range append([]presence.Heartbeat{self}, live...) {
		switch {
		case heartbeat.Zone != self.Zone || heartbeat.Leaving:
		case heartbeat.Ready && heartbeat.StoreLost:
			cut = append(cut, heartbeat)
		case heartbeat.Ready:
			ready = append(ready, heartbeat)
		default:
			starting = append(starting, heartbeat)
		}
	}
	candidates := starting
	switch {
	case len(ready) > 0:
		candidates = ready
	case len(cut) > 0:
		candidates = cut
	case len(starting) == 0:
		return nil
	}
	candidates = slices.Clone(presence.Advertised(candidates))
	slices.SortFunc(candidates, func(a, b presence.Heartbeat) int {
		return cmp.Compare(xxhash.Sum64String(a.Name), xxhash.Sum64String(b.Name))
	})
	return candidates
}

// relayResponse is the body of a relay's response. Versions are encoded as
// counters of one era.
type relayResponse struct {
	Rows []platform.Row    `json:"rows"`
	At   platform.Position `json:"at"`
	// Era is nil in a response of a build that knows no eras.
	Era *uint64 `json:"era"`
}

// encodeRelayResponse encodes rows and the position after them.
func encodeRelayResponse(rows []platform.Row, at platform.Position) ([]byte, error) {
	era := at.Next.Era()
	r := relayResponse{Rows: slices.Clone(rows), At: at, Era: &era}
	r.mapVersions(func(v feed.Version) feed.Version { return feed.Version(v.Counter()) })
	return json.Marshal(r)
}

// mapVersions replaces all versions.
func (r *relayResponse) mapVersions(replace func(feed.Version) feed.Version) {
	for i := range r.Rows {
		r.Rows[i].Version = replace(r.Rows[i].Version)
	}
	r.At = platform.Position{Next: replace(r.At.Next), Newest: replace(r.At.Newest), Covered: replace(r.At.Covered)}
}

// relaySource reads feeds from a relay.
type relaySource struct {
	relays  *relays
	address string
	// acceptsStale is set if a table may be read from an instance that has
	// itself lost the store.
	acceptsStale bool
}

func (s *relaySource) Name() string { return s.address }

func (s *relaySource) Read(ctx context.Context, f platform.Feed) ([]platform.Row, platform.Position, error) {
	return s.Watch(ctx, f, 0, relayStartWait)
}

func (s *relaySource) Watch(_ context.Context, f platform.Feed, after feed.Version, wait time.Duration) ([]platform.Row, platform.Position, error) {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.SetRequestURI(fmt.Sprintf("http://%s%s%s?after=%d&era=%d&wait_ms=%d&stale=%t",
		s.address, relayPath, f, after.Counter(), after.Era(), wait.Milliseconds(), s.acceptsStale))
	margin := relayTimeoutMargin
	if after == 0 {
		margin = tableTimeoutMargin
	}
	if err := s.relays.client.DoTimeout(req, resp, wait+margin); err != nil {
		return nil, platform.Position{}, fmt.Errorf("step=relay peer=%s: %w", s.address, err)
	}
	switch status := resp.StatusCode(); status {
	case fasthttp.StatusOK:
	case fasthttp.StatusGone:
		return nil, platform.Position{}, platform.ErrHistoryDropped
	case fasthttp.StatusServiceUnavailable:
		return nil, platform.Position{}, fmt.Errorf("step=relay peer=%s: %w", s.address, errRelayRefused)
	default:
		return nil, platform.Position{}, fmt.Errorf("step=relay peer=%s: status %d", s.address, status)
	}
	response, err := decodeRelayResponse(resp, after.Era())
	if err != nil {
		return nil, platform.Position{}, fmt.Errorf("step=relay peer=%s: %w", s.address, err)
	}
	return response.Rows, response.At, nil
}

// decodeRelayResponse decodes the body of a relay's response to a call that named
// an era.
func decodeRelayResponse(resp *fasthttp.Response, era uint64) (response relayResponse, err error) {
	body := resp.Body()
	if string(resp.Header.ContentEncoding()) == "gzip" {
		if body, err = decompressTable(body); err != nil {
			return relayResponse{}, err
		}
	}
	if err = json.Unmarshal(body, &response); err != nil {
		return relayResponse{}, err
	}
	if response.Era != nil {
		era = *response.Era
	}
	response.mapVersions(func(v feed.Version) feed.Version { return feed.NewVersion(era, uint64(v)) })
	return response, nil
}

func decompressTable(body []byte) ([]byte, error) {
	r, err := gzip.NewReader(bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	table, err := io.ReadAll(io.LimitReader(r, maxRelayResponse+1))
	if err != nil {
		return nil, err
	}
	if len(table) > maxRelayResponse {
		return nil, errTooLarge
	}
	return table, nil
}

// compressedTable returns the encoded response to a call for all rows. It is
// encoded once for all followers; a zone that starts asks for it at the same
// time. The result must not be changed.
func (h *history) compressedTable() ([]byte, error) {
	h.mu.Lock()
	table := h.table
	h.mu.Unlock()
	if table != nil {
		return table, nil
	}
	rows, at, _, _ := h.changesSince(0)
	encoded, err := encodeRelayResponse(rows, at)
	if err != nil {
		return nil, err
	}
	var compressed bytes.Buffer
	w, err := gzip.NewWriterLevel(&compressed, gzip.BestSpeed)
	if err != nil {
		return nil, err
	}
	if _, err := w.Write(encoded); err != nil {
		return nil, err
	}
	if err := w.Close(); err != nil {
		return nil, err
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.state.Position() == at {
		h.table = compressed.Bytes()
	}
	return compressed.Bytes(), nil
}

// handleRelay responds to a follower's call.
func (g *Gateway) handleRelay(ctx *fasthttp.RequestCtx) {
	if string(ctx.Path()) == verdictsPath {
		g.serveVerdicts(ctx)
		return
	}
	name, found := strings.CutPrefix(string(ctx.Path()), relayPath)
	if !found {
		ctx.SetStatusCode(fasthttp.StatusNotFound)
		return
	}
	for f := range g.relays.histories {
		if table := platform.Feed(f); table.String() == name {
			g.serveFollower(ctx, table)
			return
		}
	}
	ctx.SetStatusCode(fasthttp.StatusNotFound)
}

// serveFollower responds to a call for one feed. An instance that does not
// follow the store itself refuses calls for changes, so that followers do not
// follow each other. The whole table comes from any instance that knows it to
// be current, so that a starting one does not use what was removed meanwhile,
// or from any at all if the caller cannot reach the store either.
func (g *Gateway) serveFollower(ctx *fasthttp.RequestCtx, table platform.Feed) {
	h := g.relays.histories[table]
	after, afterErr := followerVersion(ctx.QueryArgs(), h)
	waitMS, waitErr := strconv.ParseUint(string(ctx.QueryArgs().Peek("wait_ms")), 10, 32)
	if afterErr != nil || waitErr != nil {
		ctx.SetStatusCode(fasthttp.StatusBadRequest)
		return
	}
	wait := min(time.Duration(waitMS)*time.Millisecond, maxRelayWait)
	if after == 0 {
		g.serveTable(ctx, h, wait)
		return
	}
	if !g.canRelayChanges(table) {
		ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
		return
	}
	rows, at, complete := g.waitForChanges(h, after, wait)
	switch {
	case !complete:
		ctx.SetStatusCode(fasthttp.StatusGone)
		return
	case len(rows) == 0 && isClosed(g.storeState.whenLost()):
		ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
		return
	}
	// The follower may have read from the store before, and be ahead: versions
	// also grow with changes of other tables.
	at.Next = max(at.Next, after)
	body, err := encodeRelayResponse(rows, at)
	if err != nil {
		ctx.SetStatusCode(fasthttp.StatusInternalServerError)
		return
	}
	ctx.SetContentType("application/json")
	ctx.SetBody(body)
}

// followerVersion returns the version after which a follower asks for changes, or
// 0 if it asks for all rows. A build that knows no eras names none.
func followerVersion(args *fasthttp.Args, h *history) (feed.Version, error) {
	counter, err := strconv.ParseUint(string(args.Peek("after")), 10, 64)
	switch {
	case err != nil:
		return 0, err
	case args.Has("era"):
		era, err := strconv.ParseUint(string(args.Peek("era")), 10, 64)
		return feed.NewVersion(era, counter), err
	case counter == 0:
		return 0, nil
	}
	_, at, _, _ := h.changesSince(0)
	return feed.NewVersion(at.Next.Era(), counter), nil
}

// canRelayChanges reports whether this instance follows a table from the store,
// and reaches it.
func (g *Gateway) canRelayChanges(table platform.Feed) bool {
	now := time.Now()
	return g.usableRelay(now, table, g.peers.live(now)) == "" && !g.leaving.Load() && g.storeState.isCurrent(now)
}

// serveTable responds to a call for all rows of a feed. If the feed was not read
// yet, it waits for that.
func (g *Gateway) serveTable(ctx *fasthttp.RequestCtx, h *history, wait time.Duration) {
	_, at, changed, _ := h.changesSince(0)
	if at.Next == 0 {
		// A relay that starts may lose the store and read it a moment later.
		g.waitFor(changed, nil, wait)
		_, at, _, _ = h.changesSince(0)
	}
	acceptsStale := string(ctx.QueryArgs().Peek("stale")) == "true"
	if at.Next == 0 || g.leaving.Load() || !acceptsStale && !g.storeState.isCurrent(time.Now()) {
		ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
		return
	}
	table, err := h.compressedTable()
	if err != nil {
		ctx.SetStatusCode(fasthttp.StatusInternalServerError)
		return
	}
	ctx.SetContentType("application/json")
	ctx.Response.Header.SetContentEncoding("gzip")
	ctx.Response.SetBodyRaw(table)
}

// waitForChanges returns the rows that changed after a version. It waits for a
// change if there is none yet, unless this instance has lost the store. complete
// is false if removed rows may be missing.
func (g *Gateway) waitForChanges(h *history, after feed.Version, wait time.Duration) (rows []platform.Row, at platform.Position, complete bool) {
	rows, at, changed, complete := h.changesSince(after)
	if complete && len(rows) == 0 {
		g.waitFor(changed, g.storeState.whenLost(), wait)
		rows, at, _, complete = h.changesSince(after)
	}
	return rows, at, complete
}

// waitFor waits until changed or lost is closed, but no longer than wait or the
// life of the instance.
func (g *Gateway) waitFor(changed, lost <-chan struct{}, wait time.Duration) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-changed:
	case <-lost:
	case <-timer.C:
	case <-g.ctx.Done():
	}
}
