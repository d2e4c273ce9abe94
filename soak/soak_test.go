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

	"pistachioford.example/pistachioford/linger/lingertest"
	"pistachioford.example/pistachioford/operate"
)

var (
	seedCount = flag.Int("seeds", 2, "number of seeds to run")
	firstSeed = flag.Uint64("first", 1, "first seed")
	faultTime = flag.Duration("length", 6*time.Second, "time during which faults are injected, per seed")
)

func listen() (net.Listener, error) { return net.Listen("tcp4", "127.0.0.1:0") }

// Guards against two soak tests on one machine that use the same addresses:
// their daemons would fail to start or serve each other's requests.
func TestSoaksDoNotShareAddresses(t *testing.T) {
	var blocks []string
	for range 2 {
		c := &cluster{}
		if err := c.claimBlock(); err != nil {
			t.Fatal(err)
		}
		defer func() { _ = c.blockClaim.Close() }()
		blocks = append(blocks, c.addressBlock)
	}
	if blocks[0] == blocks[1] {
		t.Fatalf("both soak tests use block %s", blocks[0])
	}
}

// recordedSeeds returns the seeds in seeds.txt, which have failed before.
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

// Checks the guarantees to callers while daemons, connections and the store fail
// at random.
func TestSoak(t *testing.T) {
	binary := filepath.Join(t.TempDir(), "pistachioford")
	if out, err := exec.Command("go", "build", "-o", binary, "../cmd/pistachioford").CombinedOutput(); err != nil {
		t.Fatalf("go build failed: %v\n%s", err, out)
	}
	toRun := recordedSeeds(t)
	for i := range *seedCount {
		toRun = append(toRun, *firstSeed+uint64(i))
	}
	for _, seed := range toRun {
		t.Run(strconv.FormatUint(seed, 10), func(t *testing.T) { runSeed(t, binary, seed) })
	}
}

// runSeed starts a cluster, puts it under load, injects the faults of a seed
// and checks the guarantees.
func runSeed(t *testing.T, binary string, seed uint64) {
	dir, err := os.MkdirTemp("", fmt.Sprintf("soak-%d-", seed))
	if err != nil {
		t.Fatal(err)
	}
	c, err := newCluster(dir, binary, seed)
	if err != nil {
		t.Fatal(err)
	}
	defer func() {
		c.stopAll()
		c.checkLogs(t)
		if t.Failed() {
			t.Logf("logs of seed %d are in %s", seed, dir)
			return
		}
		_ = os.RemoveAll(dir)
	}()
	c.awaitReady(t)
	c.silentCrashes = seed%2 == 0
	r := rand.New(rand.NewPCG(seed, 7))
	load := c.startLoad(seed)
	load.callers.Go(func() { c.sendPoison(load, rand.New(rand.NewPCG(seed, 50))) })
	load.callers.Go(func() { logStalls(t, load) })
	began := time.Now()
	c.injectFaults(r, *faultTime, func(name string) { t.Logf("%6.2fs %s", time.Since(began).Seconds(), name) })
	// The requirements allow at most 4 s to recover after the last fault and
	// 2.5 s to propagate changes.
	if c.hasAccounts() {
		quiet := rand.New(rand.NewPCG(seed, 61))
		c.replaceKey(quiet)
		c.checkLoweredCap(t, quiet)
	} else {
		time.Sleep(7 * time.Second)
	}
	load.stop()
	c.checkAttempts(t, load)
	if c.hasAccounts() {
		c.checkCap(t)
		c.checkKeys(t)
	}
	c.checkFinalState(t)
	c.checkPoison(t)
}

// logStalls logs when this process, which also runs the targets and the store,
// did not get to run for a while: on a busy machine this explains failures.
func logStalls(t *testing.T, l *load) {
	const interval, longest = 100 * time.Millisecond, 500 * time.Millisecond
	for {
		before := time.Now()
		select {
		case <-l.done:
			return
		case <-time.After(interval):
		}
		if stall := time.Since(before) - interval; stall > longest {
			t.Logf("%s the soak itself stalled for %v", time.Now().Format(time.TimeOnly), stall)
		}
	}
}

