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

// outcome is how a request ended from its caller's point of view.
type outcome uint8

const (
	outcomeServed outcome = iota
	outcomeFailed
	outcomeNotRun
	outcomeUnknown
	outcomeBroken // no entry to connect to, or the connection broke
	outcomeLate   // no reply by the end of callerGrace
	outcomeCount
)

var outcomeNames = [outcomeCount]string{"served", "failed", "not-run", "unknown", "broken", "late"}

const (
	// cellDuration is the length of the intervals in which events are counted.
	cellDuration = 100 * time.Millisecond
	// maxLatency is the highest latency that the histograms record.
	maxLatency = time.Minute
)

// cell holds the counts of one service, home region and interval.
type cell struct {
	offered    int
	outcomes   [outcomeCount]int // by the time of the request
	sends      int
	shifted    int           // first runs outside of the home region
	responded  int           // by the time of the response
	busyTime   time.Duration // of slots
	usefulTime time.Duration // of slots, for requests served in time
	latency    *hdrhistogram.Histogram
}

// stats collects the statistics of a run.
type stats struct {
	world           *world
	cells           [][][]cell // by service, home region, interval
	drainTimes      []time.Duration
	counts          map[string]int
	summarizedUntil time.Duration
}

func newStats(w *world) *stats {
	s := &stats{world: w, counts: map[string]int{}}
	intervals := int(w.settings.Duration/cellDuration) + 1
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
	intervals := s.cells[r.load.serviceID][s.world.region(r.homeZone)]
	return &intervals[min(int(at.Sub(epoch)/cellDuration), len(intervals)-1)]
}

func (s *stats) requestOffered(r *request) { s.cell(r, r.createdAt).offered++ }

func (s *stats) requestSent(c *call) { s.cell(c.request, s.world.Now).sends++ }

// runEnded is called when an upstream ends the run of a request.
func (s *stats) runEnded(u *upstream, r *run) {
	u.lastRunEnd = s.world.Now
	duration := s.world.Now.Sub(r.started)
	r.call.request.lastRunTime = duration
	s.cell(r.call.request, s.world.Now).busyTime += duration
}

// requestEnded is called when a request ends for its caller.
func (s *stats) requestEnded(r *request, outcome outcome) {
	now := s.world.Now
	c := s.cell(r, r.createdAt)
	c.outcomes[outcome]++
	if outcome != outcomeServed {
		return
	}
	s.cell(r, now).responded++
	s.cell(r, now).usefulTime += r.lastRunTime
	if c.latency == nil {
		c.latency = hdrhistogram.New(int64(100*time.Microsecond), int64(maxLatency), 2)
	}
	c.latency.RecordValue(int64(now.Sub(r.createdAt)))
}

// addCount adds one to a counter of the deciders. Ejections are logged as well.
func (s *stats) addCount(in *instance, a traffic.IncrementCounter) {
	kinds := map[traffic.CountKind]string{
		traffic.CountRefusal: "refused", traffic.CountRetry: "retried", traffic.CountEjection: "ejected",
	}
	s.counts[kinds[a.Kind]+"-"+a.Reason.String()]++
	if a.Kind == traffic.CountEjection {
		s.world.logf("%s ejects a target by %s", in.id, a.Reason)
	}
}

// summarize logs the counts since the last summary: one line for each service
// and one for the counters of the deciders.
func (s *stats) summarize(w *world) {
	from, to := s.summarizedUntil, w.since()
	if to <= from {
		return
	}
	s.summarizedUntil = to
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

// selection is a set of services and a home region. A negative region stands for
// all regions.
type selection struct {
	services []document.ServiceID
	region   int
}

// sum returns the sum of the selected cells in an interval.
func (s *stats) sum(sel selection, from, to time.Duration) cell {
	total := cell{latency: hdrhistogram.New(int64(100*time.Microsecond), int64(maxLatency), 2)}
	for _, service := range sel.services {
		for region, intervals := range s.cells[service] {
			if sel.region >= 0 && sel.region != region {
				continue
			}
			for i := int(from / cellDuration); i < int(to/cellDuration) && i < len(intervals); i++ {
				total.add(&intervals[i])
			}
		}
	}
	return total
}

func (c *cell) add(other *cell) {
	c.offered += other.offered
	c.sends += other.sends
	c.shifted += other.shifted
	c.responded += other.responded
	c.busyTime += other.busyTime
	c.usefulTime += other.usefulTime
	for o, n := range other.outcomes {
		c.outcomes[o] += n
	}
	if other.latency != nil {
		c.latency.Merge(other.latency)
	}
}

// slotCount returns the number of slots of the groups that the services use.
func (w *world) slotCount(services []document.ServiceID) int {
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

// metric returns the value of a metric for a selection and an interval. "served",
// "busy" and "useful" are fractions, times are in nanoseconds, and all others are
// counts.
func (s *stats) metric(name string, sel selection, from, to time.Duration) (float64, error) {
	sum := s.sum(sel, from, to)
	slotTime := float64(s.world.slotCount(sel.services)) * float64(to-from)
	switch name {
	case "offered":
		return float64(sum.offered), nil
	case "served":
		return ratio(float64(sum.outcomes[outcomeServed]), float64(sum.offered)), nil
	case "answered":
		return float64(sum.responded), nil
	case "unknown":
		return float64(sum.outcomes[outcomeUnknown]), nil
	case "sends":
		return float64(sum.sends), nil
	case "moved":
		return float64(sum.shifted), nil
	case "busy":
		return float64(sum.busyTime) / slotTime, nil
	case "useful":
		return float64(sum.usefulTime) / slotTime, nil
	case "drain":
		return float64(slices.Max(append(s.drainTimes, 0))), nil
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
