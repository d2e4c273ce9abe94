//go:build review2

package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"time"
)

func init() { cases["unread-answers"] = unreadAnswers }

const (
	// longWork is the work of the first request of a channel, otherWork that of
	// the ones behind it.
	longWork  = 4 * time.Second
	otherWork = 50 * time.Millisecond
	// unreadLimit is how long a target lets a response lie unread before it cuts
	// it off.
	unreadLimit = 3 * time.Second
	// largeAnswer and smallAnswer are sizes of answers, windowBytes the size of a
	// target's send buffer.
	largeAnswer = 1 << 20
	smallAnswer = 400
	windowBytes = 64 << 10
	// readBudget is the clients' time budget, and the route's timeout.
	readBudget = 6 * time.Second
	// readers is the number of clients with a channel each.
	readers = 6
)

// unreadAnswers has clients that send three further reads before the first has
// been answered. The second answer is large and ready long before the first one.
// With trouble, targets cut off a response that remains unread.
func unreadAnswers(rec *record, root string, trouble bool) (bool, error) {
	c, err := newCluster(rec, root)
	if err != nil {
		return false, err
	}
	defer c.close()
	c.putConfig(1, []route{{"r-read", "/archive/", "idempotent", "archive", "6000ms", "1500ms", 2}})
	var mu sync.Mutex
	runs, cuts := map[string]int{}, map[string]bool{}
	serve := func(in *inbound) bool {
		mu.Lock()
		runs[in.id]++
		mu.Unlock()
		rec.add("target: runs %s %s", in.path, in.id)
		work, size := otherWork, smallAnswer
		switch {
		case strings.HasSuffix(in.path, "/long"):
			work = longWork
		case strings.HasSuffix(in.path, "/large"):
			size = largeAnswer
		}
		time.Sleep(work)
		if err := writeAnswer(in, size, trouble); err != nil {
			mu.Lock()
			cuts[in.id] = true
			mu.Unlock()
			rec.add("target: cuts off the answer to %s: %v", in.id, err)
			return false
		}
		rec.add("target: the answer to %s is sent", in.id)
		return true
	}
	for i := range 4 {
		if _, err := c.startTarget(fmt.Sprintf("i-%d", i+1), "archive", serve); err != nil {
			return false, err
		}
	}
	machine, err := c.startInstance(1)
	if err != nil {
		return false, err
	}
	if err := c.awaitReady(15 * time.Second); err != nil {
		return false, err
	}
	// Longer than `stable`: the machine is in touch.
	time.Sleep(5 * time.Second)

	var clients sync.WaitGroup
	closed, unanswered := 0, 0
	for range readers {
		conn, err := dialClient(machine.requests())
		if err != nil {
			return false, err
		}
		if first := conn.send("GET", "/archive/first", newID(), "", readBudget); first.err != nil || first.status != 200 {
			return false, fmt.Errorf("first request: %s", first)
		}
		clients.Go(func() {
			var ids []string
			var text strings.Builder
			for _, path := range []string{"/archive/long", "/archive/large", "/archive/a", "/archive/b"} {
				id := newID()
				ids = append(ids, id)
				fmt.Fprintf(&text, "GET %s HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\nX-Request-Deadline: %d\r\n\r\n", path, host, id, readBudget.Milliseconds())
			}
			rec.add("client: sends %s on one kept channel", strings.Join(ids, ", "))
			began := time.Now()
			_ = conn.net.SetDeadline(began.Add(readBudget))
			if _, err := io.WriteString(conn.net, text.String()); err != nil {
				rec.add("client: %v", err)
				return
			}
			lost := 0
			for _, id := range ids {
				n, err := readAnswer(conn.br, id)
				took := time.Since(began)
				if err == nil {
					rec.add("client: %s answered with %d bytes after %.3f s", id, n, took.Seconds())
					continue
				}
				rec.add("client: %s has no complete answer after %.3f s: %v", id, took.Seconds(), err)
				mu.Lock()
				if runs[id] > 0 && !errors.Is(err, os.ErrDeadlineExceeded) {
					lost++
				}
				mu.Unlock()
			}
			mu.Lock()
			defer mu.Unlock()
			unanswered += lost
			if lost > 0 {
				closed++
			}
		})
	}
	clients.Wait()
	rec.add("%d channels were closed by the machine with %d requests unanswered that targets had run", closed, unanswered)
	return closed > 3, nil
}

// readAnswer reads the answer to a request and returns the size of its body.
func readAnswer(br *bufio.Reader, id string) (int64, error) {
	resp, err := http.ReadResponse(br, nil)
	if err != nil {
		return 0, err
	}
	defer func() { _ = resp.Body.Close() }()
	n, err := io.Copy(io.Discard, resp.Body)
	switch {
	case err != nil:
		return n, err
	case resp.StatusCode != http.StatusOK:
		return n, fmt.Errorf("status %d", resp.StatusCode)
	case resp.Header.Get("X-Request-Id") != id:
		return n, errors.New("the answer to another request")
	}
	return n, nil
}

// writeAnswer writes an answer. With a limit, it fails if nothing of the rest is
// taken for unreadLimit.
func writeAnswer(in *inbound, size int, limited bool) error {
	if tcp, ok := in.conn.(*net.TCPConn); ok {
		_ = tcp.SetWriteBuffer(windowBytes)
	}
	text := answerHead(in, "200 OK", size) + repeat(size)
	for len(text) > 0 {
		if limited {
			_ = in.conn.SetWriteDeadline(time.Now().Add(unreadLimit))
		}
		n, err := io.WriteString(in.conn, text[:min(len(text), 16<<10)])
		if err != nil {
			return err
		}
		text = text[n:]
	}
	return nil
}
