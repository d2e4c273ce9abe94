package soak

import (
	"math/rand/v2"
	"slices"
	"sync"
	"syscall"
	"time"

	"pistachioford.example/pistachioford/platform/standin"
)

// fault is a kind of fault. inject returns once the fault has ended.
type fault struct {
	name   string
	inject func(c *cluster, r *rand.Rand, duration time.Duration)
}

var faults = []fault{
	{"kill", func(c *cluster, r *rand.Rand, duration time.Duration) { c.restart(r, syscall.SIGKILL, duration) }},
	{"stop", func(c *cluster, r *rand.Rand, duration time.Duration) { c.restart(r, syscall.SIGTERM, duration) }},
	{"pause", pauseDaemon},
	{"store", func(c *cluster, r *rand.Rand, duration time.Duration) {
		c.store.SetFault([]standin.Fault{standin.Down, standin.Busy, standin.Silent, standin.LoseResponses}[r.IntN(4)])
		time.Sleep(duration)
		c.store.SetFault(standin.Healthy)
	}},
	{"history", func(c *cluster, _ *rand.Rand, _ time.Duration) { c.store.DropHistory() }},
	{"store connections", func(c *cluster, r *rand.Rand, duration time.Duration) { disturb(c.storeProxy, r, duration) }},
	{"target connections", func(c *cluster, r *rand.Rand, duration time.Duration) {
		s := c.randomServer(r)
		defer c.disturbed(s.id)()
		disturb(s.proxy, r, duration)
	}},
	{"document", func(c *cluster, _ *rand.Rand, _ time.Duration) { c.publishDocument() }},
	{"evacuation", func(c *cluster, r *rand.Rand, duration time.Duration) {
		zone := zones[r.IntN(len(zones))]
		c.evacuate(zone, 1)
		time.Sleep(duration)
		c.evacuate(zone, -1)
	}},
	{"restore", restoreStore},
	{"leaving target", removeAndRestoreServer},
	{"damaged responses", damageResponses},
}

// evacuate counts the beginning or the end of an evacuation, and writes or removes
// its row.
func (c *cluster) evacuate(zone string, change int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.evacuations[zone] += change
	if c.evacuations[zone] > 0 {
		c.store.Put("op", "evacuate/"+zone, []byte("{}"))
	} else {
		c.store.Remove("op", "evacuate/"+zone)
	}
}

// restoreStore makes the store come back from an older copy. The operator and the
// servers write again what was lost.
func restoreStore(c *cluster, r *rand.Rand, duration time.Duration) {
	c.store.SetFault(standin.Down)
	time.Sleep(duration / 3)
	newest := c.store.Version()
	c.store.Restore(newest - min(newest-1, r.Uint64N(30)))
	c.store.SetFault(standin.Healthy)
	time.Sleep(duration / 3)
	c.writeDocument()
	for _, zone := range zones {
		c.evacuate(zone, 0)
	}
	for _, s := range c.servers {
		c.mu.Lock()
		removed := s.removed
		c.mu.Unlock()
		if !removed {
			c.reportState(s, "ready")
		}
	}
}

// damageResponses makes a server damage some of its responses.
func damageResponses(c *cluster, r *rand.Rand, duration time.Duration) {
	s := c.randomServer(r)
	set := func(damages bool) {
		c.mu.Lock()
		defer c.mu.Unlock()
		s.damages = damages
	}
	set(true)
	time.Sleep(duration)
	set(false)
}

// disturb applies a random mode other than pass to a proxy.
func disturb(p *proxy, r *rand.Rand, duration time.Duration) {
	p.setMode(mode(1 + r.IntN(int(modeCount)-1)))
	time.Sleep(duration)
	p.setMode(pass)
}

func (c *cluster) randomServer(r *rand.Rand) *server {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.servers[r.IntN(len(c.servers))]
}

// restart stops a daemon with a signal and starts it again. A daemon that is
// still running after gracePeriod is killed.
func (c *cluster) restart(r *rand.Rand, s syscall.Signal, duration time.Duration) {
	d := c.claimDaemon(r)
	if d == nil {
		return
	}
	defer c.releaseDaemon(d)
	if s == syscall.SIGKILL {
		defer c.disturbed(d.address)()
	}
	d.signal(s)
	select {
	case <-d.exited:
	case <-time.After(gracePeriod):
		if s == syscall.SIGTERM {
			c.mu.Lock()
			c.addViolation("%s was still running at the end of its grace period", d.name)
			c.mu.Unlock()
		}
		d.signal(syscall.SIGKILL)
		<-d.exited
	}
	time.Sleep(duration / 2)
	_ = c.start(d)
}

// gracePeriod is the time that the platform leaves between SIGTERM and SIGKILL.
const gracePeriod = 6 * time.Second

func pauseDaemon(c *cluster, r *rand.Rand, duration time.Duration) {
	d := c.claimDaemon(r)
	if d == nil {
		return
	}
	defer c.releaseDaemon(d)
	defer c.disturbed(d.address)()
	d.signal(syscall.SIGSTOP)
	time.Sleep(duration)
	d.signal(syscall.SIGCONT)
}

// claimDaemon picks a daemon for one fault and marks it as claimed. It returns
// nil if no more than half of the daemons are unclaimed, so that two of the four
// are always left alone.
func (c *cluster) claimDaemon(r *rand.Rand) *daemon {
	c.mu.Lock()
	defer c.mu.Unlock()
	var free []*daemon
	for _, d := range c.daemons {
		if !d.claimed {
			free = append(free, d)
		}
	}
	if len(free) <= len(c.daemons)/2 {
		return nil
	}
	d := free[r.IntN(len(free))]
	d.claimed = true
	return d
}

func (c *cluster) releaseDaemon(d *daemon) {
	c.mu.Lock()
	defer c.mu.Unlock()
	d.claimed = false
}

// removeAndRestoreServer removes a server's entry from the store, in half of
// the cases after a draining notice, and writes it again later.
func removeAndRestoreServer(c *cluster, r *rand.Rand, duration time.Duration) {
	s := c.randomServer(r)
	c.mu.Lock()
	alreadyRemoved := s.removed
	s.removed = true
	c.mu.Unlock()
	if alreadyRemoved {
		return
	}
	if r.IntN(2) == 0 {
		c.reportState(s, "draining")
		time.Sleep(duration)
	}
	c.store.Remove("servers", s.id)
	time.Sleep(duration)
	c.reportState(s, "ready")
	c.mu.Lock()
	s.removed = false
	c.mu.Unlock()
}

// injectFaults starts random faults at random intervals for a total time.
// Faults may overlap. It returns once all have ended.
func (c *cluster) injectFaults(r *rand.Rand, total time.Duration, logFault func(string)) {
	kinds := faults
	if c.hasAccounts() {
		kinds = slices.Concat(faults, accountFaults)
	}
	var running sync.WaitGroup
	for end := time.Now().Add(total); time.Now().Before(end); {
		f := kinds[r.IntN(len(kinds))]
		duration := 300*time.Millisecond + time.Duration(r.Int64N(int64(3*time.Second)))
		seed := r.Uint64()
		logFault(f.name + " for " + duration.String())
		c.faultBegan()
		running.Add(1)
		go func() {
			defer running.Done()
			defer c.faultEnded()
			f.inject(c, rand.New(rand.NewPCG(seed, 0)), duration)
		}()
		time.Sleep(time.Duration(r.Int64N(int64(900 * time.Millisecond))))
	}
	running.Wait()
}
