package traffic

import (
	"time"

	"pistachioford.example/core/document"
	"pistachioford.example/core/route"
)

// state is the place of a request on its path.
type state uint8

const (
	stateNew        state = iota
	stateQueued           // waits for a slot in its group's queue
	stateBackoff          // waits for the time of a retry
	stateUpstream         // an exchange with an upstream is in flight
	statePeer             // an exchange with a peer is in flight
	stateBroadcast        // waits for the acknowledgement of a poison report
	stateWaitingKey       // waits for another request with the same key
)

// none is the row that does not exist.
const none int32 = -1

// maxPeers is how many peers a request may be refused by before it stays here.
const maxPeers = 3

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
	// origin is the region whose work this is.
	origin document.RegionID

	replayable bool
	// owned is set while the key's record here names this request.
	owned        bool
	forwarded    bool
	shiftCharged bool
	// answerTo is the region to whose link the answer is to be charged before
	// the request is admitted; none after that.
	answerTo int32
	// bodyGone is set when an attempt consumed a body that is not held.
	bodyGone bool
	streamed bool
	// lent is set while the exchange may be recalled, recalling until a recalled
	// one has ended.
	lent, recalling, recalled bool
	toOwner                   bool // the exchange is with the key's owner
	ownerDecided              bool // the key's owner looked at its records
	canceled                  bool
	replied                   bool
	// ran is set when an attempt may have run; the request is then never told
	// "not run".
	ran       bool
	ranReason Reason
	// refused is the reason of the last peer that refused the request.
	refused Reason

	attempt  Attempt // number of the last exchange
	runs     uint8   // attempts that an upstream or peer did not refuse
	refusals uint8   // refusals by peers
	avoid    route.Avoid
	peers    [maxPeers]InstanceID

	row     route.Row // target of the exchange
	slots   int32     // group row whose scheduler counts the slot
	peer    InstanceID
	started time.Time

	due       time.Time // end of the backoff or of the wait for a broadcast
	timer     int32     // place in Engine.timers
	broadcast BroadcastID
	pending   ExchangeEnded // resumed after the broadcast

	prev, next int32 // queue, or list of waiting copies
	firstCopy  int32 // first request that waits for this one's key
	waitingFor int32
}

// requestTable holds the requests of the instance.
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
	t.rows[row] = request{id: id, prev: none, next: none, firstCopy: none, waitingFor: none, timer: none, answerTo: none}
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
