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

// Runs the binaries as built, with mTLS between them, through what operators
// and failures do to a fleet. It guards against lost document changes, orders
// that run twice or are reported wrongly, and cut uploads. It asserts outcomes
// and counts; waits only have an upper bound.
func TestFleetOfProcesses(t *testing.T) {
	f := startFleet(t)
	f.awaitActive(1, f.instances...)
	f.awaitShards(f.instances...)
	f.awaitKeys(f.instances...)
	steps := []struct {
		name string
		run  func(*testing.T)
	}{
		{"orders", f.testOrders},
		{"replay", f.testReplay},
		{"poison", f.testPoison},
		{"leaving upstream", f.testLeavingUpstream},
		{"document change", f.testChange},
		{"rolling restart", f.testRollingRestart},
		{"platform stops and goes on", f.testPlatformStops},
		{"instance killed", f.testKill},
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

// awaitKeys waits until keyed orders run: a new holder of a shard answers
// "unknown" to keys made before it took the shard or within 2 s after.
func (f *fleet) awaitKeys(instances ...*process) {
	f.t.Helper()
	for _, p := range instances {
		f.await("keys of "+p.zone, func() bool {
			all := newTally()
			for shard := range 2 {
				all.order(http.DefaultClient, p, &shard)
			}
			return len(all.answered) == 2
		})
	}
}

// tally counts what callers were told.
type tally struct {
	mu       sync.Mutex
	answered map[string]bool
	notRun   map[string]bool
	unknown  map[string]bool
	reasons  map[string]int
}

func newTally() *tally {
	return &tally{answered: map[string]bool{}, notRun: map[string]bool{}, unknown: map[string]bool{}, reasons: map[string]int{}}
}

// callers sends orders through the instances for a while; until ends it.
func callers(instances []*process, keyed bool, until <-chan struct{}) *tally {
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
					all.order(client, instances[rand.IntN(len(instances))], shard)
				}
			}
		})
	}
	workers.Wait()
	return all
}

// order sends one order, with a key of the shard if that is not nil.
func (a *tally) order(client *http.Client, p *process, shard *int) {
	id := uuid.Must(uuid.NewV7()).String()
	request, _ := http.NewRequest("POST", "http://"+p.callers+"/orders/new", strings.NewReader(id))
	if shard != nil {
		request.Header.Set("Idempotency-Key", fmt.Sprintf("%s.%d.%s", p.zone, *shard, id))
	}
	// Without GetBody, the caller's client cannot resend by itself.
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
		a.answered[id] = true
	default:
		panic(fmt.Sprintf("order %s got status %d and %q", id, response.StatusCode, body))
	}
}

// checkRuns compares what callers were told with what ran.
func (f *fleet) checkRuns(is *is.I, all *tally) {
	runs := f.runs()
	for id := range all.answered {
		is.Equal(runs[id], 1)
	}
	for id := range all.notRun {
		is.Equal(runs[id], 0)
	}
	for id := range all.unknown {
		is.True(runs[id] <= 1)
	}
}

// during runs action while callers send orders.
func during(instances []*process, keyed bool, action func()) *tally {
	until := make(chan struct{})
	result := make(chan *tally)
	go func() { result <- callers(instances, keyed, until) }()
	time.Sleep(200 * time.Millisecond)
	action()
	time.Sleep(200 * time.Millisecond)
	close(until)
	return <-result
}

func (f *fleet) testOrders(t *testing.T) {
	is := is.New(t)
	for _, keyed := range []bool{false, true} {
		all := during(f.instances, keyed, func() {})
		t.Logf("answered %d, not run %v, unknown %d", len(all.answered), all.reasons, len(all.unknown))
		is.True(len(all.answered) > 0)
		is.Equal(len(all.unknown), 0)
		f.checkRuns(is, all)
	}
	response, err := http.Get("http://" + f.instances[0].callers + entry.LookupPath)
	is.NoErr(err)
	defer response.Body.Close()
	var lookup entry.LookupAnswer
	is.NoErr(json.NewDecoder(response.Body).Decode(&lookup))
	is.Equal(len(lookup.Entries), len(f.instances))
	is.Equal(lookup.Entries[0].Zone, "a1")
}

// send posts a body and returns the response with its body.
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

// testReplay sends one key through all instances, the other region included.
func (f *fleet) testReplay(t *testing.T) {
	is := is.New(t)
	id := uuid.Must(uuid.NewV7()).String()
	for n, p := range f.instances {
		response, body := send(is, p, "/orders/new", "a1.0."+id, id)
		is.Equal(response.Header.Get(upstream.HeaderReason), "")
		is.Equal(body, id)
		is.Equal(response.Header.Get("Idempotency-Replayed") == "true", n > 0)
	}
	is.Equal(f.runs()[id], 1)
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
	is.Equal(f.runs()["poison"], 2)
}

// testLeavingUpstream lets one upstream say on its health endpoint that it is
// leaving; after 3 s no instance may send it work, until it is back.
func (f *fleet) testLeavingUpstream(t *testing.T) {
	is := is.New(t)
	zone := f.instances[:2] // only holders of the zone's shards send it work
	f.upstreams[0].setLeaving(true)
	time.Sleep(3 * time.Second)
	before := f.upstreams[0].count()
	all := during(zone, false, func() {})
	is.True(len(all.answered) > 0)
	is.Equal(f.upstreams[0].count(), before)
	f.upstreams[0].setLeaving(false)
	f.await("work for the upstream", func() bool {
		during(zone, false, func() {})
		return f.upstreams[0].count() > before
	})
}

func (f *fleet) testChange(t *testing.T) {
	is := is.New(t)
	all := during(f.instances, false, func() {
		f.apply(2)
		f.awaitActive(2, f.instances...)
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
		all := during(others, false, func() {
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
		f.awaitActive(2, f.instances...)
	}
	f.awaitShards(f.instances...)
}

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

// testPlatformStops stops the platform's process, which then answers nothing,
// and restarts an instance, which learns the document from its zone.
func (f *fleet) testPlatformStops(t *testing.T) {
	is := is.New(t)
	is.NoErr(f.standin.Process.Signal(syscall.SIGSTOP))
	restarted := f.instances[1]
	all := during([]*process{f.instances[0], f.instances[2], f.instances[3]}, false, func() {
		is.NoErr(restarted.command.Process.Signal(syscall.SIGTERM))
		is.NoErr(restarted.command.Wait())
		f.start(restarted)
		f.awaitActive(2, f.instances...)
	})
	is.True(len(all.answered) > 0)
	is.Equal(len(all.unknown), 0)
	f.checkRuns(is, all)
	is.NoErr(f.standin.Process.Signal(syscall.SIGCONT))
	f.apply(3)
	f.awaitActive(3, f.instances...)
}

func (f *fleet) testKill(t *testing.T) {
	is := is.New(t)
	victim := f.instances[1]
	rest := []*process{f.instances[0], f.instances[2], f.instances[3]}
	all := during(f.instances, true, func() {
		is.NoErr(victim.command.Process.Kill())
		_ = victim.command.Wait()
		f.awaitActive(3, rest...)
		f.await("the death to be seen", func() bool { return len(f.instances[0].status().Peers) == 2 })
	})
	f.checkRuns(is, all)
	is.Equal(len(during(rest, false, func() {}).unknown), 0)
}

// Guards against an exit code or a form of message that scripts rely on.
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

// Guards against a demo that does not become ready, serve and end cleanly.
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
