package main_test

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os/exec"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/google/uuid"
	"github.com/matryer/is"

	"pistachioford.example/pistachioford/entry"
	"pistachioford.example/pistachioford/upstream"
)

// Runs the built binaries with mTLS through operations and failures of a fleet.
// Guards against lost document changes, orders that run twice or are reported
// wrongly, and aborted uploads. It checks outcomes and counts; waits only have
// an upper bound.
func TestFleetOfProcesses(t *testing.T) {
	f := startFleet(t)
	f.awaitRevision(1, f.instances...)
	f.awaitShards(f.instances...)
	f.awaitKeysAccepted(f.instances...)
	steps := []struct {
		name string
		run  func(*testing.T)
	}{
		{"orders", f.testOrders},
		{"replay", f.testReplay},
		{"poison", f.testPoison},
		{"leaving upstream", f.testLeavingUpstream},
		{"document change", f.testDocumentChange},
		{"rolling restart", f.testRollingRestart},
		{"platform paused and resumed", f.testPlatformPaused},
		{"instance killed", f.testInstanceKilled},
	}
	for _, step := range steps {
		if !t.Run(step.name, step.run) {
			return
		}
	}
}

// awaitShards waits until the instances hold all shards of their zones.
func (f *fleet) awaitShards(instances ...*process) {
	f.t.Helper()
	f.await("shards", func() bool {
		held := map[string]int{}
		for _, p := range instances {
			held[p.zone] += len(p.status().Shards)
		}
		return held["a1"] == 2 && held["a2"] == 2 && held["b1"] == 2
	})
}

// awaitKeysAccepted waits until keyed orders run. A new holder of a shard
// responds with "unknown" to keys that were made before it took the shard or
// within 2 s after.
func (f *fleet) awaitKeysAccepted(instances ...*process) {
	f.t.Helper()
	for _, p := range instances {
		f.await("keys of "+p.zone, func() bool {
			all := newTally()
			for shard := range 2 {
				all.sendOrder(http.DefaultClient, p, &shard)
			}
			return len(all.responded) == 2
		})
	}
}

// tally records the outcomes that callers received, by order.
type tally struct {
	mu        sync.Mutex
	responded map[string]bool
	notRun    map[string]bool
	unknown   map[string]bool
	reasons   map[string]int
}

func newTally() *tally {
	return &tally{responded: map[string]bool{}, notRun: map[string]bool{}, unknown: map[string]bool{}, reasons: map[string]int{}}
}

// sendOrders sends orders through the instances, with 8 workers, until the
// channel until is closed.
func sendOrders(instances []*process, keyed bool, until <-chan struct{}) *tally {
	all := newTally()
	var workers sync.WaitGroup
	for range 8 {
		workers.Go(func() {
			client := &http.Client{Transport: &http.Transport{}, Timeout: 10 * time.Second}
			for {
				select {
				case <-until:
					return
				default:
					var shard *int
					if keyed {
						shard = new(int)
						*shard = rand.IntN(2)
					}
					all.sendOrder(client, instances[rand.IntN(len(instances))], shard)
				}
			}
		})
	}
	workers.Wait()
	return all
}