// poisonInterval is the time between two copies of the poison request.
const poisonInterval = 300 * time.Millisecond

// sendPoison sends copies of a request that crashes servers to random daemons
// until the load is stopped.
func (c *cluster) sendPoison(l *load, r *rand.Rand) {
	for n := 0; ; n++ {
		select {
		case <-l.done:
			return
		case <-time.After(poisonInterval):
			c.postPoison(c.daemons[r.IntN(len(c.daemons))], fmt.Sprintf("p-%d", n))
		}
	}
}

// postPoison sends a copy of the request to a daemon. It returns the HTTP status,
// or 0 if there is no response.
func (c *cluster) postPoison(d *daemon, id string) int {
	request, err := http.NewRequest(http.MethodPost, fmt.Sprintf("http://%s:8641%s", d.address, poisonPath), strings.NewReader("x"))
	if err != nil {
		return 0
	}
	request.Host = "h.example"
	request.Header.Set("X-Request-Id", id)
	request.Header.Set("X-Request-Deadline", "1000")
	c.authorizePoison(request, id)
	response, err := httpClient.Do(request)
	if err != nil {
		return 0
	}
	_ = response.Body.Close()
	return response.StatusCode
}

// maxLateCrashes is how many servers a poison request may reach after the whole
// fleet had time to learn of it.
const maxLateCrashes = 3

// checkPoison checks that all daemons refuse the poison request, also those that
// have started again since it crashed servers.
func (c *cluster) checkPoison(t *testing.T) {
	crashes := func() int {
		c.mu.Lock()
		defer c.mu.Unlock()
		return c.crashes
	}
	before := crashes()
	for n := range 5 {
		for _, d := range c.daemons {
			status := c.postPoison(d, fmt.Sprintf("late-%s-%d", d.name, n))
			if n == 4 && status != http.StatusServiceUnavailable {
				t.Errorf("%s: status %d for a request that crashes servers", d.name, status)
			}
		}
	}
	t.Logf("poison requests crashed %d servers, %d of them after the faults", before, crashes()-before)
	if late := crashes() - before; late > maxLateCrashes {
		t.Errorf("%d servers crashed after the faults", late)
	}
}

// awaitReady waits until all daemons report that they are ready.
func (c *cluster) awaitReady(t *testing.T) {
	t.Helper()
	for end := time.Now().Add(30 * time.Second); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		ready := 0
		for _, d := range c.daemons {
			if getStatus(d, 8640, "/readiness") == http.StatusOK {
				ready++
			}
		}
		if ready == len(c.daemons) {
			return
		}
	}
	t.Fatal("the daemons did not become ready within 30 s")
}

var httpClient = &http.Client{Timeout: time.Second}

// getStatus sends a GET request to a daemon. fields are pairs of names and values. It returns the HTTP status, or 0 if
// there is no response.
func getStatus(d *daemon, port int, path string, fields ...string) int {
	request, err := http.NewRequest(http.MethodGet, fmt.Sprintf("http://%s:%d%s", d.address, port, path), nil)
	if err != nil {
		return 0
	}
	request.Host = "h.example"
	for i := 0; i < len(fields); i += 2 {
		request.Header.Set(fields[i], fields[i+1])
	}
	response, err := httpClient.Do(request)
	if err != nil {
		return 0
	}
	_ = response.Body.Close()
	return response.StatusCode
}

