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
	// lingerTime is how long the ports stay open after the announcement, so that
	// callers and peers that have not received it yet are still served.
	lingerTime = time.Second
	// departTimeout bounds the wait for the release of the shards. A lease that
	// is not released expires by itself.
	departTimeout = 5 * time.Second
)

// announceLeaving announces the departure to peers and the platform. From then
// on, lookups omit this instance.
func (d *Daemon) announceLeaving() {
	d.platformCalls.Go(d.unregister)
	d.steer.Handle(traffic.Draining{})
	d.tasks <- func() {
		d.publish(func(v *entry.View) { v.Leaving = true })
		d.dispatch(d.engine.Handle(time.Now(), control.Leave{}))
	}
}

// Drain shuts the instance down gracefully: it announces the departure, waits
// for all requests in flight, including uploads that are only partly received,
// gives up the shards and returns. Canceling ctx ends the wait for requests
// early.
func (d *Daemon) Drain(ctx context.Context) error {
	telemetry.Event("draining", telemetry.F("instance", d.self.ID), telemetry.F("in_flight", d.inFlight()))
	d.announceLeaving()
	sleep(ctx, lingerTime)
	err := d.shutdown(ctx)
	d.portsClosed.Store(true)
	d.awaitDeparture()
	telemetry.Event("left", telemetry.F("instance", d.self.ID))
	return err
}

// shutdown closes the callers' port and the forward port and waits for the
// requests on them.
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

// Cleanup closes all ports and connections and waits for all goroutines. It must
// be called once, at any time after New.
func (d *Daemon) Cleanup() {
	d.stopped.Store(true)
	close(d.stop)
	d.cancel()
	d.closeServers()
	d.loops.Wait()
	if d.links != nil {
		d.links.Close()
		d.targetPools.Close()
		d.peerPools.Close()
	}
	d.platformCalls.Wait()
	d.servers.Wait()
}

// closeServers closes all ports. Requests still in flight are aborted; Drain
// waits for them instead.
func (d *Daemon) closeServers() {
	if d.peerServer == nil {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), time.Millisecond)
	defer cancel()
	for _, server := range []*entry.Server{d.callers, d.forward, d.operators} {
		_ = server.Shutdown(ctx)
	}
	d.peerServer.Stop()
}

func sleep(ctx context.Context, wait time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(wait):
	}
}
