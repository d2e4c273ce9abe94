//go:build review

package main

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// sent is one request of a user and its end: a status, or 0 with the reason why
// there is no answer.
type sent struct {
	at     time.Time
	id     string
	status int
	reason string
}

// client speaks to the system as the pages say that clients do.
type client struct {
	zone string
	// directories are the lookup addresses, nearest first.
	directories []string
}

var errNoDirectory = errors.New("no directory answered")

// lookup asks up to three directories, allowing one second for each.
func (c *client) lookup() ([]string, error) {
	for _, address := range c.directories[:min(3, len(c.directories))] {
		client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
		resp, err := client.Get(fmt.Sprintf("http://%s/resolve?name=h.example&region=%s&zone=%s", address, zoneRegions[c.zone], c.zone))
		if err != nil {
			continue
		}
		var found struct {
			Addresses []string `json:"addresses"`
		}
		err = json.NewDecoder(resp.Body).Decode(&found)
		_ = resp.Body.Close()
		if err == nil && resp.StatusCode == http.StatusOK && len(found.Addresses) > 0 {
			return found.Addresses, nil
		}
	}
	return nil, errNoDirectory
}

// connect opens a channel, for which a client allows one second.
func connect(addresses []string) (net.Conn, error) {
	return net.DialTimeout("tcp4", addresses[rand.IntN(len(addresses))], time.Second)
}

// channel is an open channel of a user.
type channel struct {
	net.Conn
	br *bufio.Reader
}

func newChannel(conn net.Conn) *channel { return &channel{conn, bufio.NewReader(conn)} }

// get sends one idempotent request and reads the answer, for the time budget.
func (ch *channel) get(path, id string, budget time.Duration) (status int, body string, err error) {
	return ch.getWith(path, id, "", budget)
}

// getWith sends a request with further header fields.
func (ch *channel) getWith(path, id, fields string, budget time.Duration) (status int, body string, err error) {
	_ = ch.SetDeadline(time.Now().Add(budget))
	_, err = fmt.Fprintf(ch, "GET %s HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: %s\r\nX-Request-Deadline: %d\r\n%s\r\n", path, id, budget.Milliseconds(), fields)
	if err != nil {
		return 0, "", err
	}
	resp, err := http.ReadResponse(ch.br, nil)
	if err != nil {
		return 0, "", err
	}
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, "", err
	}
	if resp.Close {
		err = io.EOF
	}
	return resp.StatusCode, string(text), err
}

var idCount atomic.Int64

func newID() string {
	return fmt.Sprintf("%d-%d-%x", os.Getpid(), idCount.Add(1), rand.Uint32())
}

const (
	userBudget = 2 * time.Second
	// userPause is how long a user waits between two requests.
	userPause = 3 * time.Second
)

// session is one visit of a user: it looks up where to connect, and sends
// requests on one kept channel until it leaves.
func (c *client) session(length time.Duration, stop <-chan struct{}, report func(sent)) {
	end := time.Now().Add(length)
	began := time.Now()
	addresses, err := c.lookup()
	if err != nil {
		report(sent{began, "-", 0, "no-directory"})
		waitFor(stop, time.Second)
		return
	}
	conn, err := connect(addresses)
	if err != nil {
		report(sent{began, "-", 0, "no-channel"})
		waitFor(stop, time.Second)
		return
	}
	ch := newChannel(conn)
	defer func() { _ = ch.Close() }()
	for time.Now().Before(end) {
		at, id := time.Now(), newID()
		status, _, err := ch.get("/read/a", id, userBudget)
		reason := "-"
		if err != nil && status == 0 {
			reason = "no-answer"
		}
		report(sent{at, id, status, reason})
		if err != nil || waitFor(stop, userPause/2+rand.N(userPause)) {
			return
		}
	}
}

// waitFor waits for d and returns true if stop was closed before.
func waitFor(stop <-chan struct{}, d time.Duration) bool {
	select {
	case <-stop:
		return true
	case <-time.After(d):
		return false
	}
}

// runUsers is the program of a worker process: a number of users who come, stay
// for a while and are followed by new ones, until standard input ends.
func runUsers(args []string) int {
	c := &client{zone: args[0], directories: strings.Split(args[1], ",")}
	count, _ := strconv.Atoi(args[2])
	length, _ := time.ParseDuration(args[3])
	ramp, _ := time.ParseDuration(args[4])
	stop := make(chan struct{})
	go func() {
		_, _ = io.Copy(io.Discard, os.Stdin)
		close(stop)
	}()
	out := bufio.NewWriter(os.Stdout)
	var mu sync.Mutex
	report := func(s sent) {
		mu.Lock()
		defer mu.Unlock()
		fmt.Fprintf(out, "%d %s %d %s\n", s.at.UnixMilli(), s.id, s.status, s.reason)
	}
	go func() {
		// Users who leave close their channels at once.
		<-stop
		time.Sleep(100 * time.Millisecond)
		mu.Lock()
		_ = out.Flush()
		os.Exit(exitHeld)
	}()
	var group sync.WaitGroup
	for range count {
		group.Go(func() {
			if waitFor(stop, rand.N(ramp)) {
				return
			}
			first := true
			for {
				select {
				case <-stop:
					return
				default:
				}
				stay := length
				if first {
					// Users do not all leave at the same time.
					stay = rand.N(length)
				}
				first = false
				c.session(stay, stop, report)
			}
		})
	}
	group.Wait()
	mu.Lock()
	defer mu.Unlock()
	_ = out.Flush()
	return 0
}

// workers are processes of users.
type workers struct {
	cmds   []*exec.Cmd
	stdins []io.Closer
	group  sync.WaitGroup
	mu     sync.Mutex
	all    []sent
}

// usersPerProcess keeps each process of users below common limits of descriptors.
const usersPerProcess = 900

// addUsers starts users of a zone. directories are nearest first.
func (w *workers) addUsers(zone string, directories []string, count int, length, ramp time.Duration) error {
	for count > 0 {
		n := min(count, usersPerProcess)
		count -= n
		cmd := exec.Command(os.Args[0], "users", zone, strings.Join(directories, ","), strconv.Itoa(n), length.String(), ramp.String())
		cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
		cmd.Stderr = os.Stderr
		stdin, err := cmd.StdinPipe()
		if err != nil {
			return err
		}
		stdout, err := cmd.StdoutPipe()
		if err != nil {
			return err
		}
		if err := cmd.Start(); err != nil {
			return err
		}
		w.cmds, w.stdins = append(w.cmds, cmd), append(w.stdins, stdin)
		w.group.Go(func() {
			lines := bufio.NewScanner(stdout)
			for lines.Scan() {
				var ms int64
				var s sent
				if _, err := fmt.Sscan(lines.Text(), &ms, &s.id, &s.status, &s.reason); err == nil {
					s.at = time.UnixMilli(ms)
					w.mu.Lock()
					w.all = append(w.all, s)
					w.mu.Unlock()
				}
			}
			_ = cmd.Wait()
		})
	}
	return nil
}

// leave makes the users leave and waits for their reports.
func (w *workers) leave() {
	for _, stdin := range w.stdins {
		_ = stdin.Close()
	}
	w.group.Wait()
}