// attempt is one request of a caller and its outcome.
type attempt struct {
	id, path   string
	idempotent bool
	// status is the HTTP status, or 0 without a response.
	status int
	// err is why the response was not read in full.
	err error
	// violation says what is wrong with the response, empty if nothing is.
	violation string
	at        time.Time
	// faultFree is set if no fault was active in the 5 s before the request, and
	// neither its caller nor its account is a reason not to serve it.
	faultFree bool
	// account is that of the caller, empty if the document has none. key is what
	// the request presents, nil for none. public is set if it needs none.
	account string
	key     *clientKey
	public  bool
	// bulk is set if the response is large.
	bulk bool
	// mustRefuse is set if the request must not be served.
	mustRefuse bool
}

// load runs the callers and records their attempts.
type load struct {
	done     chan struct{}
	callers  sync.WaitGroup
	mu       sync.Mutex
	attempts []*attempt
}

const callerCount, pipeliningCallerCount, slowCallerCount = 16, 3, 3

// caller sends requests on a connection of its own until done is closed. It
// reuses the connection as long as the connection works.
type caller struct {
	name string
	// account is used if the document has accounts.
	account string
	// pause is the longest time between a response and the next request.
	pause time.Duration
	// pipelines is set if the caller sends several requests at once.
	pipelines bool
	// slow is set if the caller keeps several requests outstanding and reads slowly.
	slow bool
	// floods is set if the requests count towards no rate of served requests.
	floods bool
	done   <-chan struct{}
}

func (c *cluster) startLoad(seed uint64) *load {
	l := &load{done: make(chan struct{})}
	c.load = l
	start := func(stream int, who caller) {
		l.callers.Go(func() { c.runCaller(l, rand.New(rand.NewPCG(seed, uint64(stream))), who) })
	}
	for i := range callerCount {
		start(100+i, caller{name: fmt.Sprintf("c%d", i), account: accountNames[i%len(accountNames)], pause: 60 * time.Millisecond, done: l.done})
	}
	for i := range pipeliningCallerCount {
		start(200+i, caller{name: fmt.Sprintf("pipe%d", i), account: accountNames[i%len(accountNames)], pause: 200 * time.Millisecond, pipelines: true, done: l.done})
	}
	for i := range slowCallerCount {
		start(220+i, caller{name: fmt.Sprintf("slow%d", i), account: accountNames[i%len(accountNames)], pause: 200 * time.Millisecond, slow: true, done: l.done})
	}
	return l
}

func (l *load) stop() {
	close(l.done)
	l.callers.Wait()
}

func (c *cluster) runCaller(l *load, r *rand.Rand, who caller) {
	var conn net.Conn
	var reader *bufio.Reader
	for n := 0; ; n++ {
		select {
		case <-who.done:
			if conn != nil {
				_ = conn.Close()
			}
			return
		case <-time.After(time.Duration(r.Int64N(int64(who.pause)))):
		}
		if conn == nil {
			address := c.lookupAddress(r)
			if address == "" {
				continue
			}
			var err error
			if conn, err = who.dial(address); err != nil {
				conn = nil
				continue
			}
			reader = bufio.NewReader(conn)
			if who.slow {
				reader = bufio.NewReader(lingertest.SlowReader{Conn: conn, Rate: slowRate})
			}
		}
		var attempts []*attempt
		var keep bool
		if who.slow {
			attempts, keep = c.exchangeSlowly(conn, reader, r, who, n)
		} else {
			attempts = c.newAttempts(r, who, n)
			keep = c.exchange(conn, reader, r, who, attempts)
		}
		l.mu.Lock()
		l.attempts = append(l.attempts, attempts...)
		l.mu.Unlock()
		if !keep {
			_ = conn.Close()
			conn = nil
		}
	}
}

// newAttempts returns the requests that a caller sends next at once.
func (c *cluster) newAttempts(r *rand.Rand, who caller, n int) []*attempt {
	faultFree := c.faultFreeFor(5*time.Second) && !who.floods
	if !who.pipelines {
		return []*attempt{{id: fmt.Sprintf("%s-%d", who.name, n), at: time.Now(), idempotent: r.IntN(2) == 0, faultFree: faultFree}}
	}
	attempts := make([]*attempt, 2+r.IntN(5))
	for i := range attempts {
		attempts[i] = &attempt{id: fmt.Sprintf("%s-%d.%d", who.name, n, i), at: time.Now(), idempotent: true, faultFree: faultFree}
	}
	return attempts
}

