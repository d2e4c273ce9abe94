package traffic

import (
	"time"

	"pistachioford.example/core/document"
	"pistachioford.example/core/route"
)

// state is the processing state of a request.
type state uint8

const (
	stateNew        state = iota
	stateQueued           // waits for a slot in its group's queue
	stateBackoff          // waits for the end of a retry backoff
	stateUpstream         // an exchange with an upstream is in flight
	statePeer             // an exchange with a peer is in flight
	stateBroadcast        // waits for acknowledgements of a poison report
	stateWaitingKey       // waits for another request with the same key
)

// none stands for no row, or for no region.
const none int32 = -1

// maxPeerRefusals is the number of peer refusals after which a request is not
// forwarded again.
const maxPeerRefusals = 3

// request is one row of the request table.
type request struct {
	id          RequestID
	state       state
	priority    document.Priority
	service     int32
	group       int32
	key         string
	fingerprint uint64
	bodyBytes   int64
	deadline    time.Time
	// origin is the caller's home region. If that is unknown, it is the region
	// that forwarded the request, or else this one.
	origin document.RegionID

	replayable bool
	// ownsKeyRecord is set while this instance's record of the key refers to
	// this request.
	ownsKeyRecord bool
	forwarded     bool
	shiftCharged  bool
	// responseRegion is the region whose link has yet to be charged for the
	// response; none if there is no charge or it was made.
	responseRegion int32
	// bodyConsumed is set when an attempt consumed a body that is not held in
	// memory.
	bodyConsumed bool
	streamed     bool
	// preemptible is set while the exchange may be preempted, preempting from
	// its cancellation to its end, and preempted once it was canceled for that.
	preemptible, preempting, preempted bool
	toOwner                            bool // the exchange is with the key's owner
	ownerDecided                       bool // the key's owner consulted its records
	canceled                           bool
	replied                            bool
	// mayHaveRun is set when an attempt may have run; the outcome is then never
	// NotRun.
	mayHaveRun    bool
	unknownReason Reason
	// peerRefusal is the reason given by the last peer that refused the
	// request.
	peerRefusal Reason

	attempt      Attempt // number of the last exchange
	attempts     uint8   // attempts at upstreams and, unless refused, at peers
	peerRefusals uint8   // number of entries in refusedBy
	triedTargets route.TriedTargets
	refusedBy    [maxPeerRefusals]InstanceID

	target    route.Row // target of the exchange
	slotGroup int32     // group row whose scheduler counts the slot
	peer      InstanceID
	startedAt time.Time

	due        time.Time // end of the backoff, or of the wait for a broadcast or a key
	timerIndex int32     // index in Engine.timers, or none
	broadcast  BroadcastID
	pendingEnd ExchangeEnded // processed after the broadcast

	prev, next     int32 // neighbors in a requestList or among waiting duplicates
	firstDuplicate int32 // head of the duplicates that wait for this request
	waitingFor     int32
}

// requestTable holds the requests of the instance. Rows are reused.
type requestTable struct {
	rows []request
	free []int32
	byID map[RequestID]int32
}

func newRequestTable() requestTable {
	return requestTable{byID: map[RequestID]int32{}}
}

func (t *requestTable) add(id RequestID) int32 {
	var row int32
	if n := len(t.free); n > 0 {
		row = t.free[n-1]
		t.free = t.free[:n-1]
	} else {
		row = int32(len(t.rows))
		t.rows = append(t.rows, request{})
	}
	t.rows[row] = request{id: id, prev: none, next: none, firstDuplicate: none, waitingFor: none, timerIndex: none, responseRegion: none}
	t.byID[id] = row
	return row
}

func (t *requestTable) remove(row int32) {
	delete(t.byID, t.rows[row].id)
	t.rows[row] = request{}
	t.free = append(t.free, row)
}

func (t *requestTable) find(id RequestID) (int32, bool) {
	row, ok := t.byID[id]
	return row, ok
}
