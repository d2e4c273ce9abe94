package gateway

import (
	"sync"
	"time"

	"pistachioford.example/core/steer"
	"pistachioford.example/pistachioford/callers"
	"pistachioford.example/pistachioford/telemetry"
)

// resumeInterval is how often delayed requests are decided on again, beside each
// end of an exchange. It is a small part of the shortest latency objectives.
const resumeInterval = 25 * time.Millisecond

// delay is a request that waits here until its target has room. Cancel is called
// when its caller disconnects.
type delay struct {
	resumed  chan steer.Resumed
	canceled chan struct{}
	once     sync.Once
}

// Cancel implements callers.Canceler.
func (d *delay) Cancel() { d.once.Do(func() { close(d.canceled) }) }

// awaitRoom waits until a delayed request is sent or refused, or its caller
// disconnects. d was added by chooseTarget.
func (g *Gateway) awaitRoom(r *request, call *callers.Call, d *delay) (steer.Send, *steer.Refusal) {
	if !call.Attach(d) {
		d.Cancel()
	}
	defer call.Detach()
	g.metrics.increment("delayed_total")
	began := time.Now()
	select {
	case resumed := <-d.resumed:
		r.delayed = time.Since(began)
		return resumed.Send, resumed.Refusal
	case <-d.canceled:
	}
	g.withEngine(func(e *steer.Engine) {
		if _, waits := g.delays[&r.Request]; waits {
			delete(g.delays, &r.Request)
			e.CancelDelay(&r.Request)
		}
	})
	select {
	case resumed := <-d.resumed:
		// It was decided on in the meantime; the exchange is canceled at once.
		return resumed.Send, resumed.Refusal
	default:
		return steer.Send{}, &steer.Refusal{Reason: steer.ReasonCallerDisconnected}
	}
}

// addDelay remembers a request that the engine has delayed. It is called with mu
// held.
func (g *Gateway) addDelay(r *request) *delay {
	d := &delay{resumed: make(chan steer.Resumed, 1), canceled: make(chan struct{})}
	g.delays[&r.Request] = d
	g.scheduleResume()
	return d
}

// scheduleResume decides on delayed requests again after resumeInterval, unless
// that is due already. It is called with mu held.
func (g *Gateway) scheduleResume() {
	if g.resumeDue || len(g.delays) == 0 {
		return
	}
	g.resumeDue = true
	time.AfterFunc(resumeInterval, func() {
		g.guard("resume", func() {
			g.withEngine(func(e *steer.Engine) {
				g.resumeDue = false
				g.resumeDelayed(e, time.Now())
				g.scheduleResume()
			})
		})
	})
}

// resumeDelayed decides again on delayed requests. It is called with mu held.
func (g *Gateway) resumeDelayed(e *steer.Engine, now time.Time) {
	if len(g.delays) == 0 {
		return
	}
	for _, resumed := range e.Resume(now) {
		if d := g.delays[resumed.Request]; d != nil {
			delete(g.delays, resumed.Request)
			d.resumed <- resumed
		}
	}
}

// abandonDelays refuses all delayed requests after the engine that knew them was
// lost. They have not run. It is called with mu held.
func (g *Gateway) abandonDelays() {
	if n := len(g.delays); n > 0 {
		telemetry.Event("delays_abandoned", telemetry.F("requests", n))
	}
	for r, d := range g.delays {
		delete(g.delays, r)
		d.resumed <- steer.Resumed{Request: r, Refusal: &steer.Refusal{Reason: steer.ReasonTooLate, RetryAfter: noDocumentRetryAfter}}
	}
}