// lookupAddress asks a random daemon for the addresses of the instances and
// returns a random one of them, or an empty string.
func (c *cluster) lookupAddress(r *rand.Rand) string {
	d := c.daemons[r.IntN(len(c.daemons))]
	response, err := httpClient.Get(fmt.Sprintf("http://%s:8644/resolve?name=h.example&region=r%s&zone=%s", d.address, d.zone, d.zone))
	if err != nil {
		return ""
	}
	defer func() { _ = response.Body.Close() }()
	var decoded struct{ Addresses []string }
	if json.NewDecoder(response.Body).Decode(&decoded) != nil || len(decoded.Addresses) == 0 {
		return ""
	}
	return decoded.Addresses[r.IntN(len(decoded.Addresses))]
}

// exchange sends requests at once, then reads and checks the responses in the
// same order. It reports whether the connection can be reused. A caller that
// pipelines closes one connection in ten before it has read all responses.
func (c *cluster) exchange(conn net.Conn, reader *bufio.Reader, r *rand.Rand, who caller, attempts []*attempt) bool {
	var text strings.Builder
	for _, a := range attempts {
		a.encode(&text, r, func() string { return c.authorize(a, r, who.account) })
	}
	readCount := len(attempts)
	if len(attempts) > 1 && r.IntN(10) == 0 {
		readCount = r.IntN(len(attempts))
	}
	_ = conn.SetDeadline(time.Now().Add(4 * time.Second))
	if _, err := io.WriteString(conn, text.String()); err != nil {
		return false
	}
	for i, a := range attempts[:readCount] {
		_ = conn.SetDeadline(time.Now().Add(4 * time.Second))
		complete, closing := a.receive(reader)
		if a.violation == "" {
			a.violation = c.checkAccount(a)
		}
		if !complete {
			return false
		}
		if closing {
			// The requests behind count as not read; the caller would send them
			// again.
			ignoreOutcome(attempts[i+1:])
			if len(attempts) > 1 {
				a.expectEnd(conn, reader)
			}
			return false
		}
	}
	if readCount < len(attempts) {
		ignoreOutcome(attempts[readCount:])
		_ = conn.Close()
		c.recordCancelled(attempts[readCount:])
		return false
	}
	return true
}

// ignoreOutcome marks requests that need not be served.
func ignoreOutcome(attempts []*attempt) {
	for _, a := range attempts {
		a.faultFree = false
	}
}

// expectEnd checks that no response follows one that closes the connection.
func (a *attempt) expectEnd(conn net.Conn, reader *bufio.Reader) {
	_ = conn.SetDeadline(time.Now().Add(500 * time.Millisecond))
	if _, err := reader.ReadByte(); err == nil {
		a.violation = "bytes follow the response that closes the connection"
	}
}

// encode chooses the remaining parts of the request and writes it. authorize
// returns further fields and may change the path.
func (a *attempt) encode(text *strings.Builder, r *rand.Rand, authorize func() string) {
	method, body := "GET", ""
	a.path = fmt.Sprintf("/read/%d", r.IntN(20))
	if a.bulk {
		a.path += bulkSuffix
	}
	if !a.idempotent {
		method, a.path, body = "POST", "/order/"+a.id, strings.Repeat("x", r.IntN(40_000))
	}
	fields := authorize()
	_, _ = fmt.Fprintf(text, "%s %s HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: %s\r\nX-Request-Deadline: 2000\r\n%s"+
		"Cookie: X-Affinity-Key=%d\r\nContent-Length: %d\r\n\r\n%s", method, a.path, a.id, fields, r.IntN(20), len(body), body)
}

