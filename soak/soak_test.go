package soak

import (
	"bufio"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"pistachioford.example/pistachioford/operate"
)

var (
	seeds  = flag.Int("seeds", 1, "number of seeds to play")
	first  = flag.Uint64("first", 1, "first seed")
	length = flag.Duration("length", 6*time.Second, "time with faults of each seed")
)

func listen() (net.Listener, error) { return net.Listen("tcp4", "127.0.0.1:0") }

// Guards against two soaks on one machine that take each other's addresses:
// their processes then fail to start, or answer for each other.
func TestSoaksDoNotShareAddresses(t *testing.T) {
	var claimed []string
	for range 2 {
		w := &world{}
		if err := w.claimBlock(); err != nil {
			t.Fatal(err)
		}
		defer func() { _ = w.hold.Close() }()
		claimed = append(claimed, w.block)
	}
	if claimed[0] == claimed[1] {
		t.Fatalf("both use %s", claimed[0])
	}
}

// recordedSeeds are those that ever failed.
func recordedSeeds(t *testing.T) []uint64 {
	text, err := os.ReadFile("seeds.txt")
	if err != nil {
		t.Fatal(err)
	}
	var recorded []uint64
	for _, line := range strings.Split(string(text), "\n") {
		number, _, _ := strings.Cut(line, " ")
		if seed, err := strconv.ParseUint(number, 10, 64); err == nil {
			recorded = append(recorded, seed)
		}
	}
	return recorded
}

// Guards the promises to callers while processes, connections and the store
// fail at random.
func TestSoak(t *testing.T) {
	binary := filepath.Join(t.TempDir(), "pistachioford")
	if out, err := exec.Command("go", "build", "-o", binary, "../cmd/pistachioford").CombinedOutput(); err != nil {
		t.Fatalf("build: %v\n%s", err, out)
	}
	all := recordedSeeds(t)
	for i := range *seeds {
		all = append(all, *first+uint64(i))
	}
	for _, seed := range all {
		t.Run(strconv.FormatUint(seed, 10), func(t *testing.T) { play(t, binary, seed) })
	}
}

func play(t *testing.T, binary string, seed uint64) {
	dir, err := os.MkdirTemp("", fmt.Sprintf("soak-%d-", seed))
	if err != nil {
		t.Fatal(err)
	}
	w, err := newWorld(dir, binary)
	if err != nil {
		t.Fatal(err)
	}
	defer func() {
		w.stopAll()
		if t.Failed() {
			t.Logf("logs of seed %d are in %s", seed, dir)
			return
		}
		_ = os.RemoveAll(dir)
	}()
	w.awaitReady(t)
	r := rand.New(rand.NewPCG(seed, 7))
	load := w.startLoad(seed)
	began := time.Now()
	w.playFaults(r, *length, func(what string) { t.Logf("%6.2fs %s", time.Since(began).Seconds(), what) })
	// The users' longest time after the last impairment is 4 s, and 2.5 s for news.
	time.Sleep(7 * time.Second)
	load.stop()
	w.check(t, load)
	w.checkEnd(t)
}

// awaitReady waits until all processes serve.
func (w *world) awaitReady(t *testing.T) {
	t.Helper()
	for end := time.Now().Add(30 * time.Second); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		ready := 0
		for _, d := range w.daemons {
			if status(d, 8640, "/readiness") == http.StatusOK {
				ready++
			}
		}
		if ready == len(w.daemons) {
			return
		}
	}
	t.Fatal("the processes did not get ready")
}

var short = &http.Client{Timeout: time.Second}

// status asks a daemon and returns the status, 0 without an answer.
func status(d *daemon, port int, path string) int {
	request, err := http.NewRequest(http.MethodGet, fmt.Sprintf("http://%s:%d%s", d.address, port, path), nil)
	if err != nil {
		return 0
	}
	request.Host = "h.example"
	response, err := short.Do(request)
	if err != nil {
		return 0
	}
	_ = response.Body.Close()
	return response.StatusCode
}

// asked is one attempt of a caller with its end.
type asked struct {
	id, path   string
	idempotent bool
	status     int
	wrong      string
	at         time.Time
	calm       bool
}

// load is the callers.
type load struct {
	done    chan struct{}
	callers sync.WaitGroup
	mu      sync.Mutex
	all     []asked
}

const callerCount = 16

func (w *world) startLoad(seed uint64) *load {
	l := &load{done: make(chan struct{})}
	for i := range callerCount {
		l.callers.Add(1)
		go func() {
			defer l.callers.Done()
			w.call(l, rand.New(rand.NewPCG(seed, uint64(100+i))), i)
		}()
	}
	return l
}

func (l *load) stop() {
	close(l.done)
	l.callers.Wait()
}

