// Package demo runs a small but complete fleet in one process: a stand-in for
// the platform, sample upstreams and one entry instance in each availability
// zone.
package demo

import (
	"context"
	"net/http"
	"time"

	"github.com/rotisserie/eris"
	"github.com/sourcegraph/conc"

	"pistachioford.example/pistachioford/daemon"
	"pistachioford.example/pistachioford/entry"
	"pistachioford.example/pistachioford/settings"
	"pistachioford.example/pistachioford/tables"
	"pistachioford.example/pistachioford/tables/standin"
)

const (
	// readyTimeout leaves room for busy machines; a start usually takes 1 s.
	readyTimeout      = 60 * time.Second
	readyPollInterval = 20 * time.Millisecond
	loopback          = "127.0.0.1:0"
)

// Fleet is a running demo fleet.
type Fleet struct {
	standin   *standin.Standin
	upstreams []*sampleUpstream
	daemons   []*daemon.Daemon
	clients   []*tables.Client
}

// Start starts the fleet and waits until it serves requests. After an error,
// nothing is left running.
func Start(ctx context.Context) (*Fleet, error) {
	f := &Fleet{}
	err := f.start(ctx)
	if err != nil {
		f.cleanup()
		return nil, eris.Wrap(err, "start demo")
	}
	return f, nil
}

func (f *Fleet) start(ctx context.Context) (err error) {
	if f.standin, err = standin.Start(standin.Options{Address: loopback}); err != nil {
		return err
	}
	if f.upstreams, err = startUpstreams(); err != nil {
		return err
	}
	if err = f.writeDocument(ctx); err != nil {
		return err
	}
	if err = f.startDaemons(); err != nil {
		return err
	}
	return f.awaitReady(ctx)
}

// writeDocument writes the sample document to the platform's table.
func (f *Fleet) writeDocument(ctx context.Context) error {
	client, err := tables.NewClient(tables.Config{URL: f.standin.URL()})
	if err != nil {
		return err
	}
	defer client.Close()
	return seed(ctx, client, map[string]string{
		"network": networkText(), "services": servicesText(), "targets": targetsText(f.upstreams),
	})
}

// startDaemons starts the instances one after another. Each is given the peer
// addresses of those started before it.
func (f *Fleet) startDaemons() error {
	var peers []string
	for _, region := range regions {
		for i := range zonesPerRegion {
			d, err := f.startDaemon(region, zoneName(region, i), peers)
			if err != nil {
				return err
			}
			peers = append(peers, d.Peer())
		}
	}
	return nil
}

func (f *Fleet) startDaemon(region, zone string, peers []string) (*daemon.Daemon, error) {
	client, err := tables.NewClient(tables.Config{URL: f.standin.URL()})
	if err != nil {
		return nil, err
	}
	f.clients = append(f.clients, client)
	d := daemon.New(&settings.Settings{
		Instance: "entry-" + zone, Zone: zone, Region: region,
		Addresses: settings.Addresses{Callers: loopback, Peer: loopback, Forward: loopback, Operators: loopback},
		Platform:  f.standin.URL(), Peers: peers, Plain: true,
		Limits: settings.Limits{Connections: 4096, HeaderBytes: 16 << 10, BodyBytes: 1 << 30},
	}, client)
	f.daemons = append(f.daemons, d)
	if err := d.Provision(); err != nil {
		return nil, err
	}
	if err := d.Validate(); err != nil {
		return nil, err
	}
	d.Start()
	return d, nil
}

// LookupURL returns the URL under which an entry instance lists all entry
// instances.
func (f *Fleet) LookupURL() string { return "http://" + f.daemons[0].Callers() + entry.LookupPath }

// ExampleURL returns a URL that an entry instance forwards to a sample upstream.
func (f *Fleet) ExampleURL() string { return "http://" + f.daemons[0].Callers() + "/stock/example" }

// awaitReady waits until each instance knows the others and requests are served.
func (f *Fleet) awaitReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	for !f.ready(ctx) {
		select {
		case <-ctx.Done():
			return eris.New("the instances did not become ready in time")
		case <-time.After(readyPollInterval):
		}
	}
	return nil
}

// ready reports whether each instance has a document, holds a shard and knows
// its peers, and the first one serves both URLs.
func (f *Fleet) ready(ctx context.Context) bool {
	for _, d := range f.daemons {
		view := d.View()
		if view.Document == nil || len(view.Held) == 0 || len(view.Peers) < len(f.daemons)-1 {
			return false
		}
	}
	return returnsOK(ctx, f.LookupURL()) && returnsOK(ctx, f.ExampleURL())
}

// returnsOK reports whether a GET request to url returns status 200.
func returnsOK(ctx context.Context, url string) bool {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return false
	}
	request.Close = true
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// Stop shuts all instances down gracefully. Requests in flight finish before the
// upstreams and the platform are stopped.
func (f *Fleet) Stop(ctx context.Context) error {
	errs := make([]error, len(f.daemons))
	var shutdowns conc.WaitGroup
	for i, d := range f.daemons {
		shutdowns.Go(func() { errs[i] = d.Drain(ctx) })
	}
	shutdowns.Wait()
	f.cleanup()
	for _, err := range errs {
		if err != nil {
			return eris.Wrap(err, "stop demo")
		}
	}
	return nil
}

func (f *Fleet) cleanup() {
	for _, d := range f.daemons {
		d.Cleanup()
	}
	stopUpstreams(f.upstreams)
	for _, client := range f.clients {
		client.Close()
	}
	if f.standin != nil {
		_ = f.standin.Close()
	}
}