// receive reads the response and checks it. It reports whether the response is
// complete and whether it closes the connection.
func (a *attempt) receive(reader *bufio.Reader) (complete, closing bool) {
	response, err := http.ReadResponse(reader, nil)
	if err != nil {
		a.err = err
		return false, false
	}
	content, err := io.ReadAll(response.Body)
	a.status, a.err = response.StatusCode, err
	id := response.Header.Get("X-Request-Id")
	switch {
	case a.status < 300 && err != nil:
		a.violation = "successful response with an incomplete body: " + err.Error()
	case a.status < 300 && string(content) != responseBody(a.id, a.path):
		a.violation = fmt.Sprintf("successful response with the wrong body %q", content)
	case a.status < 300 && response.Header.Get("X-Server-Seal") != "mac-"+a.id:
		a.violation = "successful response without the MAC of its body"
	case id != a.id && (a.status < 300 || id != ""):
		a.violation = "response to another request: " + id
	case a.status == http.StatusNotFound:
		a.violation = "404 for a route that every document version has"
	}
	return err == nil, response.Close
}

// checkAttempts checks what callers and servers recorded against the guarantees.
func (c *cluster) checkAttempts(t *testing.T, l *load) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, violation := range c.violations {
		t.Error(violation)
	}
	const maxListed = 10
	var unserved []*attempt
	served, faultFree, faultFreeServed := 0, 0, 0
	for _, a := range l.attempts {
		runs := c.runs[a.id]
		switch {
		case a.violation != "":
			c.reportViolation(t, a, a.violation)
		case !a.idempotent && runs > 1:
			c.reportViolation(t, a, fmt.Sprintf("ran %d times", runs))
		case !a.idempotent && runs > 0 && meansNotRun(a.status):
			c.reportViolation(t, a, fmt.Sprintf("got status %d, which means not run, but ran", a.status))
		}
		if a.status == http.StatusOK {
			served++
		}
		if a.faultFree {
			faultFree++
			if a.status == http.StatusOK {
				faultFreeServed++
			} else if unserved = append(unserved, a); len(unserved) <= maxListed {
				t.Logf("not served without active faults: %s at %s, status %d", a.id, a.at.Format(time.TimeOnly), a.status)
			}
		}
	}
	t.Logf("%d requests, %d served; without active faults %d of %d", len(l.attempts), served, faultFreeServed, faultFree)
	if faultFree < 20 || faultFreeServed*100 < faultFree*99 {
		t.Errorf("without active faults %d of %d requests were served, want 99%% of at least 20", faultFreeServed, faultFree)
	}
}

// meansNotRun reports whether a status guarantees that the request never runs.
func meansNotRun(status int) bool {
	switch status {
	case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	}
	return false
}

// reportViolation fails the test and prints the daemons' log lines about the
// request.
func (c *cluster) reportViolation(t *testing.T, a *attempt, violation string) {
	t.Errorf("request %s (%s): %s", a.id, a.path, violation)
	var files []string
	for _, d := range c.daemons {
		files = append(files, d.log.Name())
	}
	explanation, err := operate.Explain(a.id, files)
	if err != nil {
		t.Log(err)
		return
	}
	for _, line := range explanation.Lines {
		t.Logf("  %s: %s", line.File, line.Text)
	}
}

// checkFinalState checks that all daemons are ready and use the newest document.
func (c *cluster) checkFinalState(t *testing.T) {
	for _, d := range c.daemons {
		if got := getStatus(d, 8640, "/readiness"); got != http.StatusOK {
			t.Errorf("%s: readiness status is %d after the faults", d.name, got)
		}
		if got := getStatus(d, 8641, fmt.Sprintf("/v%d/x", c.documentVersion)); got == http.StatusNotFound {
			t.Errorf("%s: version %d of the document is not active", d.name, c.documentVersion)
		}
	}
}
