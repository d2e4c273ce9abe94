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
	// sendTimeout bounds the delivery of one message. A message that arrives
	// later is of no use to the failure detector.
	sendTimeout = time.Second
	// leavingTimeout bounds the broadcast of a leaving upstream. All instances
	// must know of it within 3 s of the first sign.
	leavingTimeout = 2500 * time.Millisecond
	// leavingRetryDelay is the wait before a report to one peer is retried.
	leavingRetryDelay = 200 * time.Millisecond
	// maxConcurrentSends bounds the control messages that are being sent. Further
	// messages are dropped; the control protocol tolerates lost messages.
	maxConcurrentSends = 1024
	// linkIdleTimeout is how long a connection without calls is kept open.
	linkIdleTimeout = 2 * time.Minute
	// maxReconnectBackoff is short, so that a restarted peer is dialed in time to
	// be detected as alive.
	maxReconnectBackoff = 500 * time.Millisecond
)

var errClosed = errors.New("links are closed")

// Links holds the connections to other instances: by address, one gRPC connection
// and at most one stream of load hints on it. It is safe for concurrent use.
type Links struct {
	certificates *Certificates
	sendSlots    chan struct{}
	background   conc.WaitGroup

	mu          sync.Mutex
	closed      bool
	conns       map[string]*grpc.ClientConn
	hintStreams map[string]*hintStream
}

// NewLinks returns Links that connect on first use. With nil certificates they
// use plain text.
func NewLinks(certificates *Certificates) *Links {
	return &Links{
		certificates: certificates,
		sendSlots:    make(chan struct{}, maxConcurrentSends),
		conns:        map[string]*grpc.ClientConn{},
		hintStreams:  map[string]*hintStream{},
	}
}

// SendControl sends a control message in the background. The message may be
// lost.
func (l *Links) SendControl(address string, m control.Message) {
	encoded, err := Encode(m)
	if err != nil {
		telemetry.Failure("peer_message", err, telemetry.F("peer", address))
		return
	}
	l.sendAsync(address, sendTimeout, func(ctx context.Context, c wire.PeerClient) error {
		_, err := c.Control(ctx, encoded)
		return err
	})
}

// BroadcastPoison reports a suspected poison request to all addresses in the
// background. It calls done after all have acknowledged the report or the
// timeout has passed.
func (l *Links) BroadcastPoison(addresses []string, suspect PoisonSuspect, timeout time.Duration, done func()) {
	message := &wire.PoisonSuspect{
		Fingerprint: suspect.Fingerprint, Target: suspect.Target, AtUnixNs: suspect.At.UnixNano(),
		RepeatedCrash: suspect.Repeated, OverlappingCrash: suspect.Overlapping,
	}
	l.goUnlessClosed(func() {
		var broadcast conc.WaitGroup
		for _, address := range addresses {
			broadcast.Go(func() {
				_ = l.call(address, timeout, func(ctx context.Context, c wire.PeerClient) error {
					_, err := c.Poison(ctx, message)
					return err
				})
			})
		}
		broadcast.Wait()
		done()
	})
}

// BroadcastLeaving reports a leaving upstream to all addresses in the
// background. It retries the report to each address until it is acknowledged or
// leavingTimeout has passed.
func (l *Links) BroadcastLeaving(addresses []string, leaving LeavingUpstream) {
	message := &wire.LeavingUpstream{Target: leaving.Target, SeenUnixMs: leaving.SeenAt.UnixMilli()}
	for _, address := range addresses {
		l.goUnlessClosed(func() { l.retryLeaving(address, message) })
	}
}

func (l *Links) retryLeaving(address string, message *wire.LeavingUpstream) {
	deadline := time.Now().Add(leavingTimeout)
	for time.Now().Before(deadline) {
		err := l.call(address, sendTimeout, func(ctx context.Context, c wire.PeerClient) error {
			_, err := c.Leaving(ctx, message)
			return err
		})
		if err == nil || errors.Is(err, errClosed) {
			return
		}
		time.Sleep(leavingRetryDelay)
	}
}

// Close closes all connections and waits for the calls on them.
func (l *Links) Close() {
	l.mu.Lock()
	l.closed = true
	for _, stream := range l.hintStreams {
		stream.stop()
	}
	for _, conn := range l.conns {
		_ = conn.Close()
	}
	l.mu.Unlock()
	l.background.Wait()
}

// goUnlessClosed runs f in the background unless Links is closed.
func (l *Links) goUnlessClosed(f func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.closed {
		l.background.Go(f)
	}
}

// sendAsync makes a call in the background. It drops the call if
// maxConcurrentSends are running, and counts dropped and failed calls.
func (l *Links) sendAsync(address string, timeout time.Duration, send func(context.Context, wire.PeerClient) error) {
	select {
	case l.sendSlots <- struct{}{}:
	default:
		telemetry.CountEvent("peer_message_dropped")
		return
	}
	l.goUnlessClosed(func() {
		defer func() { <-l.sendSlots }()
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

// conn returns the connection to an address and creates it if there is none.
func (l *Links) conn(address string) (*grpc.ClientConn, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		return nil, errClosed
	}
	if conn := l.conns[address]; conn != nil {
		return conn, nil
	}
	conn, err := l.newConn(address)
	if err != nil {
		return nil, eris.Wrapf(err, "open link to %s", address)
	}
	l.conns[address] = conn
	return conn, nil
}

// Keep closes the links to all addresses that addresses does not contain.
func (l *Links) Keep(addresses map[string]bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for address, stream := range l.hintStreams {
		if !addresses[address] {
			stream.stop()
			delete(l.hintStreams, address)
		}
	}
	for address, conn := range l.conns {
		if !addresses[address] {
			_ = conn.Close()
			delete(l.conns, address)
		}
	}
}

// newConn returns a connection that is dialed on first use. The dialer does the
// TLS handshake, so that changed certificate files apply to each new connection;
// gRPC itself is configured without TLS.
func (l *Links) newConn(address string) (*grpc.ClientConn, error) {
	dial := func(ctx context.Context, address string) (net.Conn, error) {
		var dialer net.Dialer
		conn, err := dialer.DialContext(ctx, "tcp", address)
		if err != nil {
			return nil, err
		}
		return l.certificates.clientHandshake(ctx, countingConn{conn})
	}
	return grpc.NewClient("passthrough:///"+address,
		grpc.WithTransportCredentials(insecure.NewCredentials()),
		grpc.WithContextDialer(dial),
		grpc.WithIdleTimeout(linkIdleTimeout),
		grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(MaxMessageBytes)),
		grpc.WithDisableRetry(),
		grpc.WithDisableServiceConfig(),
		grpc.WithKeepaliveParams(keepalive.ClientParameters{Time: keepalivePeriod, Timeout: keepaliveTimeout}),
		grpc.WithConnectParams(grpc.ConnectParams{
			Backoff:           backoff.Config{BaseDelay: maxReconnectBackoff / 5, Multiplier: 2, Jitter: 0.2, MaxDelay: maxReconnectBackoff},
			MinConnectTimeout: sendTimeout,
		}),
	)
}
