package gateway

import (
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"pistachioford.example/pistachioford/callers"
	"pistachioford.example/pistachioford/linger"
)

// maxFirstSendUS is the upper limit of the histogram of times to the first send.
const maxFirstSendUS = 60_000_000

// connMetrics holds the metrics of callers' connections. It is safe for
// concurrent use. It has a lock of its own, so that it does not add to the
// contention for that of the counters.
type connMetrics struct {
	// outstanding counts the requests that were begun by the number of outstanding
	// requests of their connection at that time.
	outstanding [callers.MaxOutstanding + 1]atomic.Int64

	mu sync.Mutex
	// firstSend is the time in microseconds from the arrival of a request to its
	// first exchange with a target.
	firstSend *hdrhistogram.Histogram
	ends      map[callers.Reason]uint64
	outcomes  map[linger.Outcome]uint64
}

func newConnMetrics() *connMetrics {
	return &connMetrics{
		firstSend: hdrhistogram.New(1, maxFirstSendUS, latencyDigits),
		ends:      map[callers.Reason]uint64{},
		outcomes:  map[linger.Outcome]uint64{},
	}
}

func (m *connMetrics) recordOutstanding(n int) {
	m.outstanding[min(n, callers.MaxOutstanding)].Add(1)
}

func (m *connMetrics) recordFirstSend(took time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	_ = m.firstSend.RecordValue(min(max(took.Microseconds(), 1), maxFirstSendUS))
}

func (m *connMetrics) countEnd(reason callers.Reason) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.ends[reason]++
}

func (m *connMetrics) countOutcome(outcome linger.Outcome) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.outcomes[outcome]++
}

// outstandingHistogram returns the histogram of outstanding requests.
func (m *connMetrics) outstandingHistogram() *hdrhistogram.Histogram {
	h := hdrhistogram.New(1, callers.MaxOutstanding, latencyDigits)
	for n := range m.outstanding {
		_ = h.RecordValues(int64(n), m.outstanding[n].Load())
	}
	return h
}

// lines returns the lines of the metrics page on the connections of a set.
func (m *connMetrics) lines(set *callers.Set) []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	ending, unreceived := set.Ending()
	lines := []string{
		fmt.Sprintf(`connection_waiting_reply_bytes %d`, set.WaitingBytes()),
		fmt.Sprintf(`connections_closing %d`, ending),
		fmt.Sprintf(`connections_closing_unreceived_bytes %d`, unreceived),
	}
	for name, h := range map[string]*hdrhistogram.Histogram{
		"connection_outstanding": m.outstandingHistogram(), "first_send_us": m.firstSend,
	} {
		for _, q := range percentiles {
			lines = append(lines, fmt.Sprintf(`%s{quantile="%g"} %d`, name, q/100, h.ValueAtQuantile(q)))
		}
		lines = append(lines, fmt.Sprintf(`%s_count %d`, name, h.TotalCount()))
	}
	for reason, n := range m.ends {
		lines = append(lines, fmt.Sprintf(`connections_ended_total{reason=%q} %d`, reason, n))
	}
	for _, outcome := range linger.Outcomes {
		lines = append(lines, fmt.Sprintf(`connections_closed_total{outcome=%q} %d`, outcome, m.outcomes[outcome]))
	}
	return lines
}
