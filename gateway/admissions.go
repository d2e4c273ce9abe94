package gateway

import (
	"fmt"
	"maps"
	"slices"
	"sync"
	"time"

	"pistachioford.example/core/steer"
)

const (
	// maxAdmissionServices bounds the services that the metrics tell apart. Each
	// has up to three series for each priority.
	maxAdmissionServices = 64
	// maxAdmissionPriority is the least urgent priority that is counted on its
	// own. Documents bound theirs, accounts may name others.
	maxAdmissionPriority = 9
	// otherServices is the label of the services beyond maxAdmissionServices.
	otherServices = "(other)"
)

// admissions counts the decisions on requests by service and priority. It is safe
// for concurrent use.
type admissions struct {
	mu       sync.Mutex
	counters map[string]*[maxAdmissionPriority + 1]admissionCounts
}

type admissionCounts struct{ sent, delayed, refused uint64 }

func newAdmissions() *admissions {
	return &admissions{counters: map[string]*[maxAdmissionPriority + 1]admissionCounts{}}
}

// count counts the decision on a new request or the one that ended its delay.
// Refusals for other reasons than too little room are in refusals_total only.
func (a *admissions) count(r *request, refusal *steer.Refusal) {
	a.mu.Lock()
	defer a.mu.Unlock()
	byPriority := a.counters[r.Service]
	if byPriority == nil {
		service := r.Service
		if len(a.counters) >= maxAdmissionServices {
			service = otherServices
		}
		if byPriority = a.counters[service]; byPriority == nil {
			byPriority = &[maxAdmissionPriority + 1]admissionCounts{}
			a.counters[service] = byPriority
		}
	}
	counts := &byPriority[min(max(r.Priority(), 0), maxAdmissionPriority)]
	switch {
	case refusal == nil:
		counts.sent++
	case refusal.Reason == steer.ReasonDelayed:
		counts.delayed++
	case refusal.Reason == steer.ReasonTooLate:
		counts.refused++
	}
}

// lines returns the counters as lines of the metrics page.
func (a *admissions) lines() []string {
	a.mu.Lock()
	defer a.mu.Unlock()
	var lines []string
	for service, byPriority := range a.counters {
		for priority, counts := range byPriority {
			if counts == (admissionCounts{}) {
				continue
			}
			line := func(decision string, n uint64) {
				lines = append(lines, fmt.Sprintf(`admissions_total{service=%q,priority="%d",decision=%q} %d`, service, priority, decision, n))
			}
			line("sent", counts.sent)
			line("delayed", counts.delayed)
			line("refused", counts.refused)
		}
	}
	return lines
}

// overloadLines returns the present overload of the document's services as lines
// of the metrics page.
func (g *Gateway) overloadLines(now time.Time) []string {
	var overloads map[string]float64
	delayed := 0
	g.withEngine(func(e *steer.Engine) { overloads, delayed = e.Overloads(now), e.Delayed() })
	lines := []string{fmt.Sprintf("delayed_requests %d", delayed)}
	services := slices.Sorted(maps.Keys(overloads))
	for _, service := range services[:min(len(services), maxAdmissionServices)] {
		lines = append(lines, fmt.Sprintf(`service_overload{service=%q} %.2f`, service, overloads[service]))
	}
	return lines
}