// sendOrder sends one order, with an idempotency key of the shard unless shard is
// nil, and records the outcome.
func (a *tally) sendOrder(client *http.Client, p *process, shard *int) {
	id := uuid.Must(uuid.NewV7()).String()
	request, _ := http.NewRequest("POST", "http://"+p.callers+"/orders/new", strings.NewReader(id))
	if shard != nil {
		request.Header.Set("Idempotency-Key", fmt.Sprintf("%s.%d.%s", p.zone, *shard, id))
	}
	// Without GetBody, net/http cannot resend the request by itself.
	request.GetBody = nil
	response, err := client.Do(request)
	a.mu.Lock()
	defer a.mu.Unlock()
	if err != nil {
		a.unknown[id] = true
		return
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	switch {
	case err != nil, response.Header.Get(upstream.HeaderOutcome) == upstream.OutcomeUnknown:
		a.unknown[id] = true
	case response.Header.Get(upstream.HeaderOutcome) == upstream.OutcomeNotRun:
		a.notRun[id] = true
		a.reasons[response.Header.Get(upstream.HeaderReason)]++
	case response.StatusCode == 200 && string(body) == id:
		a.responded[id] = true
	default:
		panic(fmt.Sprintf("order %s got status %d and %q", id, response.StatusCode, body))
	}
}

// checkRuns compares the outcomes that callers received with the runs on the
// upstreams.
func (f *fleet) checkRuns(is *is.I, all *tally) {
	runs := f.runsByOrder()
	for id := range all.responded {
		is.Equal(runs[id], 1)
	}
	for id := range all.notRun {
		is.Equal(runs[id], 0)
	}
	for id := range all.unknown {
		is.True(runs[id] <= 1)
	}
}

// sendOrdersDuring sends orders while action runs, and for 200 ms before and
// after it.
func sendOrdersDuring(instances []*process, keyed bool, action func()) *tally {
	until := make(chan struct{})
	result := make(chan *tally)
	go func() { result <- sendOrders(instances, keyed, until) }()
	time.Sleep(200 * time.Millisecond)
	action()
	time.Sleep(200 * time.Millisecond)
	close(until)
	return <-result
}

func (f *fleet) testOrders(t *testing.T) {
	is := is.New(t)
	for _, keyed := range []bool{false, true} {
		all := sendOrdersDuring(f.instances, keyed, func() {})
		t.Logf("responded %d, not run %v, unknown %d", len(all.responded), all.reasons, len(all.unknown))
		is.True(len(all.responded) > 0)
		is.Equal(len(all.unknown), 0)
		f.checkRuns(is, all)
	}
	response, err := http.Get("http://" + f.instances[0].callers + entry.LookupPath)
	is.NoErr(err)
	defer response.Body.Close()
	var lookup entry.LookupResponse
	is.NoErr(json.NewDecoder(response.Body).Decode(&lookup))
	is.Equal(len(lookup.Entries), len(f.instances))
	is.Equal(lookup.Entries[0].Zone, "a1")
}

// send posts a body and returns the response and the text of its body.
func send(is *is.I, p *process, path, key, body string) (*http.Response, string) {
	request, err := http.NewRequest("POST", "http://"+p.callers+path, strings.NewReader(body))
	is.NoErr(err)
	if key != "" {
		request.Header.Set("Idempotency-Key", key)
	}
	response, err := http.DefaultClient.Do(request)
	is.NoErr(err)
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	is.NoErr(err)
	return response, string(text)
}

// testReplay sends one idempotency key through all instances, including that of
// the other region.
func (f *fleet) testReplay(t *testing.T) {
	is := is.New(t)
	id := uuid.Must(uuid.NewV7()).String()
	for n, p := range f.instances {
		response, body := send(is, p, "/orders/new", "a1.0."+id, id)
		is.Equal(response.Header.Get(upstream.HeaderReason), "")
		is.Equal(body, id)
		is.Equal(response.Header.Get("Idempotency-Replayed") == "true", n > 0)
	}
	is.Equal(f.runsByOrder()[id], 1)
}

// testPoison resends a request that crashes each upstream that runs it.
func (f *fleet) testPoison(t *testing.T) {
	is := is.New(t)
	region := f.instances[:3]
	var outcomes []string
	for n := range 6 {
		response, _ := send(is, region[n%len(region)], "/orders/crash", "", "poison")
		outcomes = append(outcomes, response.Header.Get(upstream.HeaderOutcome))
	}
	is.Equal(outcomes, []string{"unknown", "unknown", "not-run", "not-run", "not-run", "not-run"})
	is.Equal(f.runsByOrder()["poison"], 2)
}

// testLeavingUpstream lets one upstream report on its health endpoint that it is
// leaving. After 3 s no instance may send it work until it reports otherwise.
func (f *fleet) testLeavingUpstream(t *testing.T) {
	is := is.New(t)
	zone := f.instances[:2] // only holders of the zone's shards send it work
	f.upstreams[0].setLeaving(true)
	time.Sleep(3 * time.Second)
	before := f.upstreams[0].totalRuns()
	all := sendOrdersDuring(zone, false, func() {})
	is.True(len(all.responded) > 0)
	is.Equal(f.upstreams[0].totalRuns(), before)
	f.upstreams[0].setLeaving(false)
	f.await("work for the upstream", func() bool {
		sendOrdersDuring(zone, false, func() {})
		return f.upstreams[0].totalRuns() > before
	})
}

func (f *fleet) testDocumentChange(t *testing.T) {
	is := is.New(t)
	all := sendOrdersDuring(f.instances, false, func() {
		f.applyDocument(2)
		f.awaitRevision(2, f.instances...)
	})
	is.Equal(len(all.unknown), 0)
	f.checkRuns(is, all)
}

// testRollingRestart restarts one instance after another while an upload to it
// is half sent and orders go to the others.
func (f *fleet) testRollingRestart(t *testing.T) {
	for i, p := range f.instances {
		is := is.New(t)
		size := 1000 + i*200_000
		conn, rest, request := halfUpload(is, p, size)
		others := append(append([]*process{}, f.instances[:i]...), f.instances[i+1:]...)
		all := sendOrdersDuring(others, false, func() {
			is.NoErr(p.command.Process.Signal(syscall.SIGTERM))
			f.await("the instance to leave", func() bool { return !reachable(p.callers) })
			_, err := conn.Write(rest)
			is.NoErr(err)
			response, err := http.ReadResponse(bufio.NewReader(conn), request)
			is.NoErr(err)
			body, err := io.ReadAll(response.Body)
			is.NoErr(err)
			is.Equal(response.StatusCode, 200)
			is.Equal(string(body), fmt.Sprint(size))
			is.NoErr(p.command.Wait()) // exit code 0
		})
		f.checkRuns(is, all)
		is.Equal(len(all.unknown), 0)
		f.start(p)
		f.awaitRevision(2, f.instances...)
	}
	f.awaitShards(f.instances...)
}

// halfUpload sends the request of an upload without the second half of its body.
// It returns the connection, the rest of the request and the request.
func halfUpload(is *is.I, p *process, size int) (net.Conn, []byte, *http.Request) {
	request, err := http.NewRequest("POST", "http://"+p.callers+"/uploads/x", bytes.NewReader(make([]byte, size)))
	is.NoErr(err)
	var wire bytes.Buffer
	is.NoErr(request.Write(&wire))
	conn, err := net.Dial("tcp", p.callers)
	is.NoErr(err)
	half := wire.Len() - size/2
	_, err = conn.Write(wire.Bytes()[:half])
	is.NoErr(err)
	return conn, wire.Bytes()[half:], request
}

// testPlatformPaused pauses the platform's process, so that it sends no responses,
// and restarts an instance, which must get the document from its zone.
func (f *fleet) testPlatformPaused(t *testing.T) {
	is := is.New(t)
	is.NoErr(f.standin.Process.Signal(syscall.SIGSTOP))
	restarted := f.instances[1]
	all := sendOrdersDuring([]*process{f.instances[0], f.instances[2], f.instances[3]}, false, func() {
		is.NoErr(restarted.command.Process.Signal(syscall.SIGTERM))
		is.NoErr(restarted.command.Wait())
		f.start(restarted)
		f.awaitRevision(2, f.instances...)
	})
	is.True(len(all.responded) > 0)
	is.Equal(len(all.unknown), 0)
	f.checkRuns(is, all)
	is.NoErr(f.standin.Process.Signal(syscall.SIGCONT))
	f.applyDocument(3)
	f.awaitRevision(3, f.instances...)
}

func (f *fleet) testInstanceKilled(t *testing.T) {
	is := is.New(t)
	killed := f.instances[1]
	survivors := []*process{f.instances[0], f.instances[2], f.instances[3]}
	all := sendOrdersDuring(f.instances, true, func() {
		is.NoErr(killed.command.Process.Kill())
		_ = killed.command.Wait()
		f.awaitRevision(3, survivors...)
		f.await("the killed instance to leave the list of peers", func() bool { return len(f.instances[0].status().Peers) == 2 })
	})
	f.checkRuns(is, all)
	is.Equal(len(sendOrdersDuring(survivors, false, func() {}).unknown), 0)
}

// Guards against changes of the exit code and the message format for bad
// settings, on which scripts rely.
func TestBadSettings(t *testing.T) {
	is := is.New(t)
	f := &fleet{t: t, dir: t.TempDir()}
	f.build()
	f.write("bad.toml", "instance = \"x\"\nzone = 7\n")
	for _, args := range [][]string{{"check-settings", f.path("bad.toml")}, {"run", "--settings", f.path("bad.toml")}} {
		output, err := exec.Command(f.path("pistachioford"), args...).CombinedOutput()
		exit, ok := err.(*exec.ExitError)
		is.True(ok)
		is.Equal(exit.ExitCode(), 2)
		is.True(strings.Contains(string(output), f.path("bad.toml")+":2: zone: "))
	}
}

// Guards against a demo that does not become ready, does not serve or does not
// exit cleanly.
func TestDemo(t *testing.T) {
	is := is.New(t)
	f := &fleet{t: t, dir: t.TempDir()}
	f.build()
	demo := exec.Command(f.path("pistachioford"), "demo")
	output, err := demo.StdoutPipe()
	is.NoErr(err)
	is.NoErr(demo.Start())
	defer demo.Process.Kill()
	line, err := bufio.NewReader(output).ReadString('\n')
	is.NoErr(err)
	urls := map[string]string{}
	for _, field := range strings.Fields(line) {
		key, value, _ := strings.Cut(field, "=")
		urls[key] = value
	}
	is.Equal(urls["event"], "ready")
	for _, key := range []string{"lookup", "example"} {
		response, err := http.Get(urls[key])
		is.NoErr(err)
		response.Body.Close()
		is.Equal(response.StatusCode, 200)
	}
	is.NoErr(demo.Process.Signal(syscall.SIGTERM))
	is.NoErr(demo.Wait())
}
