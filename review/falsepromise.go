//go:build review

package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"
)

const (
	// The disruption: one of ten targets fails a part of its requests.
	greyTargets = 1
	// failedOf20 of 20 requests fail, 0.45 of them.
	failedOf20 = 9
	greyLength = 6500 * time.Millisecond
)

// runFalsePromise lets a target fail orders after it has run them.
func runFalsePromise(c *cluster, trouble bool) (bool, error) {
	c.publish(readRoute + orderRoute)
	var mu sync.Mutex
	failing := false
	asked, failed := 0, 0
	runs := map[string]bool{}
	note := func(r *http.Request) {
		mu.Lock()
		defer mu.Unlock()
		runs[r.Header.Get("X-Request-Id")] = true
	}
	sound := func(t *target, w http.ResponseWriter, r *http.Request) bool {
		note(r)
		return false
	}
	grey := func(t *target, w http.ResponseWriter, r *http.Request) bool {
		note(r)
		mu.Lock()
		fail := failing && (asked+1)*failedOf20/20 > asked*failedOf20/20
		if failing {
			asked++
		}
		if fail {
			failed++
		}
		mu.Unlock()
		if !fail {
			return false
		}
		// The order is booked, then a part behind the target fails.
		time.Sleep(t.workTime)
		id := r.Header.Get("X-Request-Id")
		w.Header().Set("X-Server-Seal", "seal-"+id)
		w.WriteHeader(http.StatusServiceUnavailable)
		_, _ = io.WriteString(w, "failed after the order was booked\n")
		c.record.line("target %s has run %s and answers 503 without X-Not-Executed", t.id, id)
		return true
	}
	for i := range 10 {
		hook := sound
		if i < greyTargets {
			hook = grey
		}
		if _, err := c.addTarget([]string{"za", "zb"}[i%2], 10, 50*time.Millisecond, hook); err != nil {
			return false, err
		}
	}
	for _, zone := range []string{"za", "zb"} {
		if _, err := c.addDaemon(zone); err != nil {
			return false, err
		}
	}
	if err := c.awaitReady(15 * time.Second); err != nil {
		return false, err
	}
	stop := make(chan struct{})
	var group sync.WaitGroup
	answers := map[string]int{}
	falsePromises, repeated := 0, 0
	for i := range 40 {
		d := c.daemons[i%2]
		user := &client{zone: d.zone, directories: []string{dirAddress(d), dirAddress(c.daemons[1-i%2])}}
		group.Go(func() {
			for n := 0; !waitFor(stop, 50*time.Millisecond+rand.N(100*time.Millisecond)); n++ {
				addresses, err := user.lookup()
				if err != nil {
					continue
				}
				// A client repeats an order once, only after a promise that it has
				// not run, with another id.
				object := rand.IntN(1000)
				ranBefore := false
				for range 2 {
					id := newID()
					status := orderOf(addresses, id, object)
					mu.Lock()
					ran := runs[id]
					answers[fmt.Sprintf("%d, run: %t", status, ran)]++
					promised := status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests
					if promised && ran {
						falsePromises++
					}
					if ran && ranBefore {
						repeated++
					}
					mu.Unlock()
					c.record.line("user sent order %s, answered %d, run: %t", id, status, ran)
					ranBefore = ranBefore || ran
					if !promised {
						break
					}
				}
			}
		})
	}
	time.Sleep(5 * time.Second)
	if trouble {
		c.record.say("targets: %d of 10 fails %d of 20 requests after it has run them", greyTargets, failedOf20)
		mu.Lock()
		failing = true
		mu.Unlock()
	}
	time.Sleep(greyLength)
	mu.Lock()
	failing = false
	mu.Unlock()
	time.Sleep(3 * time.Second)
	close(stop)
	group.Wait()
	c.record.say("the target failed %d of %d requests", failed, asked)
	c.record.say("orders by answer: %v", answers)
	c.record.say("%d orders were answered 429 or 503 and had run; %d orders ran again after that", falsePromises, repeated)
	if answers["200, run: true"] == 0 {
		return false, fmt.Errorf("no order is served")
	}
	return falsePromises > 0, nil
}

// orderOf sends an order that concerns an object on a new channel.
func orderOf(addresses []string, id string, object int) (status int) {
	conn, err := connect(addresses)
	if err != nil {
		return 0
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(3 * time.Second))
	fmt.Fprintf(conn, "POST /order/%d HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: %s\r\nCookie: X-Affinity-Key=%d\r\nX-Request-Deadline: 2500\r\nContent-Length: 2\r\n\r\n{}", object, id, object)
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0
	}
	_, _ = io.Copy(io.Discard, resp.Body)
	_ = resp.Body.Close()
	return resp.StatusCode
}
