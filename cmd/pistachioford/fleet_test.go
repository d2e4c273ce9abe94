package main_test

import (
	"bytes"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/sha256"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/hex"
	"encoding/json"
	"encoding/pem"
	"fmt"
	"io"
	"math/big"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"pistachioford.example/pistachioford/entry"
	"pistachioford.example/pistachioford/peer"
	"pistachioford.example/pistachioford/upstream"
)

// fleet is a set of daemons, a stand-in of the platform and upstreams, all on
// loopback.
type fleet struct {
	t         *testing.T
	dir       string
	platform  string
	standin   *exec.Cmd
	upstreams []*countingUpstream
	instances []*process
}

// process is one daemon, with the values in its settings.
type process struct {
	name, zone, region                string
	callers, peer, forward, operators string
	command                           *exec.Cmd
	log                               bytes.Buffer
}

const (
	token        = "process-test-token"
	waitTimeout  = 20 * time.Second
	pollInterval = 20 * time.Millisecond
)

func startFleet(t *testing.T) *fleet {
	f := &fleet{t: t, dir: t.TempDir()}
	f.build()
	f.writeCertificates()
	f.startPlatform()
	for _, zone := range []string{"a1", "a2", "b1"} {
		for range 2 {
			f.upstreams = append(f.upstreams, startCountingUpstream(t, zone))
		}
	}
	f.applyDocument(1)
	for _, p := range []struct{ zone, region string }{{"a1", "a"}, {"a1", "a"}, {"a2", "a"}, {"b1", "b"}} {
		f.instances = append(f.instances, f.newProcess(fmt.Sprintf("entry%d", len(f.instances)), p.zone, p.region))
	}
	for _, p := range f.instances {
		f.start(p)
	}
	return f
}

func (f *fleet) check(err error) {
	f.t.Helper()
	if err != nil {
		f.t.Fatal(err)
	}
}

func (f *fleet) path(name string) string { return filepath.Join(f.dir, name) }

func (f *fleet) write(name, text string) { f.check(os.WriteFile(f.path(name), []byte(text), 0o600)) }

func (f *fleet) build() {
	output, err := exec.Command("go", "build", "-o", f.dir+"/", ".", "../pistachioctl").CombinedOutput()
	if err != nil {
		f.t.Fatalf("go build: %v\n%s", err, output)
	}
}

// writeCertificates writes an authority and one certificate for all instances.
func (f *fleet) writeCertificates() {
	authorityKey, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	f.check(err)
	authority := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "authority"},
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
		IsCA: true, BasicConstraintsValid: true, KeyUsage: x509.KeyUsageCertSign,
	}
	signed, err := x509.CreateCertificate(rand.Reader, authority, authority, &authorityKey.PublicKey, authorityKey)
	f.check(err)
	f.writePEM("authority.pem", "CERTIFICATE", signed)

	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	f.check(err)
	leaf := &x509.Certificate{
		SerialNumber: big.NewInt(2), DNSNames: []string{peer.ServerName},
		NotBefore: authority.NotBefore, NotAfter: authority.NotAfter,
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	signed, err = x509.CreateCertificate(rand.Reader, leaf, authority, &key.PublicKey, authorityKey)
	f.check(err)
	f.writePEM("instance.pem", "CERTIFICATE", signed)
	private, err := x509.MarshalPKCS8PrivateKey(key)
	f.check(err)
	f.writePEM("instance.key", "PRIVATE KEY", private)
}

func (f *fleet) writePEM(name, kind string, der []byte) {
	f.write(name, string(pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der})))
}

func (f *fleet) startPlatform() {
	address := f.freeAddress()
	f.platform = "http://" + address
	f.standin = exec.Command(f.path("pistachioford"), "platform", "--listen", address)
	f.check(f.standin.Start())
	f.t.Cleanup(func() {
		_ = f.standin.Process.Kill()
		_ = f.standin.Wait()
	})
	f.await("the platform", func() bool { return reachable(address) })
}

func reachable(address string) bool {
	conn, err := net.Dial("tcp", address)
	if err != nil {
		return false
	}
	conn.Close()
	return true
}

func (f *fleet) freeAddress() string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	f.check(err)
	defer listener.Close()
	return listener.Addr().String()
}

// await polls done until it returns true. It fails the test after waitTimeout.
func (f *fleet) await(what string, done func() bool) {
	f.t.Helper()
	for deadline := time.Now().Add(waitTimeout); !done(); time.Sleep(pollInterval) {
		if time.Now().After(deadline) {
			for _, p := range f.instances {
				f.t.Logf("log of %s:\n%s", p.name, p.log.String())
			}
			f.t.Fatalf("timeout waiting for %s", what)
		}
	}
}

