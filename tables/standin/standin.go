// Package standin implements the HTTP protocol of the platform in process, for
// tests and the demo. It listens on a loopback address and keeps everything in
// memory.
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
	// ListLag is the delay after which a change appears in the instance list.
	ListLag time.Duration
}

// Faults are the failures that a Standin injects.
type Faults struct {
	// Down closes the connection of each call without a response and before any
	// effect.
	Down bool
	// Delay is the time that each call waits before its effect.
	Delay time.Duration
	// LoseResponses is the number of upcoming writes that take effect and whose
	// connection is then closed without a response; -1 means all.
	LoseResponses int
}

// Counts holds the number of calls that a Standin received. Limited are those
// answered with status 429; they are counted as reads or writes too. Calls that
// find the Standin down are not counted.
type Counts struct{ Reads, Writes, Limited uint64 }

// Standin is a running stand-in. It is safe for concurrent use.
type Standin struct {
	store        *store
	app          *fiber.App
	url          string
	readLimiter  *rate.Limiter
	writeLimiter *rate.Limiter
	serveErr     chan error

	mu     sync.Mutex
	faults Faults
	// instanceFaults holds additional faults for the calls of single instances.
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
		readLimiter:    newLimiter(options.ReadsPerSecond),
		writeLimiter:   newLimiter(options.WritesPerSecond),
		serveErr:       make(chan error, 1),
		instanceFaults: map[string]Faults{},
	}
	s.app = fiber.New(fiber.Config{DisableStartupMessage: true, BodyLimit: tables.MaxBodyBytes, Immutable: true})
	s.registerRoutes()
	go func() { s.serveErr <- s.app.Listener(listener) }()
	return s, nil
}

// newLimiter returns a limiter whose burst is the number of calls of one
// second, and at least 1.
func newLimiter(perSecond float64) *rate.Limiter {
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

// SetInstanceFaults replaces the faults that apply only to the calls of one
// instance, in addition to those of SetFaults.
func (s *Standin) SetInstanceFaults(instance string, f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.instanceFaults[instance] = f
}

// Counts returns the numbers of calls received so far.
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
	return <-s.serveErr
}

// recordCall counts a call and returns the faults that apply to it, apart from
// lost responses.
func (s *Standin) recordCall(instance string, write bool) Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	perInstance := s.instanceFaults[instance]
	f := Faults{
		Down:  s.faults.Down || perInstance.Down,
		Delay: s.faults.Delay + perInstance.Delay,
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

// takeLostResponse reports whether the response of a write that took effect is
// to be lost. If so, it counts one of LoseResponses as used.
func (s *Standin) takeLostResponse(instance string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	perInstance := s.instanceFaults[instance]
	lost := decrement(&s.faults.LoseResponses) || decrement(&perInstance.LoseResponses)
	s.instanceFaults[instance] = perInstance
	return lost
}

// decrement takes one from a count and reports whether there was one left; a
// negative count is unlimited.
func decrement(remaining *int) bool {
	if *remaining > 0 {
		*remaining--
		return true
	}
	return *remaining < 0
}

func (s *Standin) recordLimited() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counts.Limited++
}
