package peer

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"errors"
	"net"
	"os"
	"sync"
	"time"

	"github.com/rotisserie/eris"
)

// ServerName is the DNS name in the certificate of each instance. Instances are
// reached by address, which changes more often than certificates do.
const ServerName = "pistachioford"

const (
	// fileCheckPeriod is the least time between two checks for changed files.
	fileCheckPeriod = time.Second
	// handshakeTimeout bounds a handshake, so that silent connections are closed.
	handshakeTimeout = 5 * time.Second
)

// Files holds the paths of the PEM files of an instance.
type Files struct{ Certificate, Key, Authority string }

// Certificates holds the certificate and the authority of an instance and
// reloads them when the files change. A nil *Certificates means plain text.
// Certificates is safe for concurrent use.
type Certificates struct {
	files Files

	mu        sync.Mutex
	lastCheck time.Time
	modTimes  [3]time.Time
	config    *tls.Config
}

// LoadCertificates returns Certificates that were read from the files.
func LoadCertificates(files Files) (*Certificates, error) {
	c := &Certificates{files: files}
	if err := c.reload(); err != nil {
		return nil, err
	}
	c.lastCheck = time.Now()
	return c, nil
}

// currentConfig returns the TLS configuration for a new connection. If changed
// files cannot be read, the previous configuration stays in use.
func (c *Certificates) currentConfig() *tls.Config {
	c.mu.Lock()
	defer c.mu.Unlock()
	if now := time.Now(); now.Sub(c.lastCheck) >= fileCheckPeriod {
		c.lastCheck = now
		if c.filesChanged() {
			_ = c.reload()
		}
	}
	return c.config
}

func (c *Certificates) paths() [3]string {
	return [3]string{c.files.Certificate, c.files.Key, c.files.Authority}
}

func (c *Certificates) filesChanged() bool {
	for i, path := range c.paths() {
		info, err := os.Stat(path)
		if err == nil && !info.ModTime().Equal(c.modTimes[i]) {
			return true
		}
	}
	return false
}

// reload reads the files and replaces the configuration. It takes the
// modification times first, so that the next check detects a change during the
// read.
func (c *Certificates) reload() error {
	var modTimes [3]time.Time
	for i, path := range c.paths() {
		info, err := os.Stat(path)
		if err != nil {
			return eris.Wrap(err, "check certificate files")
		}
		modTimes[i] = info.ModTime()
	}
	pair, err := tls.LoadX509KeyPair(c.files.Certificate, c.files.Key)
	if err != nil {
		return eris.Wrapf(err, "read certificate %s", c.files.Certificate)
	}
	authority, err := os.ReadFile(c.files.Authority)
	if err != nil {
		return eris.Wrap(err, "read authority")
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(authority) {
		return eris.Errorf("no certificate in authority %s", c.files.Authority)
	}
	c.modTimes = modTimes
	c.config = &tls.Config{
		MinVersion:   tls.VersionTLS13,
		Certificates: []tls.Certificate{pair},
		RootCAs:      pool,
		ClientCAs:    pool,
		ClientAuth:   tls.RequireAndVerifyClientCert,
		ServerName:   ServerName,
		// Resumption would skip the check against a changed authority.
		SessionTicketsDisabled: true,
	}
	return nil
}

// WrapListener returns a listener that accepts mTLS connections on the given
// listener. Without certificates it returns the listener itself.
func (c *Certificates) WrapListener(listener net.Listener) net.Listener {
	if c == nil {
		return listener
	}
	return tls.NewListener(listener, &tls.Config{
		MinVersion: tls.VersionTLS13,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			return c.currentConfig(), nil
		},
	})
}

// Dial opens a connection. The timeout bounds the handshake too.
func (c *Certificates) Dial(address string, timeout time.Duration) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	return c.DialContext(ctx, address)
}

// DialContext opens a connection. ctx bounds the handshake too.
func (c *Certificates) DialContext(ctx context.Context, address string) (net.Conn, error) {
	var dialer net.Dialer
	conn, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	return c.clientHandshake(ctx, conn)
}

// clientHandshake does the TLS handshake of a client on conn and returns the
// secured connection. It closes conn if the handshake fails. Without certificates
// it returns conn itself.
func (c *Certificates) clientHandshake(ctx context.Context, conn net.Conn) (net.Conn, error) {
	if c == nil {
		return conn, nil
	}
	tlsConn := tls.Client(conn, c.currentConfig())
	ctx, cancel := context.WithTimeout(ctx, handshakeTimeout)
	defer cancel()
	if err := tlsConn.HandshakeContext(ctx); err != nil {
		return nil, errors.Join(err, conn.Close())
	}
	return tlsConn, nil
}
