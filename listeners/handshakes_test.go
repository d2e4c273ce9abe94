package listeners

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"golang.org/x/sys/unix"
)

// echoServer sends back the first byte of each connection.
func echoServer(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	buffer := make([]byte, 1)
	if _, err := conn.Read(buffer); err == nil {
		_, _ = conn.Write(buffer)
	}
}

// callUntil opens connections without a pause. It returns how many were opened,
// and the errors of those that got no response or were reset while being opened.
// A handshake that begins while the listener is changed gets no answer, and its
// timeout is no error.
func callUntil(stop <-chan struct{}, address string) (opened int, failures []error) {
	for {
		select {
		case <-stop:
			return opened, failures
		default:
		}
		conn, err := net.DialTimeout("tcp4", address, time.Second)
		if err != nil {
			if !errors.Is(err, unix.ECONNREFUSED) && !isTimeout(err) {
				failures = append(failures, fmt.Errorf("dial: %w", err))
			}
			time.Sleep(time.Millisecond)
			continue
		}
		opened++
		_ = conn.SetDeadline(time.Now().Add(5 * time.Second))
		if _, err = conn.Write([]byte("x")); err == nil {
			_, err = conn.Read(make([]byte, 1))
		}
		if err != nil {
			failures = append(failures, err)
		}
		_ = conn.Close()
	}
}

// Guards against connections that callers see as open and that the end of a
// listener resets, since their handshake completed after the last accept.
//
// The load: 16 callers open connections without a pause while the listener ends,
// 12 times.
func TestListenerEndsWithoutResets(t *testing.T) {
	is := is.New(t)
	total := 0
	for range 12 {
		listener, err := net.Listen("tcp4", "127.0.0.1:0")
		is.NoErr(err)
		var accepts, callers sync.WaitGroup
		accepts.Go(func() {
			for {
				conn, err := listener.Accept()
				if err != nil {
					return
				}
				go echoServer(conn)
			}
		})
		stop := make(chan struct{})
		var mu sync.Mutex
		for range 16 {
			callers.Go(func() {
				opened, failures := callUntil(stop, listener.Addr().String())
				mu.Lock()
				defer mu.Unlock()
				total += opened
				for _, err := range failures {
					t.Error(err)
				}
			})
		}
		time.Sleep(20 * time.Millisecond)
		FinishHandshakes(context.Background(), listener)
		_ = listener.Close()
		accepts.Wait()
		close(stop)
		callers.Wait()
	}
	t.Logf("%d connections", total)
	is.True(total > 12*16)
}

// Guards against callers that wait for a listener which accepts nothing more:
// they are refused at once, and go elsewhere.
func TestFinishingListenerRefusesAtOnce(t *testing.T) {
	is := is.New(t)
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	is.NoErr(err)
	defer func() { _ = listener.Close() }()
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	FinishHandshakes(ctx, listener)
	began := time.Now()
	_, err = net.DialTimeout("tcp4", listener.Addr().String(), time.Second)
	is.True(errors.Is(err, unix.ECONNREFUSED))
	is.True(time.Since(began) < 500*time.Millisecond)
}
