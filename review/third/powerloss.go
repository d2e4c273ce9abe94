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

const (
	// configBound is config_apply of the settings.
	configBound = 2 * time.Second
	// darkTime is how long machines are without power.
	darkTime = 2 * time.Second
	// changeDelay is how long after the loss of power the document changes.
	changeDelay = 100 * time.Millisecond
	rounds      = 3
)

// routeDocument is a version of the document whose only route goes to a service.
func routeDocument(version int, service string) []byte {
	return fmt.Appendf(nil, `{"version":"r%d","resources":[
{"resource_kind":"routes","metadata":{"name":"read"},"spec":{"host":"h.example","prefix":"/read/","kind":"idempotent","timeout":"1200ms","aim":"250ms","priority":1,"service":%q,"max_attempts":2}},
{"resource_kind":"services","metadata":{"name":"old"},"spec":{"health_path":"/health","max_conns":390,"warmup":"0ms","cold_per_s":100}},
{"resource_kind":"services","metadata":{"name":"new"},"spec":{"health_path":"/health","max_conns":390,"warmup":"0ms","cold_per_s":100}},
{"resource_kind":"limits","metadata":{},"spec":{"max_header_bytes":16384,"max_body_bytes":67108864,"header_timeout":"3000ms","idle_timeout":"15000ms"}}]}`, version, service)
}

// relaysLost takes the power from one of the two instances of each zone, the one
// that relays the feeds, and moves a route to another service right after that. A
// stopped process stands for a machine without power: it is silent, and is killed
// and started again when the power is back.
func relaysLost(binary, record string, trouble bool) (bool, error) {
	zones := map[string]string{"za": "ra", "zb": "rb", "zc": "rc", "zd": "ra", "ze": "rb", "zf": "rc"}
	w, err := newWorld(binary, record, zones)
	if err != nil {
		return false, err
	}
	defer w.close()
	w.store.Put("op", "config", routeDocument(1, "old"))
	var relays, others []*daemon
	for zone := range zones {
		for i := range 4 {
			service := []string{"old", "new"}[i%2]
			if _, err := w.addTarget(fmt.Sprintf("i-%s-%s-%d", service, zone, i), service, zone, workTime); err != nil {
				return false, err
			}
		}
		var pair [2]*daemon
		for i := range pair {
			if pair[i], err = w.addDaemon(fmt.Sprintf("front-%s-%d", zone, i+1), zone, true); err != nil {
				return false, err
			}
		}
		relay, other := pair[0], pair[1]
		if xxhash.Sum64String(other.name) < xxhash.Sum64String(relay.name) {
			relay, other = other, relay
		}
		relays, others = append(relays, relay), append(others, other)
	}
	// 7 of 12 machines lose power, a share of 0.55.
	dark, others := append(relays, others[0]), others[1:]
	time.Sleep(8 * time.Second)
	var now atomic.Pointer[version]
	now.Store(&version{service: "old"})
	var late atomic.Int64
	stop := make(chan struct{})
	for _, d := range others {
		for c := range 2 {
			go w.callAcross(d, c, stop, &now, &late)
		}
	}
	for round := range rounds {
		time.Sleep(2 * time.Second)
		if trouble {
			for _, d := range dark {
				d.signal(syscall.SIGSTOP)
			}
		}
		time.Sleep(changeDelay)
		service := []string{"new", "old"}[round%2]
		// Requests that cross the change are not counted.
		now.Store(&version{service: service})
		w.store.Put("op", "config", routeDocument(2+round, service))
		now.Store(&version{service: service, acknowledged: time.Now()})
		w.record.line("version r%d acknowledged: %s service", 2+round, service)
		time.Sleep(darkTime - changeDelay)
		if trouble {
			for _, d := range dark {
				if err := d.restart(syscall.SIGKILL, 0); err != nil {
					return false, err
				}
			}
		}
		time.Sleep(6 * time.Second)
	}
	close(stop)
	time.Sleep(2 * time.Second)
	w.record.line("%d requests went to the old service too late", late.Load())
	return late.Load() > 0, nil
}

// version is the newest version of the document.
type version struct {
	// service is the one that its route goes to.
	service      string
	acknowledged time.Time
}

// callAcross sends reads to a daemon one after the other. It counts those that were
// sent more than configBound after a change, and run by the service of the version
// before it.
func (w *world) callAcross(d *daemon, client int, stop <-chan struct{}, now *atomic.Pointer[version], late *atomic.Int64) {
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
		req.Header.Set("X-Request-Deadline", "1200")
		sent, current := time.Now(), now.Load()
		resp, err := c.Do(req)
		if err != nil {
			w.record.line("request %s to %s: %v", id, d.name, err)
			continue
		}
		_, _ = io.Copy(io.Discard, resp.Body)
		_ = resp.Body.Close()
		w.record.line("request %s to %s answered %d", id, d.name, resp.StatusCode)
		if current.acknowledged.IsZero() || now.Load() != current {
			continue
		}
		after := sent.Sub(current.acknowledged)
		for _, ran := range w.runsOf(id) {
			if after > configBound && d.inTouch(sent) && w.target(ran).service != current.service {
				late.Add(1)
				w.record.line("LATE: request %s was sent to %s %.3f s after the ack, and run by %s of the old service", id, d.name, after.Seconds(), ran)
			}
		}
	}
}
