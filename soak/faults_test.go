package soak

import (
	"math/rand/v2"
	"sync"
	"syscall"
	"time"

	"pistachioford.example/pistachioford/platform/standin"
)

// fault is a trouble with its length.
type fault struct {
	name string
	play func(w *world, r *rand.Rand, length time.Duration)
}

var faults = []fault{
	{"kill", func(w *world, r *rand.Rand, length time.Duration) { w.interrupt(r, syscall.SIGKILL, length) }},
	{"stop", func(w *world, r *rand.Rand, length time.Duration) { w.interrupt(r, syscall.SIGTERM, length) }},
	{"pause", pauseDaemon},
	{"store", func(w *world, r *rand.Rand, length time.Duration) {
		w.store.SetFault([]standin.Fault{standin.Down, standin.Busy, standin.Silent, standin.LoseResponses}[r.IntN(4)])
		time.Sleep(length)
		w.store.SetFault(standin.Healthy)
	}},
	{"history", func(w *world, _ *rand.Rand, _ time.Duration) { w.store.DropHistory() }},
	{"store connections", func(w *world, r *rand.Rand, length time.Duration) { harm(w.storeProxy, r, length) }},
	{"target connections", func(w *world, r *rand.Rand, length time.Duration) { harm(w.pick(r).proxy, r, length) }},
	{"document", func(w *world, _ *rand.Rand, _ time.Duration) { w.changeDocument() }},
	{"evacuation", func(w *world, r *rand.Rand, length time.Duration) {
		zone := zones[r.IntN(len(zones))]
		w.store.Put("op", "evacuate/"+zone, []byte("{}"))
		time.Sleep(length)
		w.store.Remove("op", "evacuate/"+zone)
	}},
	{"leaving target", leaveAndReturn},
}

func harm(p *proxy, r *rand.Rand, length time.Duration) {
	p.set(mode(1 + r.IntN(int(modes)-1)))
	time.Sleep(length)
	p.set(pass)
}

func (w *world) pick(r *rand.Rand) *server {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.servers[r.IntN(len(w.servers))]
}

// interrupt ends a process and starts it again.
func (w *world) interrupt(r *rand.Rand, s syscall.Signal, length time.Duration) {
	d := w.claim(r)
	if d == nil {
		return
	}
	defer w.release(d)
	d.signal(s)
	select {
	case <-d.exited:
	case <-time.After(killAfter):
		d.signal(syscall.SIGKILL)
		<-d.exited
	}
	time.Sleep(length / 2)
	_ = w.start(d)
}

// killAfter is the platform's grace.
const killAfter = 6 * time.Second

func pauseDaemon(w *world, r *rand.Rand, length time.Duration) {
	d := w.claim(r)
	if d == nil {
		return
	}
	defer w.release(d)
	d.signal(syscall.SIGSTOP)
	time.Sleep(length)
	d.signal(syscall.SIGCONT)
}

// claim returns a process that no other fault works on, and leaves two alone.
func (w *world) claim(r *rand.Rand) *daemon {
	w.mu.Lock()
	defer w.mu.Unlock()
	var free []*daemon
	for _, d := range w.daemons {
		if !d.paused {
			free = append(free, d)
		}
	}
	if len(free) <= len(w.daemons)/2 {
		return nil
	}
	d := free[r.IntN(len(free))]
	d.paused = true
	return d
}

func (w *world) release(d *daemon) {
	w.mu.Lock()
	defer w.mu.Unlock()
	d.paused = false
}

// leaveAndReturn takes a target out with or without notice, and back.
func leaveAndReturn(w *world, r *rand.Rand, length time.Duration) {
	s := w.pick(r)
	w.mu.Lock()
	busy := s.gone
	s.gone = true
	w.mu.Unlock()
	if busy {
		return
	}
	if r.IntN(2) == 0 {
		w.report(s, "draining")
		time.Sleep(length)
	}
	w.store.Remove("servers", s.id)
	time.Sleep(length)
	w.report(s, "ready")
	w.mu.Lock()
	s.gone = false
	w.mu.Unlock()
}

// playFaults runs random faults in series that overlap, and returns once all
// have ended.
func (w *world) playFaults(r *rand.Rand, length time.Duration, note func(string)) {
	var running sync.WaitGroup
	for end := time.Now().Add(length); time.Now().Before(end); {
		f := faults[r.IntN(len(faults))]
		lasts := 300*time.Millisecond + time.Duration(r.Int64N(int64(3*time.Second)))
		seed := r.Uint64()
		note(f.name + " for " + lasts.String())
		w.begin()
		running.Add(1)
		go func() {
			defer running.Done()
			defer w.end()
			f.play(w, rand.New(rand.NewPCG(seed, 0)), lasts)
		}()
		time.Sleep(time.Duration(r.Int64N(int64(900 * time.Millisecond))))
	}
	running.Wait()
}
