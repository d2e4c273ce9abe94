package steer

import (
	"errors"
	"fmt"
	"strings"
	"time"

	"pistachioford.example/core/account"
)

// Kind determines whether the requests of a route may run more than once.
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

// Retryable reports whether a request may be sent again after it may have run.
func (k Kind) Retryable() bool { return k == Idempotent }

// Share states how many of a route's requests a service gets.
type Share struct {
	Service string
	// Weight is relative to the sum of the weights of the route's shares.
	Weight int
}

// Route configures how the requests for a host and path prefix are served.
type Route struct {
	Name, Host, Prefix string
	Kind               Kind
	// Timeout limits how long a request may wait for its response.
	Timeout time.Duration
	// LatencyObjective is the response time up to which a response is worth
	// most to the caller.
	LatencyObjective time.Duration
	// Priority 0 is the most urgent.
	Priority int
	// Shares has a single entry if the route is not split.
	Shares []Share
	// MaxAttempts limits the targets that may get a request. Targets that could
	// not be reached do not count.
	MaxAttempts int
	// Affinity is set if a request runs faster on a target that recently
	// handled the same object.
	Affinity bool
	// Regions lists the only regions that may serve the route; empty allows
	// all.
	Regions []string
	// Public is set if callers need no key of a client account.
	Public bool
}

// Service describes the targets of a service.
type Service struct {
	Name string
	// MaxConnections is the number of connections that one target accepts from
	// all instances together.
	MaxConnections int
	// Warmup is how long a target stays cold after its start.
	Warmup time.Duration
	// ColdRate is the number of requests per second that a cold target
	// withstands.
	ColdRate float64
}

// Limits bounds the requests and connections of callers.
type Limits struct {
	HeaderBytes, BodyBytes     int
	HeaderTimeout, IdleTimeout time.Duration
}

// Document is a version of the steering document. It is immutable after Build.
type Document struct {
	Version  uint64
	Routes   []Route
	Services map[string]Service
	Limits   Limits
	// Accounts holds the client accounts, nil if callers need no keys.
	Accounts *account.Directory
	// byHost holds indexes into Routes.
	byHost map[string][]int
}

// Build validates the document and builds the index for Match. The error joins
// the first problem of each route.
func (d *Document) Build() error {
	var problems []error
	d.byHost = map[string][]int{}
	for i := range d.Routes {
		route := &d.Routes[i]
		if err := d.checkRoute(route); err != nil {
			problems = append(problems, fmt.Errorf("route %q: %w", route.Name, err))
		}
		d.byHost[route.Host] = append(d.byHost[route.Host], i)
	}
	return errors.Join(problems...)
}

func (d *Document) checkRoute(r *Route) error {
	switch {
	case r.Host == "":
		return errors.New("host is missing")
	case !strings.HasPrefix(r.Prefix, "/") || !strings.HasSuffix(r.Prefix, "/"):
		return fmt.Errorf("prefix %q must begin and end with a slash", r.Prefix)
	case r.Timeout <= 0:
		return errors.New("timeout must be positive")
	case r.MaxAttempts < 1:
		return errors.New("max attempts must be at least 1")
	case len(r.Shares) == 0:
		return errors.New("no services are listed")
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

// Match returns the route of the host with the longest prefix of the path, or
// nil if there is none.
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

// HomeRegions returns the regions that the routes of a host are restricted to,
// or nil if any of these routes is unrestricted.
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
