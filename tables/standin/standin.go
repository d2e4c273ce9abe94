// Package standin is an in-process stand-in of the platform over loopback HTTP
// for tests and the demo. It keeps everything in memory.
package standin

import (
	"net"
	"sync"
	"time"

	"github.com/gofiber/fiber/v2"
	"github.com/rotisserie/eris"
	"golang.org/x/time/rate"

	"pistachioford.example/pistachioford/tables"
)

// Options configure a Standin.
type Options struct {
	// Address to listen on; 127.0.0.1:0 by default.
	Address string
	// ReadsPerSecond and WritesPerSecond limit the whole service; 0 means no
	// limit. A call above a limit is answered with status 429.
	ReadsPerSecond  float64
	WritesPerSecond float64
	// ListLag is how far the instance list lags behind.
	ListLag time.Duration
}

// Faults are the ways in which the Standin misbehaves.
type Faults struct {
	// Down closes each connection without a response, before any effect.
	Down bool
	// Delay is added to each call before its effect.
	Delay time.Duration
	// LoseResponses is the number of next writes that take effect and whose
	// connection is then closed without a response; -1 means all.
	LoseResponses int
}

// Counts are the calls that a Standin received. Calls that met Down are not
// counted.
type Counts struct{ Reads, Writes, Limited uint64 }

// Standin is a running stand-in. It is safe for concurrent use.
type Standin struct {
	store  *store
	app    *fiber.App
	url    string
	reads  *rate.Limiter
	writes *rate.Limiter
	served chan error

	mu     sync.Mutex
	faults Faults
	// instanceFaults are added to the faults for calls of one instance.
	instanceFaults map[string]Faults
	counts         Counts
}

// Start listens and serves until Close.
func Start(options Options) (*Standin, error) {
	if options.Address == "" {
		options.Address = "127.0.0.1:0"
	}
	listener, err := net.Listen("tcp", options.Address)
	if err != nil {
		return nil, eris.Wrapf(err, "step=listen peer=%s", options.Address)
	}
	s := &Standin{
		store:          newStore(options.ListLag),
		url:            "http://" + listener.Addr().String(),
		reads:          newLimit(options.ReadsPerSecond),
		writes:         newLimit(options.WritesPerSecond),
		served:         make(chan error, 1),
		instanceFaults: map[string]Faults{},
	}
	s.app = fiber.New(fiber.Config{DisableStartupMessage: true, BodyLimit: tables.MaxBodyBytes, Immutable: true})
	s.route()
	go func() { s.served <- s.app.Listener(listener) }()
	return s, nil
}

// newLimit allows bursts of one second.
func newLimit(perSecond float64) *rate.Limiter {
	if perSecond == 0 {
		return rate.NewLimiter(rate.Inf, 0)
	}
	return rate.NewLimiter(rate.Limit(perSecond), max(1, int(perSecond)))
}

// URL returns the base URL for tables.Config.
func (s *Standin) URL() string { return s.url }

// SetFaults replaces the faults.
func (s *Standin) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

// SetInstanceFaults replaces the faults that only calls of one instance meet,
// in addition to those of SetFaults.
func (s *Standin) SetInstanceFaults(instance string, f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.instanceFaults[instance] = f
}

// Counts returns the calls received so far.
func (s *Standin) Counts() Counts {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.counts
}

// Close stops the listener and ends the calls in progress.
func (s *Standin) Close() error {
	if err := s.app.ShutdownWithTimeout(time.Second); err != nil {
		return eris.Wrapf(err, "step=shutdown peer=%s", s.url)
	}
	return <-s.served
}

// met returns the faults that a call meets, and counts it.
func (s *Standin) met(instance string, write bool) Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	own := s.instanceFaults[instance]
	f := Faults{
		Down:  s.faults.Down || own.Down,
		Delay: s.faults.Delay + own.Delay,
	}
	switch {
	case f.Down:
	case write:
		s.counts.Writes++
	default:
		s.counts.Reads++
	}
	return f
}

// loses reports whether the response of a write that took effect is lost.
func (s *Standin) loses(instance string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	own := s.instanceFaults[instance]
	lost := take(&s.faults.LoseResponses) || take(&own.LoseResponses)
	s.instanceFaults[instance] = own
	return lost
}

// take counts one lost response; -1 stands for all.
func take(left *int) bool {
	if *left > 0 {
		*left--
		return true
	}
	return *left < 0
}

func (s *Standin) limited() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counts.Limited++
}
