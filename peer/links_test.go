package peer

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"encoding/pem"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/matryer/is"

	"pistachioford.example/core/control"
	"pistachioford.example/core/member"
	"pistachioford.example/core/traffic"
)

// recorder is a Receiver that records what a server received.
type recorder struct {
	messages chan control.Message
	loads    chan LoadHint
	poison   chan PoisonSuspect
	leaving  chan LeavingUpstream
}

func (r *recorder) HandleControl(m control.Message)         { r.messages <- m }
func (r *recorder) HandleLoadHint(h LoadHint)               { r.loads <- h }
func (r *recorder) HandlePoisonSuspect(s PoisonSuspect)     { r.poison <- s }
func (r *recorder) HandleLeavingUpstream(l LeavingUpstream) { r.leaving <- l }

func startServer(t *testing.T, certificates *Certificates) (string, *recorder) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.New(t).NoErr(err)
	r := &recorder{
		messages: make(chan control.Message, 64), loads: make(chan LoadHint, 1),
		poison: make(chan PoisonSuspect, 1), leaving: make(chan LeavingUpstream, 1),
	}
	server := NewServer(certificates.WrapListener(listener), r)
	go func() { _ = server.Serve() }()
	t.Cleanup(server.Stop)
	return listener.Addr().String(), r
}

// authority signs certificates of instances.
type authority struct {
	certificate *x509.Certificate
	key         *ecdsa.PrivateKey
}

func newAuthority(is *is.I) *authority {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	is.NoErr(err)
	return &authority{key: key, certificate: &x509.Certificate{
		SerialNumber: big.NewInt(1), NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
		IsCA: true, BasicConstraintsValid: true, KeyUsage: x509.KeyUsageCertSign,
	}}
}

// writeFiles writes a new certificate, its key and the authority to dir.
func (a *authority) writeFiles(is *is.I, dir string, serial int64) Files {
	files := Files{
		Certificate: filepath.Join(dir, "c.pem"), Key: filepath.Join(dir, "k.pem"), Authority: filepath.Join(dir, "a.pem"),
	}
	authorityDER, err := x509.CreateCertificate(rand.Reader, a.certificate, a.certificate, &a.key.PublicKey, a.key)
	is.NoErr(err)
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	is.NoErr(err)
	leaf := &x509.Certificate{
		SerialNumber: big.NewInt(serial), DNSNames: []string{ServerName},
		NotBefore: a.certificate.NotBefore, NotAfter: a.certificate.NotAfter,
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	leafDER, err := x509.CreateCertificate(rand.Reader, leaf, a.certificate, &key.PublicKey, a.key)
	is.NoErr(err)
	keyDER, err := x509.MarshalPKCS8PrivateKey(key)
	is.NoErr(err)
	for name, block := range map[string]*pem.Block{
		files.Certificate: {Type: "CERTIFICATE", Bytes: leafDER},
		files.Key:         {Type: "PRIVATE KEY", Bytes: keyDER},
		files.Authority:   {Type: "CERTIFICATE", Bytes: authorityDER},
	} {
		is.NoErr(os.WriteFile(name, pem.EncodeToMemory(block), 0o600))
	}
	return files
}

// Guards against messages that are lost or changed on the way, with and without
// TLS.
func TestLinksDeliverMessages(t *testing.T) {
	for _, plain := range []bool{true, false} {
		is := is.New(t)
		var certificates *Certificates
		if !plain {
			var err error
			certificates, err = LoadCertificates(newAuthority(is).writeFiles(is, t.TempDir(), 2))
			is.NoErr(err)
		}
		address, recorded := startServer(t, certificates)
		links := NewLinks(certificates)
		defer links.Close()
		ping := &control.Ping{Sequence: 7}
		ping.Sender = member.Record{ID: "x", Zone: "z", Shards: []member.Shard{{Index: 3, Epoch: 9}}}
		links.SendControl(address, ping)
		is.Equal(<-recorded.messages, control.Message(ping))
		links.SendLoadHint(address, LoadHint{Revision: 4, Load: traffic.PeerLoad{
			Peer: "x", Free: []uint16{1, 2}, Wait: []time.Duration{0, time.Second},
		}})
		hint := <-recorded.loads
		is.Equal(hint.Load.Wait, []time.Duration{0, time.Second})
		done := make(chan struct{})
		suspect := PoisonSuspect{Fingerprint: 5, Target: "t", At: time.Unix(1, 2), Repeated: true, Overlapping: true}
		links.BroadcastPoison([]string{address, "127.0.0.1:1"}, suspect, 200*time.Millisecond, func() { close(done) })
		is.Equal(<-recorded.poison, suspect)
		<-done
		links.BroadcastLeaving([]string{address}, LeavingUpstream{Target: "t", SeenAt: time.UnixMilli(9)})
		is.Equal(<-recorded.leaving, LeavingUpstream{Target: "t", SeenAt: time.UnixMilli(9)})
	}
}

// Guards against certificates that stay in use after their files have changed,
// and against accepting peers with a certificate of another authority.
func TestCertificatesReload(t *testing.T) {
	is := is.New(t)
	oldAuthority, nextAuthority := newAuthority(is), newAuthority(is)
	dir := t.TempDir()
	files := oldAuthority.writeFiles(is, dir, 2)
	certificates, err := LoadCertificates(files)
	is.NoErr(err)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer listener.Close()
	tlsListener := certificates.WrapListener(listener)
	go func() {
		for {
			conn, err := tlsListener.Accept()
			if err != nil {
				return
			}
			go func() {
				_ = conn.(*tls.Conn).Handshake()
				_, _ = conn.Write([]byte("x"))
				conn.Close()
			}()
		}
	}()
	dial := func(c *Certificates) error {
		conn, err := c.Dial(listener.Addr().String(), time.Second)
		if err != nil {
			return err
		}
		defer conn.Close()
		_, err = conn.Read(make([]byte, 1)) // the server rejects the client after the client's handshake
		return err
	}
	is.NoErr(dial(certificates))
	otherCertificates, err := LoadCertificates(nextAuthority.writeFiles(is, t.TempDir(), 3))
	is.NoErr(err)
	is.True(dial(otherCertificates) != nil)
	is.NoErr(os.WriteFile(files.Certificate, []byte("half written"), 0o600))
	certificates.mu.Lock()
	certificates.lastCheck = time.Time{}
	certificates.mu.Unlock()
	is.NoErr(dial(certificates)) // an unreadable file leaves the previous certificate in use

	nextAuthority.writeFiles(is, dir, 4)
	certificates.mu.Lock()
	certificates.lastCheck = time.Time{}
	certificates.mu.Unlock()
	is.NoErr(dial(otherCertificates)) // both now have the new authority
}
