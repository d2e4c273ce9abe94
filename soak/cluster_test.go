package soak

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"pistachioford.example/pistachioford/platform/standin"
)

// server is an upstream whose runs the cluster counts.
type server struct {
	id    string
	zone  string
	proxy *proxy
	http  *http.Server
	// boot and sequence order its reports.
	boot, sequence int
	// removed is set while a fault keeps the server's entry out of the store.
	removed bool
	// damages is set while a fault damages some of the server's responses.
	damages bool
	// silentUntil is when a server that has fallen silent is back.
	silentUntil time.Time
}

// daemon is one process of the daemon under test.
type daemon struct {
	name, zone, address string
	nodeFile            string
	log                 *os.File
	cmd                 *exec.Cmd
	exited              chan struct{}
	// downSince is the time when the process ended, zero while it runs.
	downSince time.Time
	// claimed is set while a fault acts on the process.
	claimed bool
}

// cluster is a platform store, upstream servers and daemons.
type cluster struct {
	dir, binary string
	// addressBlock holds the first three octets of the daemons' addresses.
	// blockClaim is a listener that reserves the block against other soak tests
	// on the machine.
	addressBlock string
	blockClaim   net.Listener

	store           *standin.Store
	storeProxy      *proxy
	documentVersion int

	mu sync.Mutex
	// evacuations counts the evacuations of each zone in progress.
	evacuations map[string]int
	// crashes counts the servers that poison requests have crashed. They fall
	// silent if silentCrashes is set, and close the connection otherwise.
	crashes       int
	silentCrashes bool
	// silent holds the connections of silent servers, so that they stay open.
	silent []net.Conn

	servers []*server
	daemons []*daemon
	// runs counts by request ID how often a request began to run.
	runs map[string]int
	// keys are all keys that the document held so far, in the order of their
	// addition. The document has no accounts without them. lowered counts the
	// reasons why the usage cap is lowered, floods the floods so far.
	keys            []*clientKey
	lowered, floods int
	// sent holds the callers' requests by ID if the document has accounts.
	sent map[string]*attempt
	// cappedRuns are the times when requests of the capped account began to run.
	cappedRuns []time.Time
	load       *load
	// cancelled holds by request ID when the caller closed the connection.
	cancelled map[string]time.Time
	// answered holds by request ID which server has given a response in full.
	answered map[string]answer
	// disturbances counts what happens to daemons and servers now, lastDisturbed is
	// when it last ended.
	disturbances  map[string]int
	lastDisturbed map[string]time.Time
	// violations are those that servers observed.
	violations []string
	// activeFaults counts the faults in progress; lastFaultEnd is the time when
	// a fault last ended.
	activeFaults int
	lastFaultEnd time.Time
}

var zones = []string{"za", "zb"}

const documentFormat = `{"version":"r%d","resources":[%s
{"resource_kind":"routes","metadata":{"name":"read"},"spec":{"host":"h.example","prefix":"/read/","kind":"idempotent","timeout":"1500ms","aim":"300ms","priority":0,"service":"s","max_attempts":2,"session_affinity":true}},
{"resource_kind":"routes","metadata":{"name":"order"},"spec":{"host":"h.example","prefix":"/order/","kind":"non_idempotent","timeout":"1500ms","aim":"400ms","priority":1,"service":"s","max_attempts":2}},
{"resource_kind":"routes","metadata":{"name":"v%d"},"spec":{"host":"h.example","prefix":"/v%d/","kind":"idempotent","timeout":"1500ms","aim":"300ms","priority":1,"service":"s","max_attempts":2}},
{"resource_kind":"services","metadata":{"name":"s"},"spec":{"health_path":"/health","max_conns":100,"warmup":"500ms","cold_per_s":20}},
{"resource_kind":"limits","metadata":{},"spec":{"max_header_bytes":16384,"max_body_bytes":8000000,"header_timeout":"2000ms","idle_timeout":"10000ms"}}]}`

func newCluster(dir, binary string, seed uint64) (*cluster, error) {
	store, err := standin.Start("127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	c := &cluster{dir: dir, binary: binary, store: store, runs: map[string]int{}, cancelled: map[string]time.Time{}, answered: map[string]answer{}, disturbances: map[string]int{}, lastDisturbed: map[string]time.Time{}, sent: map[string]*attempt{}, evacuations: map[string]int{}, lastFaultEnd: time.Now()}
	if err := c.claimBlock(); err != nil {
		return nil, err
	}
	if c.storeProxy, err = newProxy(store.Address()); err != nil {
		return nil, err
	}
	// Half of the seeds have accounts, for each way in which targets crash.
	if seed/2%2 == 0 {
		c.addAccounts(rand.New(rand.NewPCG(seed, 60)))
	}
	c.publishDocument()
	for i := range 6 {
		if err := c.addServer(fmt.Sprintf("i-%d", i), zones[i%len(zones)]); err != nil {
			return nil, err
		}
	}
	for i := range 4 {
		if err := c.addDaemon(i); err != nil {
			return nil, err
		}
	}
	return c, nil
}

// claimBlock reserves a block of loopback addresses. The daemons use fixed
// ports, so concurrent soak tests need different addresses.
func (c *cluster) claimBlock() error {
	const firstBlock, blocks, claimPort = 7, 200, 8639
	var err error
	for i := range blocks {
		c.addressBlock = fmt.Sprintf("127.0.%d", firstBlock+i)
		if c.blockClaim, err = net.Listen("tcp4", fmt.Sprintf("%s.250:%d", c.addressBlock, claimPort)); err == nil {
			return nil
		}
	}
	return fmt.Errorf("no block of loopback addresses is free: %w", err)
}

// publishDocument writes the next version of the document to the store.
func (c *cluster) publishDocument() {
	c.mu.Lock()
	c.documentVersion++
	c.mu.Unlock()
	c.writeDocument()
}

// writeDocument writes the present version of the document to the store.
func (c *cluster) writeDocument() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.store.Put("op", "config", fmt.Appendf(nil, documentFormat, c.documentVersion, c.accountResources(), c.documentVersion, c.documentVersion))
}

