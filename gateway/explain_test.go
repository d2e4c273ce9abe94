package gateway

import (
	"bytes"
	"net"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"pistachioford.example/pistachioford/operate"
	"pistachioford.example/pistachioford/telemetry"
)

// logBuffer collects the log lines of the process.
type logBuffer struct {
	mu   sync.Mutex
	text bytes.Buffer
}

func (l *logBuffer) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.Write(p)
}

func (l *logBuffer) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.String()
}

// Guards the page for on-call engineers: three kinds of failed requests can be
// traced from their id to the cause, by the log lines that docs/OPERATIONS.md
// shows.
func TestFailedRequestsAreExplained(t *testing.T) {
	page, err := os.ReadFile("../docs/OPERATIONS.md")
	if err != nil {
		t.Fatal(err)
	}
	cases := map[string]struct {
		script  func(net.Conn, *receivedRequest) bool
		status  int
		outcome string
		// fragments are parts of log lines that the page shows.
		fragments []string
	}{
		"refused": {respondShed, 503, "refused, not run: the targets were full",
			[]string{"event=exchange_failed", "result=shed", "event=refused", "reason=shed"}},
		"timed out": {func(net.Conn, *receivedRequest) bool { time.Sleep(2 * time.Second); return false }, 504,
			"outcome unknown: no answer within", []string{"result=timed_out", "reason=timeout"}},
		"broken": {func(net.Conn, *receivedRequest) bool { return false }, 502,
			"outcome unknown: the target broke off", []string{"result=broken", "reason=broken"}},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			log := &logBuffer{}
			w := telemetry.NewWriter(log)
			telemetry.LogTo(w, telemetry.LevelInfo)
			s := newSite(t)
			s.startTarget("i-1", test.script)
			g := s.startInstance("g")
			s.waitForTargets(g, 1)
			is.Equal(s.connect(g).do("POST", "/order/1", "x").status, test.status)
			w.Close()
			file := filepath.Join(t.TempDir(), "g.log")
			is.NoErr(os.WriteFile(file, []byte(log.String()), 0o600))
			trace, err := operate.Explain("id-1", []string{file})
			is.NoErr(err)
			is.True(strings.HasPrefix(trace.Outcome, test.outcome))
			t.Logf("\n%s", formatTrace(trace))
			for _, fragment := range test.fragments {
				is.True(strings.Contains(log.String(), fragment))
				is.True(strings.Contains(string(page), fragment))
			}
		})
	}
}

func formatTrace(trace *operate.RequestTrace) string {
	var lines []string
	for _, line := range trace.Lines {
		mark := "  "
		if !line.Context {
			mark = "> "
		}
		lines = append(lines, mark+line.File+": "+line.Text)
	}
	return strings.Join(append(lines, trace.Request+": "+trace.Outcome), "\n")
}
