package soak

import (
	"io"
	"net"
	"sync"
	"time"
)

// mode is how a proxy treats its connections.
type mode int

const (
	// pass forwards everything unchanged.
	pass mode = iota
	// reset closes all connections with a TCP reset, and each new one when it
	// first carries data.
	reset
	// delay forwards the data of each read after delayPerRead.
	delay
	// silent forwards nothing in either direction and closes nothing.
	silent
	// oneWay forwards requests and holds back responses.
	oneWay
	modeCount
)

const delayPerRead = 150 * time.Millisecond

// proxy forwards TCP connections to an upstream address and disturbs them as
// its mode says.
type proxy struct {
	listener net.Listener
	upstream string

	mu    sync.Mutex
	mode  mode
	conns map[net.Conn]struct{}
	// changed is closed and replaced when the mode is set.
	changed chan struct{}
}

func newProxy(upstream string) (*proxy, error) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &proxy{listener: listener, upstream: upstream, conns: map[net.Conn]struct{}{}, changed: make(chan struct{})}
	go p.accept()
	return p, nil
}

func (p *proxy) address() string { return p.listener.Addr().String() }

func (p *proxy) setMode(m mode) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.mode = m
	close(p.changed)
	p.changed = make(chan struct{})
	if m == reset {
		for conn := range p.conns {
			abort(conn)
		}
	}
}

func (p *proxy) currentMode() (mode, <-chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.mode, p.changed
}

func (p *proxy) accept() {
	for {
		conn, err := p.listener.Accept()
		if err != nil {
			return
		}
		go p.serve(conn)
	}
}

func (p *proxy) serve(client net.Conn) {
	upstream, err := net.Dial("tcp4", p.upstream)
	if err != nil {
		abort(client)
		return
	}
	p.mu.Lock()
	p.conns[client], p.conns[upstream] = struct{}{}, struct{}{}
	p.mu.Unlock()
	var directions sync.WaitGroup
	directions.Add(2)
	go func() { defer directions.Done(); p.copy(upstream, client, false) }()
	go func() { defer directions.Done(); p.copy(client, upstream, true) }()
	directions.Wait()
	p.mu.Lock()
	delete(p.conns, client)
	delete(p.conns, upstream)
	p.mu.Unlock()
}

// copy forwards one direction of a connection. fromUpstream is true for
// responses.
func (p *proxy) copy(dst, src net.Conn, fromUpstream bool) {
	defer func() { _ = dst.Close(); _ = src.Close() }()
	buffer := make([]byte, 16<<10)
	for {
		n, err := src.Read(buffer)
		if n > 0 && !p.admit(dst, src, fromUpstream) {
			return
		}
		if n > 0 {
			if _, err := dst.Write(buffer[:n]); err != nil {
				return
			}
		}
		if err == io.EOF {
			return
		}
		if err != nil {
			abort(dst)
			return
		}
	}
}

// admit blocks as long as the mode holds back data. It reports whether the data
// may be forwarded; if not, it has reset the connection.
func (p *proxy) admit(dst, src net.Conn, fromUpstream bool) bool {
	for {
		m, changed := p.currentMode()
		switch {
		case m == reset:
			abort(dst)
			abort(src)
			return false
		case m == delay:
			time.Sleep(delayPerRead)
			return true
		case m == silent, m == oneWay && fromUpstream:
			<-changed
		default:
			return true
		}
	}
}

// abort closes a connection with a TCP reset.
func abort(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = conn.Close()
}