func (c *cluster) addServer(id, zone string) error {
	s := &server{id: id, zone: zone, boot: 1}
	mux := http.NewServeMux()
	mux.HandleFunc("/", func(rw http.ResponseWriter, r *http.Request) { c.handle(s, rw, r) })
	s.http = &http.Server{Handler: mux}
	listener, err := listen()
	if err != nil {
		return err
	}
	go func() { _ = s.http.Serve(listener) }()
	if s.proxy, err = newProxy(listener.Addr().String()); err != nil {
		return err
	}
	c.mu.Lock()
	c.servers = append(c.servers, s)
	c.mu.Unlock()
	c.reportState(s, "ready")
	return nil
}

// reportState writes the store entry that a server writes about itself.
func (c *cluster) reportState(s *server, state string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	s.sequence++
	c.store.Put("servers", s.id, fmt.Appendf(nil,
		`{"address":%q,"born":%d,"info":{"service":"s","zone":%q,"capacity":3},"status":{"state":%q,"seq":%d,"cold_left":"0ms"}}`,
		s.proxy.address(), s.boot, s.zone, state, s.sequence))
}

// poisonPath is the path of an order that crashes each server which runs it.
const poisonPath = "/order/poison"

// silence is how long a server that falls silent takes to start again.
const silence = 1500 * time.Millisecond

// crash closes the connection of a poison request, or makes the server silent,
// and starts the server again with a new boot.
func (c *cluster) crash(s *server, rw http.ResponseWriter) {
	if c.silentCrashes {
		c.mu.Lock()
		s.silentUntil = time.Now().Add(silence)
		c.mu.Unlock()
		c.hold(rw)
		time.Sleep(silence)
	} else if conn, _, err := http.NewResponseController(rw).Hijack(); err == nil {
		_ = conn.Close()
	}
	c.mu.Lock()
	c.crashes++
	s.boot++
	s.sequence = 0
	removed := s.removed
	c.mu.Unlock()
	if !removed {
		c.reportState(s, "ready")
	}
}

// hold leaves a connection open without a response.
func (c *cluster) hold(rw http.ResponseWriter) {
	if conn, _, err := http.NewResponseController(rw).Hijack(); err == nil {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.silent = append(c.silent, conn)
	}
}

// isSilent reports whether a server is silent, or has been since a time.
func (c *cluster) isSilent(s *server, since time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return since.Before(s.silentUntil)
}

const serviceTime = 20 * time.Millisecond

func (c *cluster) handle(s *server, rw http.ResponseWriter, r *http.Request) {
	c.checkReceived(r)
	began := time.Now()
	if c.isSilent(s, began) {
		c.hold(rw)
		return
	}
	id := r.Header.Get("X-Request-Id")
	if r.Header.Get("X-Expect-Instance") != s.id {
		rw.Header().Set("X-Request-Id", id)
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	c.recordRun(id)
	time.Sleep(serviceTime)
	if r.URL.Path == poisonPath {
		c.crash(s, rw)
		return
	}
	if c.isSilent(s, began) {
		c.hold(rw)
		return
	}
	c.mu.Lock()
	damages := s.damages
	c.mu.Unlock()
	if damages && rand.IntN(3) == 0 {
		writeDamaged(rw, id, responseBody(id, r.URL.Path))
		return
	}
	rw.Header().Set("X-Request-Id", id)
	rw.Header().Set("X-Server-Seal", "mac-"+id)
	rw.Header().Set("X-Server-Load", "1,0,3")
	if _, err := io.WriteString(rw, responseBody(id, r.URL.Path)); err == nil {
		c.recordAnswered(s, id)
	}
}

// cancelTime is the longest time that a request may begin to run after its caller
// has closed the connection.
const cancelTime = 500 * time.Millisecond

// recordRun counts a request that begins to run.
func (c *cluster) recordRun(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.runs[id]++
	c.recordCapped(id)
	// Connections that a fault has held back may deliver a request later.
	if closed, found := c.cancelled[id]; found && time.Since(closed) > cancelTime && c.faultFree(5*time.Second) {
		c.addViolation("request %s began to run %v after its caller closed the connection", id, time.Since(closed))
	}
}

// recordCancelled records that the caller of requests has closed the connection.
func (c *cluster) recordCancelled(attempts []*attempt) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, a := range attempts {
		c.cancelled[a.id] = time.Now()
	}
}

