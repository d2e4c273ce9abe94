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

// logFile collects what the process logs.
type logFile struct {
	mu   sync.Mutex
	text bytes.Buffer
}

func (l *logFile) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.Write(p)
}

func (l *logFile) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.String()
}

// Guards the page for on-call engineers: three kinds of failed request lead
// from their id to their cause, by the lines that docs/OPERATIONS.md shows.
func TestFailedRequestsAreExplained(t *testing.T) {
	page, err := os.ReadFile("../docs/OPERATIONS.md")
	if err != nil {
		t.Fatal(err)
	}
	cases := map[string]struct {
		script  func(net.Conn, *seen) bool
		status  int
		outcome string
		// keys are parts of lines that the page shows.
		keys []string
	}{
		"refused": {shed, 503, "refused, not run: the targets were full",
			[]string{"event=exchange_failed", "result=shed", "event=refused", "reason=shed"}},
		"timed out": {func(net.Conn, *seen) bool { time.Sleep(2 * time.Second); return false }, 504,
			"outcome unknown: no answer within", []string{"result=timed_out", "reason=timeout"}},
		"broken off": {func(net.Conn, *seen) bool { return false }, 502,
			"outcome unknown: the target broke off", []string{"result=broken", "reason=broken"}},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			log := &logFile{}
			w := telemetry.NewWriter(log)
			telemetry.LogTo(w, telemetry.LevelInfo)
			s := newSite(t)
			s.target("i-1", test.script)
			g := s.instance("g")
			s.targets(g, 1)
			is.Equal(s.caller(g).ask("POST", "/order/1", "x").status, test.status)
			w.Close()
			file := filepath.Join(t.TempDir(), "g.log")
			is.NoErr(os.WriteFile(file, []byte(log.String()), 0o600))
			story, err := operate.Explain("id-1", []string{file})
			is.NoErr(err)
			is.True(strings.HasPrefix(story.Outcome, test.outcome))
			t.Logf("\n%s", joined(story))
			for _, key := range test.keys {
				is.True(strings.Contains(log.String(), key))
				is.True(strings.Contains(string(page), key))
			}
		})
	}
}

func joined(story *operate.Story) string {
	var lines []string
	for _, line := range story.Lines {
		mark := "  "
		if !line.Context {
			mark = "> "
		}
		lines = append(lines, mark+line.File+": "+line.Text)
	}
	return strings.Join(append(lines, story.Request+": "+story.Outcome), "\n")
}
