package steer

import (
	"errors"
	"fmt"
	"strings"
	"time"
)

// Kind tells how often the requests of a route may run.
type Kind uint8

// Kinds of routes.
const (
	// Idempotent requests may run more than once.
	Idempotent Kind = iota
	// NonIdempotent requests run at most once.
	NonIdempotent
	// Upload requests have large bodies and run at most once.
	Upload
)

// Repeatable tells whether a request may be sent again after it may have run.
func (k Kind) Repeatable() bool { return k == Idempotent }

// Share is a service's part of the requests of a route.
type Share struct {
	Service string
	Weight  int
}

// Route says how the requests of a host and path prefix are served.
type Route struct {
	Name, Host, Prefix string
	Kind               Kind
	// Timeout is the longest time that a request may wait for its answer.
	Timeout time.Duration
	// Aim is the time within which an answer is worth most to the caller.
	Aim time.Duration
	// Priority 0 is the most urgent.
	Priority int
	// Shares has one entry for a route without a split.
	Shares []Share
	// MaxAttempts is the number of targets that may get one request.
	MaxAttempts int
	// Affinity says that requests for one object run faster on one target.
	Affinity bool
	// Regions are the only ones that may serve the route; empty allows all.
	Regions []string
}

// Service describes the targets of a service.
type Service struct {
	Name string
	// MaxConnections is what one target accepts from all instances together.
	MaxConnections int
	// Warmup is how long a target stays cold after its start.
	Warmup time.Duration
	// ColdRate is the requests a second that a cold target withstands.
	ColdRate float64
}

// Limits bound what a caller may send.
type Limits struct {
	HeaderBytes, BodyBytes     int
	HeaderTimeout, IdleTimeout time.Duration
}

// Document is a version of the steering document. It is immutable.
type Document struct {
	Version  uint64
	Routes   []Route
	Services map[string]Service
	Limits   Limits
	// byHost holds indexes into Routes.
	byHost map[string][]int
}

// Build checks a document and prepares it for Match.
func (d *Document) Build() error {
	var problems []error
	d.byHost = map[string][]int{}
	for i := range d.Routes {
		route := &d.Routes[i]
		if err := d.check(route); err != nil {
			problems = append(problems, fmt.Errorf("route %q: %w", route.Name, err))
		}
		d.byHost[route.Host] = append(d.byHost[route.Host], i)
	}
	return errors.Join(problems...)
}

func (d *Document) check(r *Route) error {
	switch {
	case r.Host == "":
		return errors.New("host is missing")
	case !strings.HasPrefix(r.Prefix, "/") || !strings.HasSuffix(r.Prefix, "/"):
		return fmt.Errorf("prefix %q must begin and end with a slash", r.Prefix)
	case r.Timeout <= 0:
		return errors.New("timeout must be positive")
	case r.MaxAttempts < 1:
		return errors.New("at least one attempt is needed")
	case len(r.Shares) == 0:
		return errors.New("no service is named")
	}
	total := 0
	for _, share := range r.Shares {
		if _, found := d.Services[share.Service]; !found {
			return fmt.Errorf("service %q is not in the document", share.Service)
		}
		if share.Weight < 0 {
			return fmt.Errorf("weight %d of service %q is negative", share.Weight, share.Service)
		}
		total += share.Weight
	}
	if total == 0 {
		return errors.New("all weights are 0")
	}
	for _, other := range d.byHost[r.Host] {
		if d.Routes[other].Prefix == r.Prefix {
			return fmt.Errorf("route %q has the same host and prefix", d.Routes[other].Name)
		}
	}
	return nil
}

// Match returns the route with the longest prefix of the path, or nil.
func (d *Document) Match(host, path string) *Route {
	var best *Route
	for _, i := range d.byHost[host] {
		route := &d.Routes[i]
		if strings.HasPrefix(path, route.Prefix) && (best == nil || len(route.Prefix) > len(best.Prefix)) {
			best = route
		}
	}
	return best
}

// HomeRegions returns the regions that all routes of a host allow, or nil if
// any region may serve some of them.
func (d *Document) HomeRegions(host string) []string {
	var homes []string
	for _, i := range d.byHost[host] {
		regions := d.Routes[i].Regions
		if len(regions) == 0 {
			return nil
		}
		homes = append(homes, regions...)
	}
	return homes
}
