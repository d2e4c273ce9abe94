//go:build review

package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

// The users of each machine, and how many times as many come in the burst.
const (
	usersPerMachine = 2450
	burstFactor     = 1.7
	burstLength     = 3 * time.Second
	recovery        = 15 * time.Second
	stay            = 8 * time.Second
)

// runDescriptors lets many users come at once and leave again.
func runDescriptors(c *cluster, trouble bool) (bool, error) {
	c.publish(readRoute)
	for i := range 6 {
		if _, err := c.addTarget([]string{"za", "zb"}[i%2], 100, 5*time.Millisecond, nil); err != nil {
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
	stopAsking := make(chan struct{})
	var asked sync.WaitGroup
	defer asked.Wait()
	defer close(stopAsking)
	for _, d := range c.daemons {
		asked.Go(func() { c.askReadiness(d, stopAsking) })
	}
	base := &workers{}
	for i, d := range c.daemons {
		other := c.daemons[1-i]
		if err := base.addUsers(d.zone, []string{dirAddress(d), dirAddress(other)}, usersPerMachine, stay, 4*time.Second); err != nil {
			return false, err
		}
	}
	c.record.say("users: %d come for each machine", usersPerMachine)
	time.Sleep(12 * time.Second)
	burstAt := time.Now()
	if trouble {
		burst := &workers{}
		extra := int((burstFactor - 1) * usersPerMachine)
		for i, d := range c.daemons {
			other := c.daemons[1-i]
			if err := burst.addUsers(d.zone, []string{dirAddress(d), dirAddress(other)}, extra, 10*burstLength, 500*time.Millisecond); err != nil {
				return false, err
			}
		}
		c.record.say("users: %d more come for each machine", extra)
		time.Sleep(time.Until(burstAt.Add(burstLength - 200*time.Millisecond)))
		burst.leave()
		for _, s := range burst.all {
			c.record.line("user of the burst: request %s sent %s answered %d %s", s.id, s.at.Format("15:04:05.000"), s.status, s.reason)
		}
	} else {
		time.Sleep(burstLength)
	}
	endAt := time.Now()
	c.record.say("users: the others have left again")
	time.Sleep(recovery + 15*time.Second)
	for _, d := range c.daemons {
		c.record.say("%s: ended %t, resident %d MB", d.name, d.hasExited(), d.residentMB())
	}
	base.leave()
	before, servedBefore := 0, 0
	after, servedAfter := 0, 0
	reasons := map[string]int{}
	for _, s := range base.all {
		c.record.line("user request %s sent %s answered %d %s", s.id, s.at.Format("15:04:05.000"), s.status, s.reason)
		switch {
		case s.at.Before(burstAt):
			before++
			if s.status == http.StatusOK {
				servedBefore++
			}
		case s.at.After(endAt.Add(recovery)):
			after++
			if s.status == http.StatusOK {
				servedAfter++
			}
			reasons[fmt.Sprintf("%d %s", s.status, s.reason)]++
		}
	}
	c.record.say("served before the burst: %d of %d requests", servedBefore, before)
	c.record.say("served later than recovery after it: %d of %d requests: %v", servedAfter, after, reasons)
	if before == 0 || 4*servedBefore < before {
		return false, fmt.Errorf("too few requests are served before the burst")
	}
	return 4*servedAfter < after, nil
}

func dirAddress(d *daemon) string { return fmt.Sprintf("%s:%d", d.address, directoryPort) }

// askReadiness asks for readiness once a second, as the platform does.
func (c *cluster) askReadiness(d *daemon, stop <-chan struct{}) {
	for !waitFor(stop, time.Second) {
		status, err := d.isReady()
		c.record.line("platform: readiness of %s: %d %v; resident %d MB", d.name, status, err, d.residentMB())
	}
}
