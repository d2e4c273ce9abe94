package peer

import (
	"context"
	"errors"
	"io"
	"net"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/keepalive"
	"google.golang.org/grpc/status"

	"pistachioford.example/core/control"
	"pistachioford.example/core/traffic"
	"pistachioford.example/pistachioford/peer/wire"
)

const (
	// MaxMessageBytes bounds one message between instances.
	MaxMessageBytes = 1 << 20
	// keepAlive finds connections that a partition left half open; without it
	// they stay blocked for the retransmission timeout of TCP.
	keepAlive        = 10 * time.Second
	keepAliveTimeout = 2 * time.Second
)

// Receiver takes what peers send. Its methods are called from many goroutines
// and must not block for long.
type Receiver interface {
	Control(control.Message)
	Load(LoadHint)
	// Poison returns after the suspect is noted.
	Poison(PoisonSuspect)
	// Leaving returns after the sign is noted.
	Leaving(LeavingUpstream)
}

// LoadHint is a peer's hint; group numbers are those of the revision.
type LoadHint struct {
	Revision uint64
	Load     traffic.PeerLoad
}

// PoisonSuspect names its target, since numbers differ between revisions.
type PoisonSuspect struct {
	Fingerprint uint64
	Target      string
	At          time.Time
	// Repeated and Overlapping are those of traffic.PoisonSuspected.
	Repeated, Overlapping bool
}

// LeavingUpstream is the first sign that an upstream is leaving.
type LeavingUpstream struct {
	Target string
	Seen   time.Time
}

// Server serves the peer port.
type Server struct {
	wire.UnimplementedPeerServer
	grpc     *grpc.Server
	listener net.Listener
	receiver Receiver
}

// NewServer returns a server on a listener that already speaks mTLS if it is
// to.
func NewServer(listener net.Listener, receiver Receiver) *Server {
	s := &Server{listener: listener, receiver: receiver}
	s.grpc = grpc.NewServer(
		grpc.MaxRecvMsgSize(MaxMessageBytes),
		grpc.ConnectionTimeout(handshakeTimeout),
		grpc.KeepaliveParams(keepalive.ServerParameters{Time: keepAlive, Timeout: keepAliveTimeout}),
		grpc.KeepaliveEnforcementPolicy(keepalive.EnforcementPolicy{MinTime: keepAlive / 2}),
	)
	wire.RegisterPeerServer(s.grpc, s)
	return s
}

// Serve returns after Stop.
func (s *Server) Serve() error { return s.grpc.Serve(s.listener) }

// Stop closes all connections.
func (s *Server) Stop() { s.grpc.Stop() }

// Control implements wire.PeerServer.
func (s *Server) Control(_ context.Context, in *wire.ControlMessage) (*wire.Empty, error) {
	message, err := Decode(in)
	if err != nil {
		return nil, status.Error(codes.InvalidArgument, err.Error())
	}
	s.receiver.Control(message)
	return &wire.Empty{}, nil
}

// maxGroups bounds the groups of a hint; it is far above any document.
const maxGroups = 4096

// Load implements wire.PeerServer.
func (s *Server) Load(stream wire.Peer_LoadServer) error {
	for {
		in, err := stream.Recv()
		if err == io.EOF {
			return stream.SendAndClose(&wire.Empty{})
		}
		if err != nil {
			return err
		}
		hint, err := decodeHint(in)
		if err != nil {
			return status.Error(codes.InvalidArgument, err.Error())
		}
		s.receiver.Load(hint)
	}
}

func decodeHint(in *wire.LoadHint) (LoadHint, error) {
	if len(in.Free) != len(in.WaitMs) || len(in.Free) > maxGroups {
		return LoadHint{}, errors.New("free and wait differ in length, or are too long")
	}
	hint := LoadHint{Revision: in.Revision, Load: traffic.PeerLoad{
		Peer: traffic.InstanceID(in.From),
		At:   time.Now(),
		Free: make([]uint16, len(in.Free)),
		Wait: make([]time.Duration, len(in.WaitMs)),
	}}
	for i := range in.Free {
		hint.Load.Free[i] = uint16(min(in.Free[i], 1<<16-1))
		hint.Load.Wait[i] = time.Duration(in.WaitMs[i]) * time.Millisecond
	}
	return hint, nil
}

// Poison implements wire.PeerServer.
func (s *Server) Poison(_ context.Context, in *wire.PoisonSuspect) (*wire.Empty, error) {
	s.receiver.Poison(PoisonSuspect{
		Fingerprint: in.Fingerprint, Target: in.Target, At: time.Unix(0, in.AtUnixNs),
		Repeated: in.RepeatedCrash, Overlapping: in.OverlappingCrash,
	})
	return &wire.Empty{}, nil
}

// Leaving implements wire.PeerServer.
func (s *Server) Leaving(_ context.Context, in *wire.LeavingUpstream) (*wire.Empty, error) {
	s.receiver.Leaving(LeavingUpstream{Target: in.Target, Seen: time.UnixMilli(in.SeenUnixMs)})
	return &wire.Empty{}, nil
}
