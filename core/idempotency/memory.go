package idempotency

import (
	"container/heap"
	"time"
)

const (
	// MaxAnswerBytes is the size of the largest response body that is kept.
	MaxAnswerBytes = 64 << 10
	// recordOverhead is the memory in bytes that a record takes besides its
	// key and response.
	recordOverhead = 256
)

// Answer is a response that is kept for replays.
type Answer interface {
	// Size returns the length of the body in bytes.
	Size() int
}

// Verdict tells the caller of Begin how to treat a keyed request.
type Verdict uint8

// Verdicts of Begin.
const (
	// Run means that the key is new and is now recorded as running.
	Run Verdict = iota
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
	Verdict Verdict
	// Running is the ID of the request to wait for; set for Wait.
	Running uint64
	// Answer is the response to replay; set for Replay.
	Answer Answer
}

type state uint8

const (
	stateRunning state = iota
	stateAnswered
	stateUnknown
)

// record holds what the owner knows of one keyed request.
type record struct {
	fingerprint uint64
	requestID   uint64
	created     time.Time // timestamp of the key; zero if it has none
	state       state
	answer      Answer
}

// Limits bounds the number of records and the memory of a Memory.
type Limits struct {
	Keys  int
	Bytes int64
}

// DefaultLimits has room for the orders of one hour at 10 per second, with
// short responses.
var DefaultLimits = Limits{Keys: 40_000, Bytes: 24 << 20}

// Memory holds the owner's records of keyed requests. It evicts no record
// before its retention ends.
type Memory struct {
	limits   Limits
	bytes    int64
	records  map[string]*record
	expiries expiryHeap
}

// NewMemory returns an empty Memory.
func NewMemory(limits Limits) *Memory {
	return &Memory{limits: limits, records: map[string]*record{}}
}

// Request is a keyed request at the owner of its key.
type Request struct {
	Key         Key
	Fingerprint uint64
	// ID identifies this request to later copies that wait for it.
	ID uint64
	// TakenAt is when this instance became the owner of the key's shard.
	TakenAt   time.Time
	Retention time.Duration
}

// Begin decides how to treat a request and records it as running if the
// verdict is Run.
func (m *Memory) Begin(now time.Time, r Request) Decision {
	m.removeExpired(now)
	if existing, ok := m.records[r.Key.Text]; ok {
		return existing.decide(r.Fingerprint)
	}
	if verdict := checkAge(now, r); verdict != Run {
		return Decision{Verdict: verdict}
	}
	if m.full(r.Key.Text) {
		return Decision{Verdict: Full}
	}
	m.records[r.Key.Text] = &record{fingerprint: r.Fingerprint, requestID: r.ID, created: r.Key.Created}
	m.bytes += recordSize(r.Key.Text)
	return Decision{Verdict: Run}
}

// decide returns the decision on a request whose key has a record.
func (r *record) decide(fingerprint uint64) Decision {
	if r.fingerprint != fingerprint {
		return Decision{Verdict: Reused}
	}
	switch r.state {
	case stateRunning:
		return Decision{Verdict: Wait, Running: r.requestID}
	case stateAnswered:
		return Decision{Verdict: Replay, Answer: r.answer}
	default:
		return Decision{Verdict: OutcomeUnknown}
	}
}

// checkAge returns Run only if a key without a record cannot have run at a
// previous owner within the retention and, where the key has a timestamp, no
// record of it can have expired.
func checkAge(now time.Time, r Request) Verdict {
	created := r.Key.Created
	if created.IsZero() {
		if now.Before(r.TakenAt.Add(r.Retention)) {
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
	if !created.After(r.TakenAt.Add(maxClockSkew)) {
		return BeforeTakeover
	}
	return Run
}

// full reports whether there is no room for another record. It keeps an eighth
// of the memory free for the responses of running requests.
func (m *Memory) full(key string) bool {
	maxBytes := m.limits.Bytes - m.limits.Bytes/8
	return len(m.records) >= m.limits.Keys || m.bytes+recordSize(key) > maxBytes
}

func recordSize(key string) int64 { return recordOverhead + int64(len(key)) }

// Answered records the response of a running request. A response that is
// larger than MaxAnswerBytes or exceeds the memory limit is not kept; the
// outcome is then recorded as unknown.
func (m *Memory) Answered(now time.Time, key string, answer Answer, retention time.Duration) {
	r, ok := m.records[key]
	if !ok || r.state != stateRunning {
		return
	}
	size := int64(answer.Size())
	if size > MaxAnswerBytes || m.bytes+size > m.limits.Bytes {
		m.Unknown(now, key, retention)
		return
	}
	r.state, r.answer = stateAnswered, answer
	m.bytes += size
	m.scheduleExpiry(now, key, r, retention)
}

// Unknown records that a running request may have run.
func (m *Memory) Unknown(now time.Time, key string, retention time.Duration) {
	if r, ok := m.records[key]; ok && r.state == stateRunning {
		r.state = stateUnknown
		m.scheduleExpiry(now, key, r, retention)
	}
}

// NotRun removes the record of a running request that certainly did not run.
func (m *Memory) NotRun(key string) {
	if r, ok := m.records[key]; ok && r.state == stateRunning {
		m.remove(key, r)
	}
}

// Len returns the number of records.
func (m *Memory) Len() int { return len(m.records) }

// scheduleExpiry schedules the removal of a finished record. The record stays
// for the retention, and a record whose key has a timestamp stays at least
// until Begin rejects the key by its age.
func (m *Memory) scheduleExpiry(now time.Time, key string, r *record, retention time.Duration) {
	from := now
	if r.created.After(from) {
		from = r.created
	}
	heap.Push(&m.expiries, expiryEntry{key: key, record: r, expiresAt: from.Add(retention + maxClockSkew)})
}

// removeExpired removes the records whose retention has ended.
func (m *Memory) removeExpired(now time.Time) {
	for len(m.expiries) > 0 && now.After(m.expiries[0].expiresAt) {
		e := heap.Pop(&m.expiries).(expiryEntry)
		m.remove(e.key, e.record)
	}
}

func (m *Memory) remove(key string, r *record) {
	delete(m.records, key)
	m.bytes -= recordSize(key)
	if r.answer != nil {
		m.bytes -= int64(r.answer.Size())
	}
}
