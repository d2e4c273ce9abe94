package upstream

import (
	"encoding/json"
	"sync"
	"time"

	"github.com/sourcegraph/conc/pool"
	"github.com/valyala/fasthttp"

	"pistachioford.example/core/document"
)

const (
	// HealthPath is where upstreams report their health and load.
	HealthPath = "/healthz"
	// PollPeriod keeps the time to the first sign of leaving well below 3 s.
	PollPeriod = time.Second
	// pollTimeout is below the period, so that polls do not pile up.
	pollTimeout = 800 * time.Millisecond
	// maxPolls bounds the polls at one time.
	maxPolls = 16
	// maxReportBytes bounds the body of a report.
	maxReportBytes = 4 << 10
)

// Report is what one health endpoint said.
type Report struct {
	Target  document.TargetID
	Address string
	At      time.Time
	// HasLoad is set if the upstream reported its utilization.
	HasLoad     bool
	Utilization float64
	Leaving     bool
}

// Poller asks the health endpoints of upstreams. A missing or broken answer is
// no report: own measurements decide on such upstreams.
type Poller struct {
	client  *fasthttp.Client
	deliver func(Report)

	mu      sync.Mutex
	targets map[string]document.TargetID
}

// NewPoller returns a Poller without targets; deliver is called by several
// goroutines.
func NewPoller(deliver func(Report)) *Poller {
	return &Poller{deliver: deliver, client: &fasthttp.Client{
		MaxIdemponentCallAttempts: 1,
		MaxResponseBodySize:       maxReportBytes,
		ReadBufferSize:            headerBytes,
		MaxConnsPerHost:           1,
		NoDefaultUserAgentHeader:  true,
	}}
}

// SetTargets replaces the targets, by address.
func (p *Poller) SetTargets(targets map[string]document.TargetID) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.targets = targets
}

// Poll asks all targets once and waits for the answers. One goroutine calls it
// each PollPeriod.
func (p *Poller) Poll() {
	p.mu.Lock()
	targets := p.targets
	p.mu.Unlock()
	polls := pool.New().WithMaxGoroutines(maxPolls)
	for address, target := range targets {
		polls.Go(func() { p.ask(address, target) })
	}
	polls.Wait()
}

func (p *Poller) ask(address string, target document.TargetID) {
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
