package telemetry

import (
	"bytes"
	"io"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
)

// stalledWriter blocks until it is released.
type stalledWriter struct {
	release chan struct{}
	mu      sync.Mutex
	got     bytes.Buffer
}

func (s *stalledWriter) Write(p []byte) (int, error) {
	<-s.release
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.got.Write(p)
}

func (s *stalledWriter) text() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.got.String()
}

// Guards against a stalled log reader that blocks the callers of Write, and
// against memory that grows without bound meanwhile.
func TestStalledReaderDoesNotBlockWriters(t *testing.T) {
	is := is.New(t)
	stalled := &stalledWriter{release: make(chan struct{})}
	w := NewWriter(stalled)
	line := []byte(strings.Repeat("x", 999) + "\n")
	began := time.Now()
	for range 3 * maxPendingBytes / len(line) {
		n, err := w.Write(line)
		is.NoErr(err)
		is.Equal(n, len(line))
	}
	is.True(time.Since(began) < 5*time.Second)
	is.True(w.Dropped() > 0)
	w.mu.Lock()
	is.True(w.pending.Len() <= maxPendingBytes)
	w.mu.Unlock()
	close(stalled.release)
	w.Close()
	is.True(strings.Contains(stalled.text(), "event=log_lines_dropped count="))
}

// Guards against an unbounded number of routine lines, and against a loss of
// other lines because of them.
func TestRoutineLinesAreBounded(t *testing.T) {
	is := is.New(t)
	w := &Writer{out: io.Discard, wake: make(chan struct{}, 1)}
	admitted := 0
	for range 3 * maxRoutineLines {
		if w.admitRoutine() {
			admitted++
		}
	}
	is.Equal(admitted, maxRoutineLines)
	_, err := w.Write([]byte("event=refused\n"))
	is.NoErr(err)
	var out bytes.Buffer
	w.out = &out
	w.flush()
	is.True(strings.Contains(out.String(), "event=refused"))
	is.True(strings.Contains(out.String(), "event=log_lines_omitted count=1000"))
	is.True(w.admitRoutine())
}
