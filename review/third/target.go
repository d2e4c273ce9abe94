package main

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"
)

// target is a server of a service. It registers itself in the store.
type target struct {
	world             *world
	id, service, zone string
	address           string
	born              int64
	sequence          atomic.Int64
	server            *http.Server
	work              time.Duration
	// removedAt is when the store had dropped the target's entry, in Unix
	// nanoseconds, 0 before.
	removedAt atomic.Int64
}

func (w *world) addTarget(id, service, zone string, work time.Duration) (*target, error) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	t := &target{world: w, id: id, service: service, zone: zone, address: listener.Addr().String(), born: time.Now().UnixMilli(), work: work}
	t.server = &http.Server{Handler: t}
	go func() { _ = t.server.Serve(listener) }()
	w.mu.Lock()
	w.targets[id] = t
	w.mu.Unlock()
	t.report("ready")
	return t, nil
}

// report writes the target's entry.
func (t *target) report(state string) {
	t.world.store.Put("servers", t.id, fmt.Appendf(nil,
		`{"address":%q,"born":%d,"info":{"service":%q,"zone":%q,"version":"v1","capacity":3},"status":{"state":%q,"seq":%d,"cold_left":"0ms"}}`,
		t.address, t.born, t.service, t.zone, state, t.sequence.Add(1)))
}

// leave removes the target's entry without a draining report. The target goes on
// serving for a time, and ends then.
func (t *target) leave(serves time.Duration) {
	t.world.store.Remove("servers", t.id)
	t.removedAt.Store(time.Now().UnixNano())
	t.world.record.line("target %s: entry removed", t.id)
	time.AfterFunc(serves, func() {
		t.stop()
		t.world.record.line("target %s ended", t.id)
	})
}

func (t *target) stop() { _ = t.server.Close() }

func (t *target) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Request-Id")
	rw.Header().Set("X-Request-Id", id)
	if expected := r.Header.Get("X-Expect-Instance"); expected != "" && expected != t.id {
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if r.URL.Path == "/health" {
		rw.Header().Set("X-Instance-Id", t.id)
		return
	}
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	t.world.recordRun(t, id)
	time.Sleep(t.work)
	rw.Header().Set("X-Server-Seal", "mac-"+id)
	rw.Header().Set("X-Server-Load", "1,0,3")
	rw.Header().Set("Keep-Alive", "timeout=10")
	if size, err := strconv.Atoi(r.URL.Query().Get("bytes")); err == nil {
		rw.Header().Set("Content-Length", strconv.Itoa(size))
		_, _ = rw.Write(bytes.Repeat([]byte("x"), size))
		return
	}
	_, _ = io.WriteString(rw, "body of "+id)
}

func (w *world) recordRun(t *target, id string) {
	w.mu.Lock()
	w.runs[id] = append(w.runs[id], t.id)
	w.mu.Unlock()
	w.record.line("request %s runs at %s", id, t.id)
}

func (w *world) runsOf(id string) []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.runs[id]
}

func (w *world) target(id string) *target {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.targets[id]
}
