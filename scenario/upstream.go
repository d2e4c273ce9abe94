package scenario

import (
	"time"

	"pistachioford.example/core/document"
	"pistachioford.example/core/traffic"
)

const (
	// warmupDuration is how long a restarted upstream is slower than usual.
	warmupDuration = 10 * time.Second
	// coldSlowdown is the factor by which service times are longer right after a
	// restart.
	coldSlowdown = 4
	// failureLatency is how long an upstream takes to respond with a failure.
	failureLatency = time.Millisecond
	// timeToCrash is how long a poison request runs before it crashes its
	// upstream.
	timeToCrash = 2 * time.Millisecond
	// restartDelay is how long a crashed upstream is down.
	restartDelay = 5 * time.Second
	// reportInterval is the time between two load reports.
	reportInterval = 500 * time.Millisecond
)

// upstream is a fake of one target, with its slots, its service time and the
// failures that the script asks for.
type upstream struct {
	world       *world
	id          document.TargetID
	zone        document.ZoneID
	slots       int
	serviceTime time.Duration

	down             bool
	hung             bool    // accepts requests and never responds
	queueWhenBusy    bool    // queues requests when all slots are busy, instead of shedding them
	slowdown         float64 // factor of the service time; 0 for none
	failureRate      float64 // fraction of requests that fail
	reportsZeroLoad  bool
	announcesLeaving bool // responses say that it is leaving
	leaveSeenAt      time.Time
	coldSince        time.Time
	lastRunEnd       time.Time

	active []*run
	queue  []*run
}

// run is the work of an upstream for one exchange.
type run struct {
	exchange *exchange
	call     *call
	started  time.Time
	ended    bool
}

// receive handles a request that reaches the upstream.
func (u *upstream) receive(r *run) {
	w := u.world
	w.checker.onArrival(u)
	if u.hung || r.exchange.ended {
		return
	}
	if w.clock.Now.After(r.exchange.deadline) {
		u.respond(r, traffic.Shed)
		return
	}
	w.checker.onSlotRequest(u)
	if len(u.active) < u.slots {
		u.start(r)
		return
	}
	if u.queueWhenBusy {
		u.queue = append(u.queue, r)
		return
	}
	u.respond(r, traffic.Shed)
}

func (u *upstream) start(r *run) {
	w := u.world
	u.active = append(u.active, r)
	r.started = w.clock.Now
	w.checker.onStart(u, r.call)
	switch {
	case r.call.load.Poison:
		w.clock.After(timeToCrash, func() {
			if !r.ended {
				u.crashAndRestart()
			}
		})
	case u.failureRate > 0 && w.random.Float64() < u.failureRate:
		w.clock.After(failureLatency, func() { u.finish(r, traffic.Failed) })
	default:
		w.clock.After(u.drawServiceTime(), func() { u.finish(r, traffic.Completed) })
	}
}

// drawServiceTime returns a random service time. Half of it is constant and half
// exponential, which gives a p99 of 2.8 times the mean.
func (u *upstream) drawServiceTime() time.Duration {
	factor := 0.5 + 0.5*u.world.random.ExpFloat64()
	if u.slowdown > 0 {
		factor *= u.slowdown
	}
	if since := u.world.clock.Now.Sub(u.coldSince); !u.coldSince.IsZero() && since < warmupDuration {
		factor *= 1 + (coldSlowdown-1)*float64(warmupDuration-since)/float64(warmupDuration)
	}
	return time.Duration(factor * float64(u.serviceTime))
}

func (u *upstream) finish(r *run, result traffic.Result) {
	if r.ended {
		return
	}
	u.release(r)
	u.respond(r, result)
}

// release frees the slot and starts the next queued request.
func (u *upstream) release(r *run) {
	r.ended = true
	for i, other := range u.active {
		if other == r {
			u.active = append(u.active[:i], u.active[i+1:]...)
			u.world.stats.runEnded(u, r)
			break
		}
	}
	for len(u.queue) > 0 && len(u.active) < u.slots {
		next := u.queue[0]
		u.queue = u.queue[1:]
		if !next.ended {
			u.start(next)
		}
	}
}

// respond sends the result of an exchange to the instance. It says that the
// upstream is leaving if the upstream announces that in its responses.
func (u *upstream) respond(r *run, result traffic.Result) {
	leaving := u.announcesLeaving
	u.world.network.send(u.zone, u.zone, 0, func() { r.exchange.end(result, leaving, newResponse(u, r.call, result)) })
}

// cancel ends a run whose connection the instance has closed.
func (u *upstream) cancel(r *run) {
	if !r.ended {
		u.release(r)
	}
}

// crashAndRestart stops the upstream and restarts it cold after restartDelay.
func (u *upstream) crashAndRestart() {
	u.world.logf("upstream %s crashes", u.name())
	u.stop()
	u.world.clock.After(restartDelay, u.restart)
}

// stop ends the process, which breaks all exchanges.
func (u *upstream) stop() {
	u.down = true
	runs := append(append([]*run(nil), u.active...), u.queue...)
	u.active, u.queue = nil, nil
	for _, r := range runs {
		r.ended = true
		u.world.network.send(u.zone, u.zone, 0, func() { r.exchange.end(traffic.Broken, false, nil) })
	}
}

func (u *upstream) restart() {
	u.down, u.announcesLeaving, u.leaveSeenAt = false, false, time.Time{}
	u.coldSince = u.world.clock.Now
}

// leave starts a planned stop. The signal that announces it is a header of the
// responses, the health endpoint, which one instance reads first, or the document,
// which the caller changes.
func (u *upstream) leave(signal string) {
	w := u.world
	switch signal {
	case "header":
		u.announcesLeaving = true
	case "health":
		if readers := w.instancesIn(u.zone); len(readers) > 0 {
			readers[w.random.IntN(len(readers))].handle(traffic.TargetLeaving{Target: u.id, Seen: w.Now})
		}
	}
}

// returnToService ends a planned stop. The instances of the zone learn of it
// from the instance list.
func (u *upstream) returnToService() {
	u.restart()
	for _, in := range u.world.instancesIn(u.zone) {
		in.handle(traffic.TargetReturned{Target: u.id})
	}
}

// reportLoad reports the load of the upstream to the instances of its zone.
func (u *upstream) reportLoad() {
	if u.down || u.world.reportsStopped {
		return
	}
	load := float64(len(u.active)) / float64(u.slots)
	if u.reportsZeroLoad {
		load = 0
	}
	for _, in := range u.world.instancesIn(u.zone) {
		in.handle(traffic.LoadReported{Target: u.id, Utilization: load, At: u.world.clock.Now})
	}
}

func (u *upstream) name() string { return u.world.doc.Targets[u.id].Name }

// response is the response of an upstream to one call.
type response struct {
	upstream *upstream
	call     *call
	status   int
}

func newResponse(u *upstream, c *call, result traffic.Result) *response {
	if result == traffic.Failed {
		return &response{upstream: u, call: c, status: 500}
	}
	return &response{upstream: u, call: c, status: 200}
}

// Size returns the length of the body in bytes.
func (a *response) Size() int { return int(a.call.service().ResponseBytes) }
