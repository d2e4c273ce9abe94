package daemon

import (
	"context"
	"time"

	"github.com/sourcegraph/conc"

	"pistachioford.example/core/control"
	"pistachioford.example/core/traffic"
	"pistachioford.example/pistachioford/entry"
	"pistachioford.example/pistachioford/telemetry"
)

const (
	// lingerTime keeps the ports open after the announcement, so that callers
	// and peers that have not heard of it yet are still served.
	lingerTime = time.Second
	// departTimeout bounds the wait for the release of the shards; they would
	// expire by themselves.
	departTimeout = 5 * time.Second
)

// announce tells peers and the platform; lookups leave this instance out from
// here on.
func (d *Daemon) announce() {
	d.calls.Go(d.unregister)
	d.steer.Handle(traffic.Draining{})
	d.tasks <- func() {
		d.publish(func(v *entry.View) { v.Leaving = true })
		d.act(d.engine.Handle(time.Now(), control.Leave{}))
	}
}

// Leave is the graceful shutdown: it announces the departure, finishes all
// requests in flight, partly sent uploads included, gives the shards up and
// returns. ctx ends the wait for requests early.
func (d *Daemon) Leave(ctx context.Context) error {
	telemetry.Event("draining", telemetry.F("instance", d.self.ID), telemetry.F("in_flight", d.inFlight()))
	d.announce()
	sleep(ctx, lingerTime)
	err := d.shutdown(ctx)
	d.closed.Store(true)
	d.awaitDeparture()
	telemetry.Event("left", telemetry.F("instance", d.self.ID))
	return err
}

// shutdown closes the callers' and the forward port.
func (d *Daemon) shutdown(ctx context.Context) error {
	d.stopped.Store(true)
	var forwardErr error
	var forward conc.WaitGroup
	forward.Go(func() { forwardErr = d.forward.Shutdown(ctx) })
	err := d.callers.Shutdown(ctx)
	forward.Wait()
	if err != nil {
		return err
	}
	return forwardErr
}

func (d *Daemon) awaitDeparture() {
	select {
	case <-d.departed:
	case <-time.After(departTimeout):
		telemetry.Event("departure_timeout", telemetry.F("instance", d.self.ID))
	}
}

// Cleanup closes everything. It may be called at any time after New, once.
func (d *Daemon) Cleanup() {
	d.stopped.Store(true)
	close(d.stop)
	d.endRunning()
	d.closeServers()
	d.loops.Wait()
	if d.links != nil {
		d.links.Close()
		d.targets.Close()
		d.peers.Close()
	}
	d.calls.Wait()
	d.servers.Wait()
}

// closeServers ends the ports; requests still in flight are cut, which Leave
// avoids.
func (d *Daemon) closeServers() {
	if d.peerServer == nil {
		return
	}
	now, cancel := context.WithTimeout(context.Background(), time.Millisecond)
	defer cancel()
	for _, server := range []*entry.Server{d.callers, d.forward, d.operators} {
		_ = server.Shutdown(now)
	}
	d.peerServer.Stop()
}

func sleep(ctx context.Context, wait time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(wait):
	}
}
