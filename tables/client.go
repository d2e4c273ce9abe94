package tables

import (
	"context"
	"math/rand/v2"
	"net"
	"net/url"
	"time"

	"github.com/rotisserie/eris"
	"github.com/valyala/fasthttp"
	"golang.org/x/time/rate"

	"pistachioford.example/pistachioford/httpread"
)

// Defaults of a Config. With 480 instances the budgets add up to 960 reads/s
// and 240 writes/s; the platform handles about 2,000 reads/s and several hundred
// writes/s.
const (
	DefaultTimeout         = time.Second
	DefaultRetries         = 2 // after the first attempt
	DefaultReadsPerSecond  = 2
	DefaultWritesPerSecond = 0.5
	DefaultBurst           = 20 // attempts

	// baseRetryDelay is the longest delay before the first retry. The limit
	// doubles with each further retry.
	baseRetryDelay = 100 * time.Millisecond
)

// Config configures a Client. The zero value of a field means its default.
type Config struct {
	// URL is the base URL of the platform, such as http://10.0.0.1:9000.
	URL string
	// Instance names the calling instance to the platform.
	Instance string
	// Timeout bounds each attempt; 1 s by default.
	Timeout time.Duration
	// Retries is the number of attempts after the first; 2 by default, and a
	// negative value means none.
	Retries int
	// ReadsPerSecond and WritesPerSecond are the budgets of this instance; 2
	// and 0.5 by default, and a negative value means no limit. Each attempt
	// counts.
	ReadsPerSecond  float64
	WritesPerSecond float64
	// Burst is the burst size of each budget in attempts; 20 by default.
	Burst int
	// WaitForBudget makes a call wait until the budget allows it. Otherwise it
	// fails with ErrBudget.
	WaitForBudget bool
	// Sleep waits between attempts; it ends early with the context. The
	// default uses the wall clock.
	Sleep func(context.Context, time.Duration)
}

// Client implements Platform over HTTP. It is safe for concurrent use.
type Client struct {
	config      Config
	peer        string
	http        *fasthttp.HostClient
	readBudget  *rate.Limiter
	writeBudget *rate.Limiter
}

var _ Platform = (*Client)(nil)

// NewClient returns a client; it opens no connection.
func NewClient(config Config) (*Client, error) {
	u, err := url.Parse(config.URL)
	if err != nil || u.Host == "" || u.Scheme != "http" && u.Scheme != "https" || u.Path != "" && u.Path != "/" {
		return nil, eris.Errorf("platform URL %q must be http://HOST:PORT or https://HOST:PORT", config.URL)
	}
	config.setDefaults()
	c := &Client{
		config:      config,
		peer:        u.Host,
		readBudget:  newBudget(config.ReadsPerSecond, config.Burst),
		writeBudget: newBudget(config.WritesPerSecond, config.Burst),
	}
	c.http = &fasthttp.HostClient{
		Addr:                hostPort(u),
		IsTLS:               u.Scheme == "https",
		Dial:                func(addr string) (net.Conn, error) { return fasthttp.DialDualStackTimeout(addr, config.Timeout) },
		ReadTimeout:         config.Timeout,
		WriteTimeout:        config.Timeout,
		Transport:           httpread.Transport{},
		MaxResponseBodySize: MaxBodyBytes,
		// By default fasthttp resends idempotent requests itself, outside the
		// budget and without a delay.
		MaxIdemponentCallAttempts: 1,
		RetryIfErr:                func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
	}
	return c, nil
}

// Close closes idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

func (c *Config) setDefaults() {
	setDefault(&c.Timeout, DefaultTimeout)
	setDefault(&c.Retries, DefaultRetries)
	setDefault(&c.ReadsPerSecond, DefaultReadsPerSecond)
	setDefault(&c.WritesPerSecond, DefaultWritesPerSecond)
	setDefault(&c.Burst, DefaultBurst)
	c.Retries = max(c.Retries, 0)
	if c.Sleep == nil {
		c.Sleep = sleep
	}
}

func setDefault[T comparable](field *T, def T) {
	var zero T
	if *field == zero {
		*field = def
	}
}

func newBudget(perSecond float64, burst int) *rate.Limiter {
	if perSecond < 0 {
		return rate.NewLimiter(rate.Inf, 0)
	}
	return rate.NewLimiter(rate.Limit(perSecond), burst)
}

// hostPort returns the host and port of a URL. It adds the default port of the
// scheme, since the HostClient dials its address as it stands.
func hostPort(u *url.URL) string {
	if u.Port() != "" {
		return u.Host
	}
	if u.Scheme == "https" {
		return net.JoinHostPort(u.Hostname(), "443")
	}
	return net.JoinHostPort(u.Hostname(), "80")
}

func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

// retryDelay returns a random time from 0 to a limit that doubles with each
// retry (full jitter), so that instances do not retry at the same time.
func retryDelay(retry int) time.Duration {
	return rand.N(baseRetryDelay << retry)
}
