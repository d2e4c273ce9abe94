package scenario

import (
	"fmt"
	"slices"
	"sort"
	"strings"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"pistachioford.example/core/document"
	"pistachioford.example/core/traffic"
)

// outcome is the end of a request as its caller sees it.
type outcome uint8

const (
	served outcome = iota
	failed
	notRun
	unknown
	broken
	late
	outcomes
)

var outcomeNames = [outcomes]string{"served", "failed", "not-run", "unknown", "broken", "late"}

const (
	// cellTime is the resolution of counts.
	cellTime = 100 * time.Millisecond
	// latencyMax bounds the histograms.
	latencyMax = time.Minute
)

// cell counts what belongs to one service, home region and interval.
type cell struct {
	offered  int
	outcomes [outcomes]int // by arrival
	sends    int
	moved    int           // first runs outside of the home region
	answered int           // by the time of the answer
	busy     time.Duration // of slots
	useful   time.Duration // of slots, for requests answered in time
	latency  *hdrhistogram.Histogram
}

// stats holds the cells of a run.
type stats struct {
	world  *world
	cells  [][][]cell // by service, home region, interval
	drains []time.Duration
	counts map[string]int
	summed time.Duration
}

func newStats(w *world) *stats {
	s := &stats{world: w, counts: map[string]int{}}
	intervals := int(w.settings.Duration/cellTime) + 1
	for range w.doc.Services {
		regions := make([][]cell, len(w.doc.Regions))
		for r := range regions {
			regions[r] = make([]cell, intervals)
		}
		s.cells = append(s.cells, regions)
	}
	return s
}

func (s *stats) cell(r *request, at time.Time) *cell {
	intervals := s.cells[r.load.service][s.world.region(r.home)]
	return &intervals[min(int(at.Sub(epoch)/cellTime), len(intervals)-1)]
}

func (s *stats) offered(r *request) { s.cell(r, r.born).offered++ }

func (s *stats) sent(c *call) { s.cell(c.request, s.world.Now).sends++ }

// worked is told the end of a run.
func (s *stats) worked(u *upstream, r *run) {
	u.lastEnd = s.world.Now
	work := s.world.Now.Sub(r.started)
	r.call.request.work = work
	s.cell(r.call.request, s.world.Now).busy += work
}

// finished is told the end of a request.
func (s *stats) finished(r *request, o outcome) {
	now := s.world.Now
	c := s.cell(r, r.born)
	c.outcomes[o]++
	if o != served {
		return
	}
	s.cell(r, now).answered++
	s.cell(r, now).useful += r.work
	if c.latency == nil {
		c.latency = hdrhistogram.New(int64(100*time.Microsecond), int64(latencyMax), 2)
	}
	c.latency.RecordValue(int64(now.Sub(r.born)))
}

// count takes a counter of an instance.
func (s *stats) count(in *instance, a traffic.Count) {
	kinds := map[traffic.CountKind]string{
		traffic.CountRefusal: "refused", traffic.CountRetry: "retried", traffic.CountEjection: "ejected",
	}
	s.counts[kinds[a.Kind]+"-"+a.Reason.String()]++
	if a.Kind == traffic.CountEjection {
		s.world.logf("%s ejects a target by %s", in.id, a.Reason)
	}
}

// summarize logs one line for each service and one with the counters.
func (s *stats) summarize(w *world) {
	from, to := s.summed, w.since()
	if to <= from {
		return
	}
	s.summed = to
	for id := range w.doc.Services {
		sum := s.sum(selection{services: []document.ServiceID{document.ServiceID(id)}, region: -1}, from, to)
		if sum.offered == 0 && sum.sends == 0 {
			continue
		}
		var parts []string
		for o, n := range sum.outcomes {
			if n > 0 {
				parts = append(parts, fmt.Sprintf("%s=%d", outcomeNames[o], n))
			}
		}
		w.logf("%s offered=%d sent=%d %s", w.doc.Services[id].Name, sum.offered, sum.sends, strings.Join(parts, " "))
	}
	s.logCounts(w)
}

func (s *stats) logCounts(w *world) {
	var parts []string
	for name, n := range s.counts {
		parts = append(parts, fmt.Sprintf("%s=%d", name, n))
	}
	clear(s.counts)
	if len(parts) > 0 {
		sort.Strings(parts)
		w.logf("counters %s", strings.Join(parts, " "))
	}
}

// selection is a set of services and a home region, or all for a negative one.
type selection struct {
	services []document.ServiceID
	region   int
}

// sum adds the cells of an interval.
func (s *stats) sum(sel selection, from, to time.Duration) cell {
	total := cell{latency: hdrhistogram.New(int64(100*time.Microsecond), int64(latencyMax), 2)}
	for _, service := range sel.services {
		for region, intervals := range s.cells[service] {
			if sel.region >= 0 && sel.region != region {
				continue
			}
			for i := int(from / cellTime); i < int(to/cellTime) && i < len(intervals); i++ {
				total.add(&intervals[i])
			}
		}
	}
	return total
}

func (c *cell) add(other *cell) {
	c.offered += other.offered
	c.sends += other.sends
	c.moved += other.moved
	c.answered += other.answered
	c.busy += other.busy
	c.useful += other.useful
	for o, n := range other.outcomes {
		c.outcomes[o] += n
	}
	if other.latency != nil {
		c.latency.Merge(other.latency)
	}
}

// slots is the number of slots of the groups that the services use.
func (w *world) slots(services []document.ServiceID) int {
	groups := map[document.GroupID]bool{}
	for _, s := range services {
		groups[w.doc.Services[s].Group] = true
	}
	total := 0
	for i := range w.doc.Targets {
		if groups[w.doc.Targets[i].Group] {
			total += int(w.doc.Targets[i].Slots)
		}
	}
	return total
}

// metric returns one measure of a selection and an interval. Counts are plain
// numbers, shares are fractions and times are in nanoseconds.
func (s *stats) metric(name string, sel selection, from, to time.Duration) (float64, error) {
	sum := s.sum(sel, from, to)
	slotTime := float64(s.world.slots(sel.services)) * float64(to-from)
	switch name {
	case "offered":
		return float64(sum.offered), nil
	case "served":
		return ratio(float64(sum.outcomes[served]), float64(sum.offered)), nil
	case "answered":
		return float64(sum.answered), nil
	case "unknown":
		return float64(sum.outcomes[unknown]), nil
	case "sends":
		return float64(sum.sends), nil
	case "moved":
		return float64(sum.moved), nil
	case "busy":
		return float64(sum.busy) / slotTime, nil
	case "useful":
		return float64(sum.useful) / slotTime, nil
	case "drain":
		return float64(slices.Max(append(s.drains, 0))), nil
	case "p50":
		return float64(sum.latency.ValueAtQuantile(50)), nil
	case "p99":
		return float64(sum.latency.ValueAtQuantile(99)), nil
	}
	return 0, fmt.Errorf("unknown metric %q", name)
}

func ratio(a, b float64) float64 {
	if b == 0 {
		return 0
	}
	return a / b
}
