package main

import (
	"fmt"
	"io"
	"net/http"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cespare/xxhash/v2"
)

const document = `{"version":"r1","resources":[
{"resource_kind":"routes","metadata":{"name":"read"},"spec":{"host":"h.example","prefix":"/read/","kind":"idempotent","timeout":"1500ms","aim":"300ms","priority":0,"service":"s","max_attempts":2}},
{"resource_kind":"routes","metadata":{"name":"order"},"spec":{"host":"h.example","prefix":"/order/","kind":"non_idempotent","timeout":"1500ms","aim":"400ms","priority":1,"service":"s","max_attempts":2}},
{"resource_kind":"services","metadata":{"name":"s"},"spec":{"health_path":"/health","max_conns":390,"warmup":"0ms","cold_per_s":100}},
{"resource_kind":"limits","metadata":{},"spec":{"max_header_bytes":16384,"max_body_bytes":8000000,"header_timeout":"2000ms","idle_timeout":"10000ms"}}]}`

const (
	// pauseTime is how long a daemon stands still.
	pauseTime = 2500 * time.Millisecond
	// servingTime is how long a target goes on serving after its entry is removed.
	servingTime = 12 * time.Second
	// releaseGap is the time between two targets of a release.
	releaseGap = time.Second
	// targetsPerZone are enough for the time that a zone's release takes.
	targetsPerZone = 6
	workTime       = 10 * time.Millisecond
)

var caseZones = []string{"za", "zb", "zc", "zd", "ze"}

// pickNames returns the names of three instances of a zone: of the one that is
// paused, the one that relays the feeds to it, and the one that is added and relays
// them from then on. Instances choose their relay by the names.
func pickNames(zone string) (paused, relay, added string) {
	name := func(n int) string { return fmt.Sprintf("front-%s-%d", zone, n) }
	for n := 1; ; n++ {
		paused, added, relay = name(n), name(n+1), name(n+2)
		if xxhash.Sum64String(added) < xxhash.Sum64String(paused) && xxhash.Sum64String(relay) < xxhash.Sum64String(paused) {
			return paused, relay, added
		}
	}
}

// missedRemoval replaces the targets of each zone one after the other, as in a
// release, and adds an instance to it. Another instance of the zone is paused while
// the added one starts.
func missedRemoval(binary, record string, trouble bool) (bool, error) {
	zones := map[string]string{}
	for _, zone := range caseZones {
		zones[zone] = "ra"
	}
	w, err := newWorld(binary, record, zones)
	if err != nil {
		return false, err
	}
	defer w.close()
	w.store.Put("op", "config", []byte(document))
	paused := make([]*daemon, len(caseZones))
	for i, zone := range caseZones {
		for n := range targetsPerZone {
			if _, err := w.addTarget(targetName(zone, n), "s", zone, workTime); err != nil {
				return false, err
			}
		}
		name, relay, _ := pickNames(zone)
		if _, err := w.addDaemon(relay, zone, true); err != nil {
			return false, err
		}
		if paused[i], err = w.addDaemon(name, zone, true); err != nil {
			return false, err
		}
	}
	time.Sleep(5 * time.Second)
	var late atomic.Int64
	stop := make(chan struct{})
	for _, d := range paused {
		for c := range 3 {
			go w.callReads(d, c, stop, &late)
		}
	}
	for i, zone := range caseZones {
		removed := make(chan struct{})
		go w.release(zone, removed)
		<-removed
		time.Sleep(releaseGap * 6 / 10)
		if trouble {
			paused[i].signal(syscall.SIGSTOP)
		}
		time.Sleep(pauseTime * 6 / 10)
		_, _, added := pickNames(zone)
		if _, err := w.addDaemon(added, zone, false); err != nil {
			return false, err
		}
		time.Sleep(pauseTime * 4 / 10)
		if trouble {
			paused[i].signal(syscall.SIGCONT)
		}
		time.Sleep(5 * time.Second)
	}
	time.Sleep(stableBound + 2*time.Second)
	close(stop)
	time.Sleep(2 * time.Second)
	w.record.line("%d requests reached a target too late", late.Load())
	return late.Load() > 0, nil
}

func targetName(zone string, i int) string { return fmt.Sprintf("i-%s-%02d", zone, i) }

// release replaces the targets of a zone one after the other: the new one starts
// first. The old one does not report draining. Removals are signalled to removed.
func (w *world) release(zone string, removed chan<- struct{}) {
	for i := range targetsPerZone {
		time.Sleep(releaseGap)
		if _, err := w.addTarget(targetName(zone, targetsPerZone+i), "s", zone, workTime); err != nil {
			return
		}
		w.target(targetName(zone, i)).leave(servingTime)
		select {
		case removed <- struct{}{}:
		default:
		}
	}
}

// callReads sends reads to a daemon one after the other and counts those that it
// sent on to a target too late after the removal of the target's entry.
func (w *world) callReads(d *daemon, client int, stop <-chan struct{}, late *atomic.Int64) {
	c := &http.Client{Timeout: 2 * time.Second, Transport: &http.Transport{DisableCompression: true}}
	for n := 0; ; n++ {
		select {
		case <-stop:
			return
		case <-time.After(15 * time.Millisecond):
		}
		id := fmt.Sprintf("%s-%d-%d", d.name, client, n)
		req, err := http.NewRequest(http.MethodGet, fmt.Sprintf("http://%s/read/%d", d.requestAddress(), n), nil)
		if err != nil {
			return
		}
		req.Host = "h.example"
		req.Header.Set("X-Request-Id", id)
		req.Header.Set("X-Request-Deadline", "1500")
		sent := time.Now()
		touch := d.inTouch(sent)
		resp, err := c.Do(req)
		if err != nil {
			w.record.line("request %s to %s: %v", id, d.name, err)
			time.Sleep(100 * time.Millisecond)
			continue
		}
		_, _ = io.Copy(io.Discard, resp.Body)
		_ = resp.Body.Close()
		w.record.line("request %s to %s answered %d", id, d.name, resp.StatusCode)
		for _, ran := range w.runsOf(id) {
			at := w.target(ran).removedAt.Load()
			if after := sent.Sub(time.Unix(0, at)); at > 0 && after > drainBound && touch {
				late.Add(1)
				w.record.line("LATE: request %s was sent by %s to %s, %.1f s after its removal", id, d.name, ran, after.Seconds())
			}
		}
	}
}