// call keeps one connection as long as it works.
func (w *world) call(l *load, r *rand.Rand, caller int) {
	var conn net.Conn
	var br *bufio.Reader
	for n := 0; ; n++ {
		select {
		case <-l.done:
			if conn != nil {
				_ = conn.Close()
			}
			return
		case <-time.After(time.Duration(r.Int64N(int64(60 * time.Millisecond)))):
		}
		if conn == nil {
			address := w.lookup(r)
			if address == "" {
				continue
			}
			var err error
			if conn, err = net.DialTimeout("tcp4", address, time.Second); err != nil {
				conn = nil
				continue
			}
			br = bufio.NewReader(conn)
		}
		a := asked{id: fmt.Sprintf("c%d-%d", caller, n), at: time.Now(), idempotent: r.IntN(2) == 0, calm: w.calm(5 * time.Second)}
		keep := a.ask(conn, br, r)
		l.mu.Lock()
		l.all = append(l.all, a)
		l.mu.Unlock()
		if !keep {
			_ = conn.Close()
			conn = nil
		}
	}
}

func (w *world) lookup(r *rand.Rand) string {
	d := w.daemons[r.IntN(len(w.daemons))]
	response, err := short.Get(fmt.Sprintf("http://%s:8644/resolve?name=h.example&region=r%s&zone=%s", d.address, d.zone, d.zone))
	if err != nil {
		return ""
	}
	defer func() { _ = response.Body.Close() }()
	var answer struct{ Addresses []string }
	if json.NewDecoder(response.Body).Decode(&answer) != nil || len(answer.Addresses) == 0 {
		return ""
	}
	return answer.Addresses[r.IntN(len(answer.Addresses))]
}

// ask sends one request and checks its answer. It returns whether the
// connection can be kept.
func (a *asked) ask(conn net.Conn, br *bufio.Reader, r *rand.Rand) bool {
	method, body := "GET", ""
	a.path = fmt.Sprintf("/read/%d", r.IntN(20))
	if !a.idempotent {
		method, a.path, body = "POST", "/order/"+a.id, strings.Repeat("x", r.IntN(40_000))
	}
	_ = conn.SetDeadline(time.Now().Add(4 * time.Second))
	_, err := fmt.Fprintf(conn, "%s %s HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: %s\r\nX-Request-Deadline: 2000\r\n"+
		"Cookie: X-Affinity-Key=%d\r\nContent-Length: %d\r\n\r\n%s", method, a.path, a.id, r.IntN(20), len(body), body)
	if err != nil {
		return false
	}
	response, err := http.ReadResponse(br, nil)
	if err != nil {
		return false
	}
	answer, err := io.ReadAll(response.Body)
	a.status = response.StatusCode
	switch {
	case a.status < 300 && err != nil:
		a.wrong = "a success with a body that is not whole: " + err.Error()
	case a.status < 300 && string(answer) != a.id+" "+a.path:
		a.wrong = fmt.Sprintf("a success with the body %q", answer)
	case a.status < 300 && response.Header.Get("X-Server-Seal") != "mac-"+a.id:
		a.wrong = "a success without the MAC of its answer"
	case a.status < 300 && response.Header.Get("X-Request-Id") != a.id:
		a.wrong = "an answer of request " + response.Header.Get("X-Request-Id")
	case a.status == http.StatusNotFound:
		a.wrong = "404 for a route of every document"
	}
	return err == nil && !response.Close
}

// check holds the promises against what callers and targets saw.
func (w *world) check(t *testing.T, l *load) {
	w.mu.Lock()
	defer w.mu.Unlock()
	served, calm, calmServed := 0, 0, 0
	for _, a := range l.all {
		runs := w.runs[a.id]
		switch {
		case a.wrong != "":
			w.fail(t, a, a.wrong)
		case !a.idempotent && runs > 1:
			w.fail(t, a, fmt.Sprintf("ran %d times", runs))
		case !a.idempotent && runs > 0 && promisesNotRun(a.status):
			w.fail(t, a, fmt.Sprintf("was answered %d and ran", a.status))
		}
		if a.status == http.StatusOK {
			served++
		}
		if a.calm {
			calm++
			if a.status == http.StatusOK {
				calmServed++
			}
		}
	}
	t.Logf("%d requests, %d served; after the faults %d of %d", len(l.all), served, calmServed, calm)
	if calm < 20 || calmServed*100 < calm*99 {
		t.Errorf("after the faults %d of %d requests were served, bound 99 in 100 of at least 20", calmServed, calm)
	}
}

// promisesNotRun tells whether a status says that the request never runs.
func promisesNotRun(status int) bool {
	switch status {
	case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	}
	return false
}

// fail reports a broken promise with what the logs say of the request.
func (w *world) fail(t *testing.T, a asked, what string) {
	t.Errorf("request %s (%s): %s", a.id, a.path, what)
	var files []string
	for _, d := range w.daemons {
		files = append(files, d.log.Name())
	}
	story, err := operate.Explain(a.id, files)
	if err != nil {
		t.Log(err)
		return
	}
	for _, line := range story.Lines {
		t.Logf("  %s: %s", line.File, line.Text)
	}
}

// checkEnd holds that all instances are back, use the newest document and name
// each other.
func (w *world) checkEnd(t *testing.T) {
	for _, d := range w.daemons {
		if got := status(d, 8640, "/readiness"); got != http.StatusOK {
			t.Errorf("%s: readiness is %d after the faults", d.name, got)
		}
		if got := status(d, 8641, fmt.Sprintf("/v%d/x", w.version)); got == http.StatusNotFound {
			t.Errorf("%s: version %d of the document is not active", d.name, w.version)
		}
	}
}