// addViolation records what a server observed. The caller holds c.mu.
func (c *cluster) addViolation(format string, arguments ...any) {
	const maxViolations = 20
	if len(c.violations) < maxViolations {
		c.violations = append(c.violations, fmt.Sprintf(format, arguments...))
	}
}

// writeDamaged writes a response with one wrong byte in its framing, and closes
// the connection in half of the cases.
func writeDamaged(rw http.ResponseWriter, id, body string) {
	conn, _, err := http.NewResponseController(rw).Hijack()
	if err != nil {
		return
	}
	fields := fmt.Sprintf("X-Request-Id: %s\r\nX-Server-Seal: mac-%s\r\n", id, id)
	parts := []string{"HTTP/1.1 200 OK\r\n", fields, fmt.Sprintf("Content-Length: %d\r\n\r\n", len(body)), body}
	if rand.IntN(2) == 0 {
		parts = []string{"HTTP/1.1 200 OK\r\n", fields, fmt.Sprintf("Transfer-Encoding: chunked\r\n\r\n%x\r\n", len(body)), body, "\r\n0\r\n\r\n"}
	}
	framing := []byte(parts[2*rand.IntN((len(parts)+1)/2)])
	for i, part := range parts {
		if part == string(framing) {
			framing[rand.IntN(len(framing))] ^= 1 << rand.IntN(8)
			parts[i] = string(framing)
			break
		}
	}
	_, _ = conn.Write([]byte(strings.Join(parts, "")))
	if rand.IntN(2) == 0 {
		_ = conn.Close()
		return
	}
	time.AfterFunc(5*time.Second, func() { _ = conn.Close() })
}

func (c *cluster) addDaemon(i int) error {
	zone := zones[i%len(zones)]
	d := &daemon{name: fmt.Sprintf("d-%d", i), zone: zone, address: fmt.Sprintf("%s.%d", c.addressBlock, i+1)}
	d.nodeFile = filepath.Join(c.dir, d.name+".conf")
	text := fmt.Sprintf(`node_name=%s
ip_addr=%s
zone=%s
region=r%s
zones.za=rza
zones.zb=rzb
listen_addrs.front=%s:8641
listen_addrs.ready=%s:8640
listen_addrs.directory=%s:8644
port_range=7620,7635
parameters=drain=2500ms,grace=6s,budget_ratio=0.2,budget_window=10s,budget_extra=60,ttl_max=5s
platform.address=%s
`, d.name, d.address, zone, zone, d.address, d.address, d.address, c.storeProxy.address())
	if err := os.WriteFile(d.nodeFile, []byte(text), 0o600); err != nil {
		return err
	}
	var err error
	if d.log, err = os.Create(filepath.Join(c.dir, d.name+".log")); err != nil {
		return err
	}
	c.daemons = append(c.daemons, d)
	return c.start(d)
}

// start starts the process of a daemon. No other may run on its addresses.
func (c *cluster) start(d *daemon) error {
	cmd := exec.Command(c.binary, "gateway")
	cmd.Env = append(os.Environ(), "PISTACHIOFORD_NODE_FILE="+d.nodeFile)
	cmd.Stdout, cmd.Stderr = d.log, d.log
	if err := cmd.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	c.mu.Lock()
	d.cmd, d.exited, d.downSince, d.claimed = cmd, exited, time.Time{}, false
	c.mu.Unlock()
	go func() {
		_ = cmd.Wait()
		c.mu.Lock()
		d.downSince = time.Now()
		c.mu.Unlock()
		close(exited)
	}()
	return nil
}

func (d *daemon) signal(s syscall.Signal) { _ = d.cmd.Process.Signal(s) }

// stopAll kills all daemons and closes the servers, proxies and the store.
func (c *cluster) stopAll() {
	for _, d := range c.daemons {
		d.signal(syscall.SIGCONT)
		d.signal(syscall.SIGKILL)
		<-d.exited
		_ = d.log.Close()
	}
	for _, conn := range c.silent {
		_ = conn.Close()
	}
	for _, s := range c.servers {
		_ = s.http.Close()
		_ = s.proxy.listener.Close()
	}
	_ = c.storeProxy.listener.Close()
	_ = c.store.Close()
	_ = c.blockClaim.Close()
}

// faultBegan and faultEnded are called at the start and the end of a fault.
func (c *cluster) faultBegan() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.activeFaults++
}

func (c *cluster) faultEnded() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.activeFaults--
	c.lastFaultEnd = time.Now()
}

// faultFreeFor reports whether no fault has been active for at least d.
func (c *cluster) faultFreeFor(d time.Duration) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.faultFree(d)
}

// faultFree is faultFreeFor for callers that hold c.mu.
func (c *cluster) faultFree(d time.Duration) bool {
	return c.activeFaults == 0 && time.Since(c.lastFaultEnd) >= d
}
