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
	// rereadPeriod bounds how often the files are looked at.
	rereadPeriod = time.Second
	// handshakeTimeout bounds a handshake, so that silent connections go.
	handshakeTimeout = 5 * time.Second
)

// Files name the PEM files of an instance.
type Files struct{ Certificate, Key, Authority string }

// Certificates holds the certificate and the authority of an instance and reads
// them again when the files change. A nil Certificates means plain text. It is
// safe for concurrent use.
type Certificates struct {
	files Files

	mu      sync.Mutex
	checked time.Time
	stamps  [3]time.Time
	config  *tls.Config
}

// LoadCertificates reads the files for the first time.
func LoadCertificates(files Files) (*Certificates, error) {
	c := &Certificates{files: files}
	if err := c.read(); err != nil {
		return nil, err
	}
	c.checked = time.Now()
	return c, nil
}

// current returns the configuration for one connection. Files that changed but
// cannot be read leave the previous ones in use.
func (c *Certificates) current() *tls.Config {
	c.mu.Lock()
	defer c.mu.Unlock()
	if now := time.Now(); now.Sub(c.checked) >= rereadPeriod {
		c.checked = now
		if c.changed() {
			_ = c.read()
		}
	}
	return c.config
}

func (c *Certificates) names() [3]string {
	return [3]string{c.files.Certificate, c.files.Key, c.files.Authority}
}

func (c *Certificates) changed() bool {
	for i, name := range c.names() {
		info, err := os.Stat(name)
		if err == nil && !info.ModTime().Equal(c.stamps[i]) {
			return true
		}
	}
	return false
}

// read takes the time stamps first, so that a change during the read is seen
// by the next check.
func (c *Certificates) read() error {
	var stamps [3]time.Time
	for i, name := range c.names() {
		info, err := os.Stat(name)
		if err != nil {
			return eris.Wrap(err, "read certificate files")
		}
		stamps[i] = info.ModTime()
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
	c.stamps = stamps
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

// Listen wraps a listener in mTLS.
func (c *Certificates) Listen(listener net.Listener) net.Listener {
	if c == nil {
		return listener
	}
	return tls.NewListener(listener, &tls.Config{
		MinVersion: tls.VersionTLS13,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			return c.current(), nil
		},
	})
}

// Dial opens a connection within the timeout.
func (c *Certificates) Dial(address string, timeout time.Duration) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	return c.DialContext(ctx, address)
}

// DialContext opens a connection; ctx bounds the handshake too.
func (c *Certificates) DialContext(ctx context.Context, address string) (net.Conn, error) {
	var dialer net.Dialer
	conn, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	return c.secure(ctx, conn)
}

// secure does the handshake of a client; it closes conn if that fails.
func (c *Certificates) secure(ctx context.Context, conn net.Conn) (net.Conn, error) {
	if c == nil {
		return conn, nil
	}
	secure := tls.Client(conn, c.current())
	ctx, cancel := context.WithTimeout(ctx, handshakeTimeout)
	defer cancel()
	if err := secure.HandshakeContext(ctx); err != nil {
		return nil, errors.Join(err, conn.Close())
	}
	return secure, nil
}