// applyDocument applies a document whose key retention is the given number of
// hours, as a change of version hours-1. The retention makes each call a change.
func (f *fleet) applyDocument(hours int) {
	f.t.Helper()
	hash := sha256.Sum256([]byte(token))
	text := fmt.Sprintf(`[section]
name = "all"
team = "all"
[document]
key_retention = "%dh"
[[team]]
name = "all"
token_sha256 = %q
[[region]]
name = "a"
[[region]]
name = "b"
[[zone]]
name = "a1"
region = "a"
[[zone]]
name = "a2"
region = "a"
[[zone]]
name = "b1"
region = "b"
[[link]]
from = "a"
to = "b"
budget = "400MB/s"
delay = "1ms"
[[link]]
from = "b"
to = "a"
budget = "400MB/s"
delay = "1ms"
[[group]]
name = "g"
[[service]]
name = "orders"
path_prefix = "/orders"
group = "g"
priority = "normal"
deadline = "5s"
idempotent = false
[[service]]
name = "uploads"
path_prefix = "/uploads"
group = "g"
priority = "background"
deadline = "30s"
idempotent = false
`, hours, hex.EncodeToString(hash[:]))
	for i, u := range f.upstreams {
		text += fmt.Sprintf("[[target]]\nname = \"t%d\"\ngroup = \"g\"\nzone = %q\naddress = %q\nslots = 8\n", i, u.zone, u.address)
	}
	f.write("token", token)
	f.write("all.toml", text)
	output, err := exec.Command(f.path("pistachioctl"), "apply", "--platform", f.platform,
		"--token-file", f.path("token"), "--base", fmt.Sprint(hours-1), f.path("all.toml")).CombinedOutput()
	if err != nil {
		f.t.Fatalf("pistachioctl apply: %v\n%s", err, output)
	}
}

func (f *fleet) newProcess(name, zone, region string) *process {
	p := &process{name: name, zone: zone, region: region}
	for _, address := range []*string{&p.callers, &p.peer, &p.forward, &p.operators} {
		*address = f.freeAddress()
	}
	peers := ""
	if len(f.instances) > 0 {
		peers = fmt.Sprintf("%q", f.instances[0].peer)
	}
	f.write(name+".toml", fmt.Sprintf(`instance = %q
zone = %q
region = %q
platform = %q
peers = [%s]
[addresses]
callers = %q
peer = %q
forward = %q
operators = %q
[tls]
certificate = "instance.pem"
key = "instance.key"
authority = "authority.pem"
`, name, zone, region, f.platform, peers, p.callers, p.peer, p.forward, p.operators))
	return p
}

func (f *fleet) start(p *process) {
	p.log.Reset()
	p.command = exec.Command(f.path("pistachioford"), "run", "--settings", f.path(p.name+".toml"))
	p.command.Stderr = &p.log
	f.check(p.command.Start())
	command := p.command
	f.t.Cleanup(func() { _ = command.Process.Kill() })
}

func (p *process) status() entry.Status {
	var status entry.Status
	response, err := http.Get("http://" + p.operators + entry.StatusPath)
	if err != nil {
		return status
	}
	defer response.Body.Close()
	_ = json.NewDecoder(response.Body).Decode(&status)
	return status
}

// awaitRevision waits until the instances have a revision active and know each
// other.
func (f *fleet) awaitRevision(revision uint64, instances ...*process) {
	f.t.Helper()
	f.await(fmt.Sprintf("revision %d", revision), func() bool {
		for _, p := range instances {
			if s := p.status(); s.Revision != revision || len(s.Peers) < len(instances)-1 {
				return false
			}
		}
		return true
	})
}

// countingUpstream is an upstream that counts the runs of each order.
type countingUpstream struct {
	zone, address string
	mu            sync.Mutex
	runs          map[string]int
	leaving       bool
}

func startCountingUpstream(t *testing.T, zone string) *countingUpstream {
	u := &countingUpstream{zone: zone, runs: map[string]int{}}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.New(t).NoErr(err)
	u.address = listener.Addr().String()
	server := &http.Server{Handler: u}
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(func() { server.Close() })
	return u
}

// ServeHTTP responds to an order with its body and to an upload with its size.
func (u *countingUpstream) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	if r.URL.Path == upstream.HealthPath {
		u.mu.Lock()
		defer u.mu.Unlock()
		fmt.Fprintf(w, `{"utilization":0,"leaving":%t}`, u.leaving)
		return
	}
	if strings.HasPrefix(r.URL.Path, "/uploads") {
		fmt.Fprint(w, len(body))
		return
	}
	u.mu.Lock()
	u.runs[string(body)]++
	u.mu.Unlock()
	if r.URL.Path == "/orders/crash" {
		panic(http.ErrAbortHandler) // closes the connection without a response
	}
	time.Sleep(2 * time.Millisecond)
	_, _ = w.Write(body)
}

func (u *countingUpstream) setLeaving(leaving bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.leaving = leaving
}

// totalRuns returns the number of runs of all orders on one upstream.
func (u *countingUpstream) totalRuns() int {
	u.mu.Lock()
	defer u.mu.Unlock()
	total := 0
	for _, n := range u.runs {
		total += n
	}
	return total
}

// runsByOrder returns the number of runs of each order on all upstreams.
func (f *fleet) runsByOrder() map[string]int {
	total := map[string]int{}
	for _, u := range f.upstreams {
		u.mu.Lock()
		for order, n := range u.runs {
			total[order] += n
		}
		u.mu.Unlock()
	}
	return total
}
