package soak

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"pistachioford.example/pistachioford/platform/standin"
)

// server is an upstream that records what it runs.
type server struct {
	id       string
	zone     string
	proxy    *proxy
	http     *http.Server
	sequence int
	gone     bool
}

// daemon is one process of the system.
type daemon struct {
	name, zone, address string
	node                string
	log                 *os.File
	cmd                 *exec.Cmd
	exited              chan struct{}
	// downSince is when the process ended, zero while it runs.
	downSince time.Time
	paused    bool
}

// world is a store, targets and processes.
type world struct {
	dir, binary string
	// block is the start of the processes' addresses, hold what keeps other
	// soaks on the machine from it.
	block string
	hold  net.Listener

	store      *standin.Store
	storeProxy *proxy
	version    int

	mu      sync.Mutex
	servers []*server
	daemons []*daemon
	// runs counts how often a request began to run, by its id.
	runs map[string]int
	// faults counts those that last; calmSince is the end of the last one.
	faults    int
	calmSince time.Time
}

var zones = []string{"za", "zb"}

const document = `{"version":"r%d","resources":[
{"resource_kind":"routes","metadata":{"name":"read"},"spec":{"host":"h.example","prefix":"/read/","kind":"idempotent","timeout":"1500ms","aim":"300ms","priority":0,"service":"s","max_attempts":2,"session_affinity":true}},
{"resource_kind":"routes","metadata":{"name":"order"},"spec":{"host":"h.example","prefix":"/order/","kind":"non_idempotent","timeout":"1500ms","aim":"400ms","priority":1,"service":"s","max_attempts":2}},
{"resource_kind":"routes","metadata":{"name":"v%d"},"spec":{"host":"h.example","prefix":"/v%d/","kind":"idempotent","timeout":"1500ms","aim":"300ms","priority":1,"service":"s","max_attempts":2}},
{"resource_kind":"services","metadata":{"name":"s"},"spec":{"health_path":"/health","max_conns":100,"warmup":"500ms","cold_per_s":20}},
{"resource_kind":"limits","metadata":{},"spec":{"max_header_bytes":16384,"max_body_bytes":8000000,"header_timeout":"2000ms","idle_timeout":"10000ms"}}]}`

func newWorld(dir, binary string) (*world, error) {
	store, err := standin.Start("127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	w := &world{dir: dir, binary: binary, store: store, runs: map[string]int{}, calmSince: time.Now()}
	if err := w.claimBlock(); err != nil {
		return nil, err
	}
	if w.storeProxy, err = newProxy(store.Address()); err != nil {
		return nil, err
	}
	w.changeDocument()
	for i := range 6 {
		if err := w.addServer(fmt.Sprintf("i-%d", i), zones[i%len(zones)]); err != nil {
			return nil, err
		}
	}
	for i := range 4 {
		if err := w.addDaemon(i); err != nil {
			return nil, err
		}
	}
	return w, nil
}

// claimBlock takes a block of loopback addresses. The processes have fixed
// ports, so two soaks at a time need different addresses.
func (w *world) claimBlock() error {
	const firstBlock, blocks, claimPort = 7, 200, 8639
	var err error
	for i := range blocks {
		w.block = fmt.Sprintf("127.0.%d", firstBlock+i)
		if w.hold, err = net.Listen("tcp4", fmt.Sprintf("%s.250:%d", w.block, claimPort)); err == nil {
			return nil
		}
	}
	return fmt.Errorf("no block of addresses is free: %w", err)
}

func (w *world) changeDocument() {
	w.version++
	w.store.Put("op", "config", fmt.Appendf(nil, document, w.version, w.version, w.version))
}

func (w *world) addServer(id, zone string) error {
	s := &server{id: id, zone: zone}
	mux := http.NewServeMux()
	mux.HandleFunc("/", func(rw http.ResponseWriter, r *http.Request) { w.run(s, rw, r) })
	s.http = &http.Server{Handler: mux}
	listener, err := listen()
	if err != nil {
		return err
	}
	go func() { _ = s.http.Serve(listener) }()
	if s.proxy, err = newProxy(listener.Addr().String()); err != nil {
		return err
	}
	w.mu.Lock()
	w.servers = append(w.servers, s)
	w.mu.Unlock()
	w.report(s, "ready")
	return nil
}

// report writes the server's entry, as it would itself.
func (w *world) report(s *server, state string) {
	s.sequence++
	w.store.Put("servers", s.id, fmt.Appendf(nil,
		`{"address":%q,"born":1,"info":{"service":"s","zone":%q,"capacity":3},"status":{"state":%q,"seq":%d,"cold_left":"0ms"}}`,
		s.proxy.address(), s.zone, state, s.sequence))
}

const workTime = 20 * time.Millisecond

func (w *world) run(s *server, rw http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Request-Id")
	if r.Header.Get("X-Expect-Instance") != s.id {
		rw.Header().Set("X-Request-Id", id)
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	w.mu.Lock()
	w.runs[id]++
	w.mu.Unlock()
	time.Sleep(workTime)
	rw.Header().Set("X-Request-Id", id)
	rw.Header().Set("X-Server-Seal", "mac-"+id)
	rw.Header().Set("X-Server-Load", "1,0,3")
	_, _ = fmt.Fprintf(rw, "%s %s", id, r.URL.Path)
}

func (w *world) addDaemon(i int) error {
	zone := zones[i%len(zones)]
	d := &daemon{name: fmt.Sprintf("d-%d", i), zone: zone, address: fmt.Sprintf("%s.%d", w.block, i+1)}
	d.node = filepath.Join(w.dir, d.name+".conf")
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
`, d.name, d.address, zone, zone, d.address, d.address, d.address, w.storeProxy.address())
	if err := os.WriteFile(d.node, []byte(text), 0o600); err != nil {
		return err
	}
	var err error
	if d.log, err = os.Create(filepath.Join(w.dir, d.name+".log")); err != nil {
		return err
	}
	w.daemons = append(w.daemons, d)
	return w.start(d)
}

// start runs a process; a second one on the same addresses must not.
func (w *world) start(d *daemon) error {
	cmd := exec.Command(w.binary, "gateway")
	cmd.Env = append(os.Environ(), "PISTACHIOFORD_NODE_FILE="+d.node)
	cmd.Stdout, cmd.Stderr = d.log, d.log
	if err := cmd.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	w.mu.Lock()
	d.cmd, d.exited, d.downSince, d.paused = cmd, exited, time.Time{}, false
	w.mu.Unlock()
	go func() {
		_ = cmd.Wait()
		w.mu.Lock()
		d.downSince = time.Now()
		w.mu.Unlock()
		close(exited)
	}()
	return nil
}

func (d *daemon) signal(s syscall.Signal) { _ = d.cmd.Process.Signal(s) }

// stopAll ends all processes that the soak started.
func (w *world) stopAll() {
	for _, d := range w.daemons {
		d.signal(syscall.SIGCONT)
		d.signal(syscall.SIGKILL)
		<-d.exited
		_ = d.log.Close()
	}
	for _, s := range w.servers {
		_ = s.http.Close()
		_ = s.proxy.listener.Close()
	}
	_ = w.storeProxy.listener.Close()
	_ = w.store.Close()
	_ = w.hold.Close()
}

// begin and end bound a fault.
func (w *world) begin() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.faults++
}

func (w *world) end() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.faults--
	w.calmSince = time.Now()
}

// calm tells whether no fault lasted within a time.
func (w *world) calm(d time.Duration) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.faults == 0 && time.Since(w.calmSince) >= d
}
