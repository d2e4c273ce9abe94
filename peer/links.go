package peer

import (
	"context"
	"errors"
	"net"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"github.com/sourcegraph/conc"
	"google.golang.org/grpc"
	"google.golang.org/grpc/backoff"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/keepalive"

	"pistachioford.example/core/control"
	"pistachioford.example/pistachioford/peer/wire"
	"pistachioford.example/pistachioford/telemetry"
)

const (
	// sendTimeout bounds a message without an answer; a later arrival would be
	// of no use to the failure detector.
	sendTimeout = time.Second
	// leavingTimeout bounds the broadcast of a leaving upstream, of which all
	// must know within 3 s of the first sign.
	leavingTimeout = 2500 * time.Millisecond
	// leavingPause is the wait before the broadcast to one peer is repeated.
	leavingPause = 200 * time.Millisecond
	// maxSends bounds the messages on their way; more are dropped, as on a
	// network that loses them.
	maxSends = 1024
	// idleLink closes connections to peers that are no longer talked to.
	idleLink = 2 * time.Minute
	// maxBackoff keeps a restarted peer from being dialed too late to be seen
	// as alive.
	maxBackoff = 500 * time.Millisecond
)

var errClosed = errors.New("links are closed")

// Links holds the connections to other instances. It is safe for concurrent
// use.
type Links struct {
	certificates *Certificates
	slots        chan struct{}
	calls        conc.WaitGroup

	mu     sync.Mutex
	closed bool
	conns  map[string]*grpc.ClientConn
	hints  map[string]*hintStream
}

// NewLinks returns Links without connections; nil certificates mean plain
// text.
func NewLinks(certificates *Certificates) *Links {
	return &Links{
		certificates: certificates,
		slots:        make(chan struct{}, maxSends),
		conns:        map[string]*grpc.ClientConn{},
		hints:        map[string]*hintStream{},
	}
}

// Control sends a message; it may be lost.
func (l *Links) Control(address string, m control.Message) {
	encoded, err := Encode(m)
	if err != nil {
		telemetry.Failure("peer_message", err, telemetry.F("peer", address))
		return
	}
	l.async(address, sendTimeout, func(ctx context.Context, c wire.PeerClient) error {
		_, err := c.Control(ctx, encoded)
		return err
	})
}

// Poison reports a suspect to all addresses and calls done after all have
// acknowledged it or the timeout has passed. It does not wait.
func (l *Links) Poison(addresses []string, suspect PoisonSuspect, timeout time.Duration, done func()) {
	message := &wire.PoisonSuspect{
		Fingerprint: suspect.Fingerprint, Target: suspect.Target, AtUnixNs: suspect.At.UnixNano(),
		RepeatedCrash: suspect.Repeated, OverlappingCrash: suspect.Overlapping,
	}
	l.goAll(func() {
		var all conc.WaitGroup
		for _, address := range addresses {
			all.Go(func() {
				_ = l.call(address, timeout, func(ctx context.Context, c wire.PeerClient) error {
					_, err := c.Poison(ctx, message)
					return err
				})
			})
		}
		all.Wait()
		done()
	})
}

// Leaving reports a leaving upstream to all addresses, again until each has
// acknowledged it or the time is up. It does not wait.
func (l *Links) Leaving(addresses []string, leaving LeavingUpstream) {
	message := &wire.LeavingUpstream{Target: leaving.Target, SeenUnixMs: leaving.Seen.UnixMilli()}
	for _, address := range addresses {
		l.goAll(func() { l.repeatLeaving(address, message) })
	}
}

func (l *Links) repeatLeaving(address string, message *wire.LeavingUpstream) {
	deadline := time.Now().Add(leavingTimeout)
	for time.Now().Before(deadline) {
		err := l.call(address, sendTimeout, func(ctx context.Context, c wire.PeerClient) error {
			_, err := c.Leaving(ctx, message)
			return err
		})
		if err == nil || errors.Is(err, errClosed) {
			return
		}
		time.Sleep(leavingPause)
	}
}

// Close closes all connections and waits for the calls on them.
func (l *Links) Close() {
	l.mu.Lock()
	l.closed = true
	for _, h := range l.hints {
		h.stop()
	}
	for _, conn := range l.conns {
		_ = conn.Close()
	}
	l.mu.Unlock()
	l.calls.Wait()
}

// goAll starts a call in the background unless Links is closed.
func (l *Links) goAll(f func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.closed {
		l.calls.Go(f)
	}
}

func (l *Links) async(address string, timeout time.Duration, send func(context.Context, wire.PeerClient) error) {
	select {
	case l.slots <- struct{}{}:
	default:
		telemetry.CountEvent("peer_message_dropped")
		return
	}
	l.goAll(func() {
		defer func() { <-l.slots }()
		if err := l.call(address, timeout, send); err != nil {
			telemetry.CountEvent("peer_message_failed")
		}
	})
}

func (l *Links) call(address string, timeout time.Duration, send func(context.Context, wire.PeerClient) error) error {
	conn, err := l.conn(address)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	return eris.Wrapf(send(ctx, wire.NewPeerClient(conn)), "call peer %s", address)
}

func (l *Links) conn(address string) (*grpc.ClientConn, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		return nil, errClosed
	}
	if conn := l.conns[address]; conn != nil {
		return conn, nil
	}
	conn, err := l.open(address)
	if err != nil {
		return nil, eris.Wrapf(err, "open link to %s", address)
	}
	l.conns[address] = conn
	return conn, nil
}

// Keep closes the links to all other addresses.
func (l *Links) Keep(addresses map[string]bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for address, h := range l.hints {
		if !addresses[address] {
			h.stop()
			delete(l.hints, address)
		}
	}
	for address, conn := range l.conns {
		if !addresses[address] {
			_ = conn.Close()
			delete(l.conns, address)
		}
	}
}

// open makes a lazy connection. The dialer does TLS itself, so that the files
// are looked at for each connection; gRPC sees a plain one.
func (l *Links) open(address string) (*grpc.ClientConn, error) {
	dial := func(ctx context.Context, address string) (net.Conn, error) {
		var dialer net.Dialer
		conn, err := dialer.DialContext(ctx, "tcp", address)
		if err != nil {
			return nil, err
		}
		return l.certificates.secure(ctx, countingConn{conn})
	}
	return grpc.NewClient("passthrough:///"+address,
		grpc.WithTransportCredentials(insecure.NewCredentials()),
		grpc.WithContextDialer(dial),
		grpc.WithIdleTimeout(idleLink),
		grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(MaxMessageBytes)),
		grpc.WithDisableRetry(),
		grpc.WithDisableServiceConfig(),
		grpc.WithKeepaliveParams(keepalive.ClientParameters{Time: keepAlive, Timeout: keepAliveTimeout}),
		grpc.WithConnectParams(grpc.ConnectParams{
			Backoff:           backoff.Config{BaseDelay: maxBackoff / 5, Multiplier: 2, Jitter: 0.2, MaxDelay: maxBackoff},
			MinConnectTimeout: sendTimeout,
		}),
	)
}
