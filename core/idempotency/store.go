package idempotency

import (
	"container/heap"
	"time"
)

const (
	// MaxResponseBytes is the size of the largest response body that is kept.
	MaxResponseBytes = 64 << 10
	// recordOverhead is the memory in bytes that a record takes besides its
	// key and response.
	recordOverhead = 256
)

// Response is a response that is kept for replays.
type Response interface {
	// Size returns the length of the body in bytes.
	Size() int
}

// Action is what the caller of Begin has to do with a keyed request.
type Action uint8

// Actions that Begin returns.
const (
	// Run means that the key is new and is now recorded as running.
	Run Action = iota
	// Wait means that the same request is running.
	Wait
	// Replay means that the response to the same request is kept.
	Replay
	// OutcomeUnknown means that the same request may have run, but no response
	// is kept.
	OutcomeUnknown
	// Expired means that the key is older than the retention; the request may
	// have run.
	Expired
	// BeforeTakeover means that a previous owner may have run the request.
	BeforeTakeover
	// Reused means that the key belongs to a request with another fingerprint.
	Reused
	// FromFuture means that the timestamp of the key is more than maxClockSkew
	// ahead of this clock.
	FromFuture
	// Full means that no memory is left for the record; the request did not
	// run.
	Full
)

// Decision is the result of Begin.
type Decision struct {
	Action Action
	// Running is the ID of the request to wait for; set for Wait.
	Running uint64
	// Response is the response to replay; set for Replay.
	Response Response
}

type state uint8

const (
	stateRunning state = iota
	stateResponded
	stateUnknown
)

// record holds what the owner knows of one keyed request.
type record struct {
	fingerprint uint64
	requestID   uint64
	created     time.Time // timestamp of the key; zero if it has none
	state       state
	response    Response
}

// Limits bounds the number of records and the bytes of a Store.
type Limits struct {
	Keys  int
	Bytes int64
}

// DefaultLimits has room for the orders of one hour at 10 per second, with
// short responses.
var DefaultLimits = Limits{Keys: 40_000, Bytes: 24 << 20}

// Store holds the owner's records of keyed requests. It evicts no record before
// its retention ends.
type Store struct {
	limits   Limits
	bytes    int64
	records  map[string]*record
	expiries expiryHeap
}

// NewStore returns an empty Store.
func NewStore(limits Limits) *Store {
	return &Store{limits: limits, records: map[string]*record{}}
}

// Request is a keyed request at the owner of its key.
type Request struct {
	Key         Key
	Fingerprint uint64
	// ID identifies this request to later duplicates that wait for it.
	ID uint64
	// OwnedSince is when this instance became the owner of the key's shard.
	OwnedSince time.Time
	Retention  time.Duration
}

// Begin decides how to treat a request and records it as running if the action
// is Run.
func (s *Store) Begin(now time.Time, r Request) Decision {
	s.removeExpired(now)
	if existing, ok := s.records[r.Key.Text]; ok {
		return existing.decide(r.Fingerprint)
	}
	if action := checkAge(now, r); action != Run {
		return Decision{Action: action}
	}
	if s.full(r.Key.Text) {
		return Decision{Action: Full}
	}
	s.records[r.Key.Text] = &record{fingerprint: r.Fingerprint, requestID: r.ID, created: r.Key.Created}
	s.bytes += recordSize(r.Key.Text)
	return Decision{Action: Run}
}

// decide returns the decision on a request whose key has a record.
func (r *record) decide(fingerprint uint64) Decision {
	if r.fingerprint != fingerprint {
		return Decision{Action: Reused}
	}
	switch r.state {
	case stateRunning:
		return Decision{Action: Wait, Running: r.requestID}
	case stateResponded:
		return Decision{Action: Replay, Response: r.response}
	default:
		return Decision{Action: OutcomeUnknown}
	}
}

// checkAge returns Run only if a key without a record cannot have run at a
// previous owner within the retention and, where the key has a timestamp, no
// record of it can have expired.
func checkAge(now time.Time, r Request) Action {
	created := r.Key.Created
	if created.IsZero() {
		if now.Before(r.OwnedSince.Add(r.Retention)) {
			return BeforeTakeover
		}
		return Run
	}
	if created.After(now.Add(maxClockSkew)) {
		return FromFuture
	}
	if now.Sub(created) > r.Retention {
		return Expired
	}
	if !created.After(r.OwnedSince.Add(maxClockSkew)) {
		return BeforeTakeover
	}
	return Run
}

// full reports whether there is no room for another record. It keeps an eighth
// of the memory free for the responses of running requests.
func (s *Store) full(key string) bool {
	maxBytes := s.limits.Bytes - s.limits.Bytes/8
	return len(s.records) >= s.limits.Keys || s.bytes+recordSize(key) > maxBytes
}

func recordSize(key string) int64 { return recordOverhead + int64(len(key)) }

// RecordResponse records the response of a running request. A response that is
// larger than MaxResponseBytes or exceeds the memory limit is not kept; the
// outcome is then recorded as unknown.
func (s *Store) RecordResponse(now time.Time, key string, response Response, retention time.Duration) {
	r, ok := s.records[key]
	if !ok || r.state != stateRunning {
		return
	}
	size := int64(response.Size())
	if size > MaxResponseBytes || s.bytes+size > s.limits.Bytes {
		s.RecordUnknown(now, key, retention)
		return
	}
	r.state, r.response = stateResponded, response
	s.bytes += size
	s.scheduleExpiry(now, key, r, retention)
}

// RecordUnknown records that a running request may have run.
func (s *Store) RecordUnknown(now time.Time, key string, retention time.Duration) {
	if r, ok := s.records[key]; ok && r.state == stateRunning {
		r.state = stateUnknown
		s.scheduleExpiry(now, key, r, retention)
	}
}

// Forget removes the record of a running request that certainly did not run.
func (s *Store) Forget(key string) {
	if r, ok := s.records[key]; ok && r.state == stateRunning {
		s.remove(key, r)
	}
}

// Len returns the number of records.
func (s *Store) Len() int { return len(s.records) }

// scheduleExpiry schedules the removal of a finished record. The record stays
// for the retention, and a record whose key has a timestamp stays at least
// until Begin rejects the key by its age.
func (s *Store) scheduleExpiry(now time.Time, key string, r *record, retention time.Duration) {
	from := now
	if r.created.After(from) {
		from = r.created
	}
	heap.Push(&s.expiries, expiryEntry{key: key, record: r, expiresAt: from.Add(retention + maxClockSkew)})
}

// removeExpired removes the records whose retention has ended.
func (s *Store) removeExpired(now time.Time) {
	for len(s.expiries) > 0 && now.After(s.expiries[0].expiresAt) {
		e := heap.Pop(&s.expiries).(expiryEntry)
		s.remove(e.key, e.record)
	}
}

func (s *Store) remove(key string, r *record) {
	delete(s.records, key)
	s.bytes -= recordSize(key)
	if r.response != nil {
		s.bytes -= int64(r.response.Size())
	}
}
