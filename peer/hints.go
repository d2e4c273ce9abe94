package peer

import (
	"context"

	"pistachioford.example/pistachioford/peer/wire"
)

// hintStream sends load hints to one peer over a stream. A call for each hint
// would cost several times the bytes of the hint.
type hintStream struct {
	// pending holds the hint that is to be sent next, if there is one.
	pending chan *wire.LoadHint
	stop    context.CancelFunc
}

// replace makes hint the next one to send, in place of one not sent yet.
func (h *hintStream) replace(hint *wire.LoadHint) {
	for {
		select {
		case h.pending <- hint:
			return
		default:
		}
		select {
		case <-h.pending:
		default:
		}
	}
}

// SendLoadHint sends a load hint in the background. The hint may be lost.
func (l *Links) SendLoadHint(address string, hint LoadHint) {
	message := &wire.LoadHint{From: string(hint.Load.Peer), Revision: hint.Revision}
	for i := range hint.Load.Free {
		message.Free = append(message.Free, uint32(hint.Load.Free[i]))
		message.WaitMs = append(message.WaitMs, uint32(hint.Load.Wait[i].Milliseconds()))
	}
	if stream := l.hintStreamTo(address); stream != nil {
		stream.replace(message)
	}
}

// hintStreamTo returns the hint stream to a peer and starts it if there is none.
// It returns nil once Links is closed.
func (l *Links) hintStreamTo(address string) *hintStream {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		return nil
	}
	if h := l.hintStreams[address]; h != nil {
		return h
	}
	ctx, stop := context.WithCancel(context.Background())
	h := &hintStream{pending: make(chan *wire.LoadHint, 1), stop: stop}
	l.hintStreams[address] = h
	l.background.Go(func() { l.runHintStream(ctx, address, h) })
	return h
}

// runHintStream sends the pending hints until ctx is canceled. After a failure it
// reopens the stream for the next hint.
func (l *Links) runHintStream(ctx context.Context, address string, h *hintStream) {
	var stream wire.Peer_LoadClient
	for {
		select {
		case <-ctx.Done():
			return
		case hint := <-h.pending:
			if stream == nil {
				stream = l.openHintStream(ctx, address)
			}
			if stream != nil && stream.Send(hint) != nil {
				stream = nil
			}
		}
	}
}

// openHintStream returns nil if the stream cannot be opened.
func (l *Links) openHintStream(ctx context.Context, address string) wire.Peer_LoadClient {
	conn, err := l.conn(address)
	if err != nil {
		return nil
	}
	stream, err := wire.NewPeerClient(conn).Load(ctx)
	if err != nil {
		return nil
	}
	return stream
}
