package peer

import (
	"context"

	"pistachioford.example/pistachioford/peer/wire"
)

// hintStream sends hints to one peer over a stream: a call for each of them
// would cost several times its bytes.
type hintStream struct {
	latest chan *wire.LoadHint
	stop   context.CancelFunc
}

// put replaces a hint that is still waiting.
func (h *hintStream) put(hint *wire.LoadHint) {
	for {
		select {
		case h.latest <- hint:
			return
		default:
		}
		select {
		case <-h.latest:
		default:
		}
	}
}

// Load sends a hint; it may be lost.
func (l *Links) Load(address string, hint LoadHint) {
	message := &wire.LoadHint{From: string(hint.Load.Peer), Revision: hint.Revision}
	for i := range hint.Load.Free {
		message.Free = append(message.Free, uint32(hint.Load.Free[i]))
		message.WaitMs = append(message.WaitMs, uint32(hint.Load.Wait[i].Milliseconds()))
	}
	if stream := l.hintStream(address); stream != nil {
		stream.put(message)
	}
}

// hintStream returns nil once Links is closed.
func (l *Links) hintStream(address string) *hintStream {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		return nil
	}
	if h := l.hints[address]; h != nil {
		return h
	}
	ctx, stop := context.WithCancel(context.Background())
	h := &hintStream{latest: make(chan *wire.LoadHint, 1), stop: stop}
	l.hints[address] = h
	l.calls.Go(func() { l.sendHints(ctx, address, h) })
	return h
}

// sendHints opens the stream again after a failure, with the next hint.
func (l *Links) sendHints(ctx context.Context, address string, h *hintStream) {
	var stream wire.Peer_LoadClient
	for {
		select {
		case <-ctx.Done():
			return
		case hint := <-h.latest:
			if stream == nil {
				stream = l.openHints(ctx, address)
			}
			if stream != nil && stream.Send(hint) != nil {
				stream = nil
			}
		}
	}
}

// openHints returns nil if the peer cannot be reached now.
func (l *Links) openHints(ctx context.Context, address string) wire.Peer_LoadClient {
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
