//go:build review

package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	narrowHeaderBytes = 8192
	wideHeaderBytes   = 32768
	// longHeaderBytes is the size of the cookie that clients send once the limit
	// allows it.
	longHeaderBytes = 20000
	configApply     = 2 * time.Second
)

// runLimits lets the operator raise a limit on what clients may send, while
// clients keep their channels.
func runLimits(c *cluster, trouble bool) (bool, error) {
	c.headerBytes = narrowHeaderBytes
	if !trouble {
		c.headerBytes = wideHeaderBytes
	}
	c.publish(readRoute)
	for i := range 6 {
		if _, err := c.addTarget([]string{"za", "zb"}[i%2], 10, 10*time.Millisecond, nil); err != nil {
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
	var mu sync.Mutex
	long := ""
	statuses := map[string]map[int]int{"short, kept channel": {}, "long, kept channel": {}, "long, new channel": {}}
	for i := range 20 {
		d := c.daemons[i%2]
		user := &client{zone: d.zone, directories: []string{dirAddress(d), dirAddress(c.daemons[1-i%2])}}
		group.Go(func() {
			addresses, err := user.lookup()
			if err != nil {
				return
			}
			var ch *channel
			channels := 0
			for !waitFor(stop, 200*time.Millisecond) {
				if ch == nil {
					conn, err := connect(addresses)
					if err != nil {
						continue
					}
					ch = newChannel(conn)
					channels++
				}
				mu.Lock()
				cookie := long
				mu.Unlock()
				kind := "short, kept channel"
				path := "/read/a"
				if cookie != "" {
					kind = "long, kept channel"
					if channels > 1 {
						kind = "long, new channel"
					}
				}
				id := newID()
				status, _, err := ch.getWith(path, id, "Cookie: session="+cookie+"\r\n", userBudget)
				c.record.line("user sent %s on channel %d with %d bytes of cookie, answered %d", id, channels, len(cookie), status)
				mu.Lock()
				statuses[kind][status]++
				mu.Unlock()
				if err != nil {
					_ = ch.Close()
					ch = nil
				}
			}
			if ch != nil {
				_ = ch.Close()
			}
		})
	}
	time.Sleep(5 * time.Second)
	if trouble {
		c.headerBytes = wideHeaderBytes
		c.publish(readRoute)
	}
	time.Sleep(configApply + time.Second)
	c.record.say("clients: the headers get as long as the newest version allows, for longer than config_apply")
	mu.Lock()
	long = strings.Repeat("x", longHeaderBytes)
	mu.Unlock()
	time.Sleep(5 * time.Second)
	close(stop)
	group.Wait()
	denied, total := 0, 0
	for kind, counts := range statuses {
		c.record.say("%s: answers by status %v", kind, counts)
		for status, count := range counts {
			total += count
			if status == http.StatusRequestHeaderFieldsTooLarge {
				denied += count
			}
		}
	}
	if statuses["short, kept channel"][http.StatusOK] == 0 {
		return false, fmt.Errorf("no request is served before the change")
	}
	c.record.say("%d of %d requests are refused as only the older version allows", denied, total)
	return denied > 5+total/500, nil
}
