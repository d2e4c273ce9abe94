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
	// keepalivePeriod is the interval of pings that detect connections which a
	// partition left half open. Without them such a connection stays blocked for
	// the retransmission timeout of TCP.
	keepalivePeriod  = 10 * time.Second
	keepaliveTimeout = 2 * time.Second
)

// Receiver handles the messages of peers. Its methods are called concurrently
// and must not block for long.
type Receiver interface {
	// HandleControl may drop the message.
	HandleControl(control.Message)
	// HandleLoadHint may drop the hint.
	HandleLoadHint(LoadHint)
	// HandlePoisonSuspect returns after the suspect is recorded, since its return
	// is the acknowledgement.
	HandlePoisonSuspect(PoisonSuspect)
	// HandleLeavingUpstream returns after the report is recorded, since its return
	// is the acknowledgement.
	HandleLeavingUpstream(LeavingUpstream)
}

// LoadHint is a peer's hint of its free slots and waits.
type LoadHint struct {
	// Revision is the document revision that the group numbers of Load refer to.
	Revision uint64
	Load     traffic.PeerLoad
}

// PoisonSuspect is a report of a suspected poison request, see
// traffic.PoisonSuspected.
type PoisonSuspect struct {
	Fingerprint uint64
	// Target is the name of the target, since target numbers differ between
	// revisions.
	Target string
	At     time.Time
	// Repeated and Overlapping are the fields of traffic.PoisonSuspected.
	Repeated, Overlapping bool
}

// LeavingUpstream is a report of the first sign that an upstream is leaving.
type LeavingUpstream struct {
	Target string
	SeenAt time.Time
}

// Server serves the peer port.
type Server struct {
	wire.UnimplementedPeerServer
	grpc     *grpc.Server
	listener net.Listener
	receiver Receiver
}

// NewServer returns a server on listener. TLS is up to the listener, see
// Certificates.WrapListener.
func NewServer(listener net.Listener, receiver Receiver) *Server {
	s := &Server{listener: listener, receiver: receiver}
	s.grpc = grpc.NewServer(
		grpc.MaxRecvMsgSize(MaxMessageBytes),
		grpc.ConnectionTimeout(handshakeTimeout),
		grpc.KeepaliveParams(keepalive.ServerParameters{Time: keepalivePeriod, Timeout: keepaliveTimeout}),
		grpc.KeepaliveEnforcementPolicy(keepalive.EnforcementPolicy{MinTime: keepalivePeriod / 2}),
	)
	wire.RegisterPeerServer(s.grpc, s)
	return s
}

// Serve accepts connections until Stop.
func (s *Server) Serve() error { return s.grpc.Serve(s.listener) }

// Stop closes all connections.
func (s *Server) Stop() { s.grpc.Stop() }

// Control implements wire.PeerServer.
func (s *Server) Control(_ context.Context, in *wire.ControlMessage) (*wire.Empty, error) {
	message, err := Decode(in)
	if err != nil {
		return nil, status.Error(codes.InvalidArgument, err.Error())
	}
	s.receiver.HandleControl(message)
	return &wire.Empty{}, nil
}

// maxHintGroups bounds the groups of a hint. It is far above the number of
// groups of any document.
const maxHintGroups = 4096

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
		s.receiver.HandleLoadHint(hint)
	}
}

func decodeHint(in *wire.LoadHint) (LoadHint, error) {
	if len(in.Free) != len(in.WaitMs) || len(in.Free) > maxHintGroups {
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
	s.receiver.HandlePoisonSuspect(PoisonSuspect{
		Fingerprint: in.Fingerprint, Target: in.Target, At: time.Unix(0, in.AtUnixNs),
		Repeated: in.RepeatedCrash, Overlapping: in.OverlappingCrash,
	})
	return &wire.Empty{}, nil
}

// Leaving implements wire.PeerServer.
func (s *Server) Leaving(_ context.Context, in *wire.LeavingUpstream) (*wire.Empty, error) {
	s.receiver.HandleLeavingUpstream(LeavingUpstream{Target: in.Target, SeenAt: time.UnixMilli(in.SeenUnixMs)})
	return &wire.Empty{}, nil
}
