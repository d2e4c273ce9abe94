package soak

import (
	"io"
	"net"
	"sync"
	"time"
)

// mode is how a proxy treats connections.
type mode int

const (
	pass mode = iota
	// reset breaks all connections, and each new one after its first bytes.
	reset
	// delay holds each piece back.
	delay
	// silent passes nothing on, in either direction, and closes nothing.
	silent
	// oneWay passes on requests and no answers.
	oneWay
	modes
)

const delayTime = 150 * time.Millisecond

// proxy passes TCP connections on to an address and harms them.
type proxy struct {
	listener net.Listener
	to       string

	mu    sync.Mutex
	mode  mode
	conns map[net.Conn]struct{}
	// changed is closed when the mode changes.
	changed chan struct{}
}

func newProxy(to string) (*proxy, error) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &proxy{listener: listener, to: to, conns: map[net.Conn]struct{}{}, changed: make(chan struct{})}
	go p.accept()
	return p, nil
}

func (p *proxy) address() string { return p.listener.Addr().String() }

func (p *proxy) set(m mode) {
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

func (p *proxy) state() (mode, <-chan struct{}) {
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

func (p *proxy) serve(near net.Conn) {
	far, err := net.Dial("tcp4", p.to)
	if err != nil {
		abort(near)
		return
	}
	p.mu.Lock()
	p.conns[near], p.conns[far] = struct{}{}, struct{}{}
	p.mu.Unlock()
	var both sync.WaitGroup
	both.Add(2)
	go func() { defer both.Done(); p.copy(far, near, false) }()
	go func() { defer both.Done(); p.copy(near, far, true) }()
	both.Wait()
	p.mu.Lock()
	delete(p.conns, near)
	delete(p.conns, far)
	p.mu.Unlock()
}

// copy passes one direction on. answers tells that it is the way back.
func (p *proxy) copy(to, from net.Conn, answers bool) {
	defer func() { _ = to.Close(); _ = from.Close() }()
	buffer := make([]byte, 16<<10)
	for {
		n, err := from.Read(buffer)
		if n > 0 && !p.permit(to, from, answers) {
			return
		}
		if n > 0 {
			if _, err := to.Write(buffer[:n]); err != nil {
				return
			}
		}
		if err == io.EOF {
			return
		}
		if err != nil {
			abort(to)
			return
		}
	}
}

// permit waits as the mode says. It returns false if the connection is broken.
func (p *proxy) permit(to, from net.Conn, answers bool) bool {
	for {
		m, changed := p.state()
		switch {
		case m == reset:
			abort(to)
			abort(from)
			return false
		case m == delay:
			time.Sleep(delayTime)
			return true
		case m == silent, m == oneWay && answers:
			<-changed
		default:
			return true
		}
	}
}

// abort closes a connection with a reset.
func abort(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = conn.Close()
}
