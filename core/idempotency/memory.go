package idempotency

import (
	"container/heap"
	"time"
)

const (
	// MaxAnswerBytes is the size of the largest response that is kept.
	MaxAnswerBytes = 64 << 10
	// recordBytes is the memory of a record beside its key and response.
	recordBytes = 256
)

// Answer is a response kept for replays.
type Answer interface {
	// Size is the length of the body in bytes.
	Size() int
}

// Verdict is what the owner does with a keyed request.
type Verdict uint8

// Verdicts on a keyed request.
const (
	// Run: the key is new and now recorded as running.
	Run Verdict = iota
	// Wait: the same request is running.
	Wait
	// Replay: the same request was answered.
	Replay
	// OutcomeUnknown: the same request may have run.
	OutcomeUnknown
	// Expired: the key is older than the retention; it may have run.
	Expired
	// BeforeTakeover: a previous owner may have run it.
	BeforeTakeover
	// Reused: the key belongs to a request with another fingerprint.
	Reused
	// FromFuture: the key's time is ahead of this clock.
	FromFuture
	// Full: no memory is left for the record; it did not run.
	Full
)

// Decision is a verdict with what it refers to.
type Decision struct {
	Verdict Verdict
	// Running is the request to wait for.
	Running uint64
	// Answer is the response to replay.
	Answer Answer
}

type state uint8

const (
	running state = iota
	answered
	unknown
)

type record struct {
	fingerprint uint64
	request     uint64
	created     time.Time
	state       state
	answer      Answer
}

// Limits bounds a Memory.
type Limits struct {
	Keys  int
	Bytes int64
}

// DefaultLimits hold the orders of an hour at 10 a second with short responses.
var DefaultLimits = Limits{Keys: 40_000, Bytes: 24 << 20}

// Memory is the owner's record of keyed requests. It evicts nothing early.
type Memory struct {
	limits  Limits
	bytes   int64
	records map[string]*record
	expiry  expiryHeap
}

// NewMemory returns an empty Memory.
func NewMemory(limits Limits) *Memory {
	return &Memory{limits: limits, records: map[string]*record{}}
}

// Request is one keyed request at its owner.
type Request struct {
	Key         Key
	Fingerprint uint64
	// ID is returned to later copies that have to wait for this one.
	ID uint64
	// TakenAt is when this instance became the owner of the key's shard.
	TakenAt   time.Time
	Retention time.Duration
}

// Begin decides on a request and records it as running if the verdict is Run.
func (m *Memory) Begin(now time.Time, r Request) Decision {
	m.expire(now)
	if known, ok := m.records[r.Key.Text]; ok {
		return known.decide(r.Fingerprint)
	}
	if verdict := judgeAge(now, r); verdict != Run {
		return Decision{Verdict: verdict}
	}
	if m.full(r.Key.Text) {
		return Decision{Verdict: Full}
	}
	m.records[r.Key.Text] = &record{fingerprint: r.Fingerprint, request: r.ID, created: r.Key.Created}
	m.bytes += baseBytes(r.Key.Text)
	return Decision{Verdict: Run}
}

func (r *record) decide(fingerprint uint64) Decision {
	if r.fingerprint != fingerprint {
		return Decision{Verdict: Reused}
	}
	switch r.state {
	case running:
		return Decision{Verdict: Wait, Running: r.request}
	case answered:
		return Decision{Verdict: Replay, Answer: r.answer}
	default:
		return Decision{Verdict: OutcomeUnknown}
	}
}

// judgeAge rules out that a key without a record ran at a previous owner or
// had a record that has expired.
func judgeAge(now time.Time, r Request) Verdict {
	created := r.Key.Created
	if created.IsZero() {
		if now.Before(r.TakenAt.Add(r.Retention)) {
			return BeforeTakeover
		}
		return Run
	}
	if created.After(now.Add(clockMargin)) {
		return FromFuture
	}
	if now.Sub(created) > r.Retention {
		return Expired
	}
	if !created.After(r.TakenAt.Add(clockMargin)) {
		return BeforeTakeover
	}
	return Run
}

// full keeps an eighth of the memory for the responses of running requests.
func (m *Memory) full(key string) bool {
	room := m.limits.Bytes - m.limits.Bytes/8
	return len(m.records) >= m.limits.Keys || m.bytes+baseBytes(key) > room
}

func baseBytes(key string) int64 { return recordBytes + int64(len(key)) }

// Answered records the response of a running request. A response that is too
// large or for which no memory is left is not kept; copies then get "unknown".
func (m *Memory) Answered(now time.Time, key string, answer Answer, retention time.Duration) {
	r, ok := m.records[key]
	if !ok || r.state != running {
		return
	}
	size := int64(answer.Size())
	if size > MaxAnswerBytes || m.bytes+size > m.limits.Bytes {
		m.Unknown(now, key, retention)
		return
	}
	r.state, r.answer = answered, answer
	m.bytes += size
	m.keepUntil(now, key, r, retention)
}

// Unknown records that a running request may have run.
func (m *Memory) Unknown(now time.Time, key string, retention time.Duration) {
	if r, ok := m.records[key]; ok && r.state == running {
		r.state = unknown
		m.keepUntil(now, key, r, retention)
	}
}

// NotRun forgets a running request that certainly did not run.
func (m *Memory) NotRun(key string) {
	if r, ok := m.records[key]; ok && r.state == running {
		m.remove(key, r)
	}
}

// Len returns the number of records.
func (m *Memory) Len() int { return len(m.records) }

// keepUntil keeps the record for the retention, and in any case until the age
// of the key itself rules out a run.
func (m *Memory) keepUntil(now time.Time, key string, r *record, retention time.Duration) {
	until := now
	if r.created.After(until) {
		until = r.created
	}
	heap.Push(&m.expiry, expiry{key: key, record: r, at: until.Add(retention + clockMargin)})
}

func (m *Memory) expire(now time.Time) {
	for len(m.expiry) > 0 && now.After(m.expiry[0].at) {
		e := heap.Pop(&m.expiry).(expiry)
		m.remove(e.key, e.record)
	}
}

func (m *Memory) remove(key string, r *record) {
	delete(m.records, key)
	m.bytes -= baseBytes(key)
	if r.answer != nil {
		m.bytes -= int64(r.answer.Size())
	}
}
