package upstream

import (
	"encoding/json"
	"sync"
	"time"

	"github.com/sourcegraph/conc/pool"
	"github.com/valyala/fasthttp"

	"pistachioford.example/core/document"
	"pistachioford.example/pistachioford/httpread"
)

const (
	// HealthPath is where upstreams report their health and load.
	HealthPath = "/healthz"
	// PollPeriod is short enough to notice a leaving upstream well within 3 s.
	PollPeriod = time.Second
	// pollTimeout is shorter than PollPeriod, so that polls do not pile up.
	pollTimeout = 800 * time.Millisecond
	// maxPolls bounds the number of concurrent polls.
	maxPolls = 16
	// maxReportBytes bounds the body of a report.
	maxReportBytes = 4 << 10
)

// Report is what a health endpoint reported.
type Report struct {
	Target  document.TargetID
	Address string
	At      time.Time
	// HasLoad is set if the upstream reported its utilization, a fraction from 0
	// to 1.
	HasLoad     bool
	Utilization float64
	Leaving     bool
}

// Poller polls the health endpoints of upstreams. Without a response there is no
// report, and a malformed body yields a report without load; the instance then
// relies on its own measurements of the upstream.
type Poller struct {
	client  *fasthttp.Client
	deliver func(Report)

	mu      sync.Mutex
	targets map[string]document.TargetID
}

// NewPoller returns a Poller without targets. It calls deliver concurrently.
func NewPoller(deliver func(Report)) *Poller {
	return &Poller{deliver: deliver, client: &fasthttp.Client{
		MaxIdemponentCallAttempts: 1,
		Transport:                 httpread.Transport{},
		MaxResponseBodySize:       maxReportBytes,
		ReadBufferSize:            maxHeaderBytes,
		MaxConnsPerHost:           1,
		NoDefaultUserAgentHeader:  true,
	}}
}

// SetTargets replaces the targets, which are keyed by address.
func (p *Poller) SetTargets(targets map[string]document.TargetID) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.targets = targets
}

// Poll polls all targets once and waits for the responses. One goroutine calls it
// once per PollPeriod.
func (p *Poller) Poll() {
	p.mu.Lock()
	targets := p.targets
	p.mu.Unlock()
	polls := pool.New().WithMaxGoroutines(maxPolls)
	for address, target := range targets {
		polls.Go(func() { p.pollTarget(address, target) })
	}
	polls.Wait()
}

func (p *Poller) pollTarget(address string, target document.TargetID) {
	request := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(request)
	response := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(response)
	request.SetRequestURI("http://" + address + HealthPath)
	if err := p.client.DoTimeout(request, response, pollTimeout); err != nil {
		return
	}
	report := Report{Target: target, Address: address, At: time.Now()}
	report.Leaving = len(response.Header.Peek(HeaderLeaving)) > 0
	var body struct {
		Utilization *float64 `json:"utilization"`
		Leaving     bool     `json:"leaving"`
	}
	if response.StatusCode() == fasthttp.StatusOK && json.Unmarshal(response.Body(), &body) == nil {
		report.Leaving = report.Leaving || body.Leaving
		if body.Utilization != nil && *body.Utilization >= 0 && *body.Utilization <= 1 {
			report.HasLoad = true
			report.Utilization = *body.Utilization
		}
	}
	p.deliver(report)
}
