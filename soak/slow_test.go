package soak

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"os"
	"strings"
	"time"

	"pistachioford.example/pistachioford/linger/lingertest"
)

const (
	// bulkSuffix ends the paths whose responses have bulkBytes.
	bulkSuffix = "-bulk"
	bulkBytes  = 9000
	// slowRate is what a slow caller reads, in bytes/s, and slowOutstanding the
	// requests that it keeps outstanding. A request so takes 1.4 s of its deadline of
	// 2 s.
	slowRate        = 25_000
	slowOutstanding = 4
	// slowRequests is how many requests a slow caller sends before it pauses.
	slowRequests = 12
	// lossSlack is how long before the end of its connection a response must have
	// been given to count as lost.
	lossSlack = 200 * time.Millisecond
	// undisturbedTime is how long neither the daemon nor the server of a lost
	// response may have been disturbed.
	undisturbedTime = 2 * time.Second
)

// responseBody returns the body that a server gives.
func responseBody(id, path string) string {
	body := id + " " + path
	if strings.HasSuffix(path, bulkSuffix) {
		body += strings.Repeat(".", max(bulkBytes-len(body), 0))
	}
	return body
}

// dial opens a connection. That of a slow caller has a small receive buffer, so that
// responses wait at the daemon.
func (who caller) dial(address string) (net.Conn, error) {
	if who.slow {
		return lingertest.Dialer().Dial("tcp4", address)
	}
	return net.DialTimeout("tcp4", address, time.Second)
}

// exchangeSlowly keeps requests outstanding on a connection and reads the responses
// slowly. It goes on sending until it has read that the connection closes. It
// returns the requests and whether the connection can be reused.
func (c *cluster) exchangeSlowly(conn net.Conn, reader *bufio.Reader, r *rand.Rand, who caller, n int) (attempts []*attempt, keep bool) {
	send := func() {
		a := &attempt{id: fmt.Sprintf("%s-%d.%d", who.name, n, len(attempts)), at: time.Now(), idempotent: true, bulk: true}
		attempts = append(attempts, a)
		var text strings.Builder
		a.encode(&text, r, func() string { return c.authorize(a, r, who.account) })
		// A connection that has ended shows when it is read.
		_ = conn.SetWriteDeadline(time.Now().Add(time.Second))
		_, _ = io.WriteString(conn, text.String())
	}
	for range slowOutstanding {
		send()
	}
	for i := 0; i < len(attempts); i++ {
		a := attempts[i]
		_ = conn.SetReadDeadline(time.Now().Add(6 * time.Second))
		if _, err := reader.Peek(1); err != nil {
			c.checkLost(conn, attempts[i:], err)
			return attempts, false
		}
		complete, closing := a.receive(reader)
		if !complete {
			// The caller sees that the body is incomplete.
			a.violation = ""
			c.checkLost(conn, attempts[i:], a.err)
			return attempts, false
		}
		if a.violation == "" {
			a.violation = c.checkAccount(a)
		}
		switch {
		case closing:
			a.expectEnd(conn, reader)
			return attempts, false
		case len(attempts) < slowRequests:
			send()
		}
	}
	return attempts, true
}

// answer is a response that a server has given in full.
type answer struct {
	server string
	at     time.Time
}

func (c *cluster) recordAnswered(s *server, id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.answered[id] = answer{s.id, time.Now()}
}

// disturbed records that something other than a planned stop happens to a daemon, by
// its address, or to the connections of a server, until the result is called.
func (c *cluster) disturbed(name string) (ended func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.disturbances[name]++
	return func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.disturbances[name]--
		c.lastDisturbed[name] = time.Now()
	}
}

// isUndisturbed is called with c.mu held.
func (c *cluster) isUndisturbed(name string, since time.Time) bool {
	return c.disturbances[name] == 0 && c.lastDisturbed[name].Before(since)
}

// checkLost checks that no response which a server has given is lost with a
// connection that its daemon has ended, also at the end of a planned stop.
func (c *cluster) checkLost(conn net.Conn, unanswered []*attempt, cause error) {
	if errors.Is(cause, os.ErrDeadlineExceeded) {
		return
	}
	host, _, _ := net.SplitHostPort(conn.RemoteAddr().String())
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, a := range unanswered {
		given, found := c.answered[a.id]
		since := a.at.Add(-undisturbedTime)
		if found && time.Since(given.at) > lossSlack && c.isUndisturbed(host, since) && c.isUndisturbed(given.server, since) {
			c.addViolation("the response to %s was given %v before its connection ended, and not delivered: %v", a.id, time.Since(given.at), cause)
		}
	}
}
