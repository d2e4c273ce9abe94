//go:build review2

package main

import (
	"errors"
	"fmt"
	"io"
	"os"
	"strings"
	"sync"
	"time"
)

func init() { cases["broken-first-answer"] = brokenFirstAnswer }

const (
	// garblers of targets break off each garbleEvery-th of their answers, for
	// garbleFor.
	targets     = 10
	garblers    = 3
	garbleEvery = 40
	garbleFor   = 5500 * time.Millisecond
	// firstAnswer is the size of the first answer of a batch.
	firstAnswer = 256 << 10
	// batchBudget is the clients' time budget, and the route's timeout.
	batchBudget = 4 * time.Second
	batchWork   = 20 * time.Millisecond
	// batchClients is the number of clients with a channel each.
	batchClients = 12
)

// brokenFirstAnswer has clients that send batches of four reads on kept channels.
// With trouble, some targets break off some of their answers.
func brokenFirstAnswer(rec *record, root string, trouble bool) (bool, error) {
	c, err := newCluster(rec, root)
	if err != nil {
		return false, err
	}
	defer c.close()
	c.putConfig(1, []route{{"r-read", "/archive/", "idempotent", "archive", "4000ms", "1500ms", 2}})
	var mu sync.Mutex
	// soundly holds the requests that a target which never garbles has answered.
	soundly := map[string]bool{}
	var garbleUntil time.Time
	for n := range targets {
		answers := 0
		serve := func(in *inbound) bool {
			time.Sleep(batchWork)
			size := smallAnswer
			if strings.HasSuffix(in.path, "/first") {
				size = firstAnswer
			}
			mu.Lock()
			answers++
			garbled := n < garblers && answers%garbleEvery == 0 && time.Now().Before(garbleUntil)
			mu.Unlock()
			text := answerHead(in, "200 OK", size) + repeat(size)
			if garbled {
				rec.add("target %d: breaks off the answer to %s %s", n, in.path, in.id)
				_, _ = io.WriteString(in.conn, text[:len(text)-size/4])
				return false
			}
			_, err := io.WriteString(in.conn, text)
			mu.Lock()
			soundly[in.id] = err == nil && n >= garblers
			mu.Unlock()
			return err == nil
		}
		if _, err := c.startTarget(fmt.Sprintf("i-%d", n+1), "archive", serve); err != nil {
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

	mu.Lock()
	if trouble {
		rec.add("targets 0 to %d begin to break off one in %d of their answers", garblers-1, garbleEvery)
		garbleUntil = time.Now().Add(garbleFor)
	}
	mu.Unlock()
	var clients sync.WaitGroup
	answered, closed, unanswered := 0, 0, 0
	endAt := time.Now().Add(garbleFor + time.Second)
	for range batchClients {
		clients.Go(func() {
			var conn *clientConn
			for time.Now().Before(endAt) {
				if conn == nil {
					var err error
					if conn, err = dialClient(machine.requests()); err != nil {
						rec.add("client: %v", err)
						return
					}
					// The channel is a kept one from its second request on.
					conn.send("GET", "/archive/a", newID(), "", batchBudget)
				}
				got, behind, err := conn.batch()
				mu.Lock()
				answered += got
				lost := 0
				for _, id := range behind {
					if soundly[id] && !errors.Is(err, os.ErrDeadlineExceeded) {
						lost++
						rec.add("client: %s has no answer (%v), though a sound target has answered", id, err)
					}
				}
				unanswered += lost
				if lost > 0 {
					closed++
				}
				mu.Unlock()
				if err != nil {
					_ = conn.net.Close()
					conn = nil
				}
			}
		})
	}
	clients.Wait()
	rec.add("%d requests answered; %d channels closed by the machine with %d requests unanswered that sound targets had answered", answered, closed, unanswered)
	return closed > 3, nil
}

// batch sends four reads at once and reads their answers. After an error it
// returns the requests without one behind the first of these.
func (c *clientConn) batch() (got int, behind []string, err error) {
	var ids []string
	var text strings.Builder
	for _, path := range []string{"/archive/first", "/archive/a", "/archive/b", "/archive/c"} {
		id := newID()
		ids = append(ids, id)
		fmt.Fprintf(&text, "GET %s HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\nX-Request-Deadline: %d\r\n\r\n", path, host, id, batchBudget.Milliseconds())
	}
	_ = c.net.SetDeadline(time.Now().Add(batchBudget))
	if _, err := io.WriteString(c.net, text.String()); err != nil {
		return 0, nil, err
	}
	for i, id := range ids {
		if _, err := readAnswer(c.br, id); err != nil {
			return got, ids[i+1:], err
		}
		got++
	}
	return got, nil, nil
}
