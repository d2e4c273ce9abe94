//go:build review2

package main

import (
	"fmt"
	"io"
	"sync"
	"syscall"
	"time"
)

func init() { cases["slow-reading-targets"] = slowReadingTargets }

const (
	// uploadBytes is the largest upload of the site, uploadBudget its time budget.
	uploadBytes  = 360_000
	uploadBudget = 6 * time.Second
	// readPause is how long a target reads nothing further after it has begun.
	readPause = 2 * time.Second
	// uploadWork is the work of a target after the body is in.
	uploadWork = 300 * time.Millisecond
	// uploaders is the number of clients, each with a kept channel to the machine
	// that stops.
	uploaders = 8
	// grace is the time from SIGTERM to SIGKILL.
	grace = 6 * time.Second
)

// work is what a target does for one upload.
type work struct {
	begun, ended time.Time
	// brokenOff is set if its channel ended before the target had answered.
	brokenOff bool
}

// slowReadingTargets stops a machine with SIGTERM while targets work on uploads.
// With trouble, the targets stop reading for a while in the middle of the body.
func slowReadingTargets(rec *record, root string, trouble bool) (bool, error) {
	c, err := newCluster(rec, root)
	if err != nil {
		return false, err
	}
	defer c.close()
	c.putConfig(1, []route{{"r-upload", "/bewys/", "upload", "bewys", "6000ms", "1500ms", 2}})
	var mu sync.Mutex
	works := map[string]*work{}
	serve := func(in *inbound) bool {
		w := &work{begun: time.Now()}
		mu.Lock()
		works[in.id] = w
		mu.Unlock()
		rec.add("target: begins to work on %s", in.id)
		n, err := readSlowly(in.body, trouble && in.length == uploadBytes)
		if err == nil {
			time.Sleep(uploadWork)
			_, err = io.WriteString(in.conn, answerHead(in, "200 OK", 2)+"ok")
		}
		mu.Lock()
		defer mu.Unlock()
		w.ended, w.brokenOff = time.Now(), err != nil
		if err != nil {
			rec.add("target: channel of %s broken off after %d bytes, %.3f s of work: %v", in.id, n, w.ended.Sub(w.begun).Seconds(), err)
			return false
		}
		rec.add("target: answered %s after %.3f s", in.id, w.ended.Sub(w.begun).Seconds())
		return true
	}
	for i := range 4 {
		if _, err := c.startTarget(fmt.Sprintf("i-%d", i+1), "bewys", serve); err != nil {
			return false, err
		}
	}
	for n := range 2 {
		if _, err := c.startInstance(n + 1); err != nil {
			return false, err
		}
	}
	if err := c.awaitReady(15 * time.Second); err != nil {
		return false, err
	}
	// Longer than `stable`: the machines are in touch.
	time.Sleep(5 * time.Second)

	stopping := c.instances[0]
	conns := make([]*clientConn, uploaders)
	for i := range conns {
		if conns[i], err = dialClient(stopping.requests()); err != nil {
			return false, err
		}
		if first := conns[i].send("POST", "/bewys/first", newID(), repeat(1000), uploadBudget); first.err != nil || first.status != 200 {
			return false, fmt.Errorf("first request: %s", first)
		}
	}
	var clients sync.WaitGroup
	answered, broken := 0, 0
	stopAt := time.Now().Add(time.Second)
	for i, conn := range conns {
		clients.Go(func() {
			// From 0.5 s before the SIGTERM to 1.6 s after it.
			time.Sleep(time.Until(stopAt.Add(-500*time.Millisecond + time.Duration(i)*300*time.Millisecond)))
			id := newID()
			rec.add("client: sends upload %s of %d bytes on its kept channel", id, uploadBytes)
			a := conn.send("POST", "/bewys/2f", id, repeat(uploadBytes), uploadBudget)
			rec.add("client: upload %s: %s", id, a)
			mu.Lock()
			defer mu.Unlock()
			w, endedAt := works[id], time.Now()
			planned := endedAt.After(stopAt) && endedAt.Before(stopAt.Add(grace+time.Second))
			switch {
			case a.err == nil && a.sealed:
				answered++
			case w != nil && planned && a.took < uploadBudget-500*time.Millisecond && (w.ended.IsZero() || w.brokenOff):
				broken++
				rec.add("client: upload %s was broken off while its target was at work", id)
			}
		})
	}
	time.Sleep(time.Until(stopAt))
	rec.add("platform: SIGTERM to %s", stopping.name)
	stopping.signal(syscall.SIGTERM)
	clients.Wait()
	rec.add("%d uploads answered by their targets, %d broken off at work", answered, broken)
	if answered+broken == 0 {
		return false, fmt.Errorf("no upload reached a target")
	}
	return broken > 0, nil
}

// readSlowly reads a body. With a pause, it stops reading for readPause after the
// first 64 KB.
func readSlowly(body io.Reader, pause bool) (int, error) {
	buffer := make([]byte, 16<<10)
	total, paused := 0, !pause
	for {
		n, err := body.Read(buffer)
		total += n
		if err == io.EOF {
			return total, nil
		}
		if err != nil {
			return total, err
		}
		if !paused && total >= 64<<10 {
			paused = true
			time.Sleep(readPause)
		}
	}
}
