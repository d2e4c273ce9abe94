package telemetry

import (
	"bytes"
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"

	"k8s.io/klog/v2"
)

const (
	// routineLines bounds the lines of a flush period that report what went as
	// it should; all others are kept as long as the buffer holds them.
	routineLines = 500
	// bufferBytes bounds the lines that wait to be written. Further lines are
	// dropped and counted, since a reader that stalls must not stop requests.
	bufferBytes = 1 << 20
	// flushPeriod gathers lines into one system call.
	flushPeriod = 250 * time.Millisecond
)

// Writer passes lines on in the background. It never blocks its callers.
type Writer struct {
	mu      sync.Mutex
	pending bytes.Buffer
	dropped uint64
	// routine counts the routine lines since the last flush, omitted those
	// beyond the limit.
	routine, omitted uint64
	wake             chan struct{}
	done             chan struct{}
	ended            chan struct{}
	to               io.Writer
}

// NewWriter starts a Writer; Close ends it.
func NewWriter(to io.Writer) *Writer {
	w := &Writer{to: to, wake: make(chan struct{}, 1), done: make(chan struct{}), ended: make(chan struct{})}
	go w.run()
	return w
}

// Write implements io.Writer for one line.
func (w *Writer) Write(line []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.pending.Len()+len(line) > bufferBytes {
		w.dropped++
		return len(line), nil
	}
	w.pending.Write(line)
	select {
	case w.wake <- struct{}{}:
	default:
	}
	return len(line), nil
}

// Dropped returns the number of lines that were dropped since the last flush.
func (w *Writer) Dropped() uint64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.dropped
}

// admitRoutine tells whether a routine line may be written.
func (w *Writer) admitRoutine() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.routine >= routineLines {
		w.omitted++
		return false
	}
	w.routine++
	return true
}

func (w *Writer) run() {
	defer close(w.ended)
	for {
		select {
		case <-w.done:
			w.flush()
			return
		case <-w.wake:
		}
		select {
		case <-w.done:
		case <-time.After(flushPeriod):
		}
		w.flush()
	}
}

func (w *Writer) flush() {
	w.mu.Lock()
	lines := append([]byte(nil), w.pending.Bytes()...)
	w.pending.Reset()
	if w.dropped > 0 {
		lines = fmt.Appendf(lines, "%s\n", Line("log_lines_dropped", F("count", w.dropped)))
		w.dropped = 0
	}
	if w.omitted > 0 {
		lines = fmt.Appendf(lines, "%s\n", Line("log_lines_omitted", F("count", w.omitted)))
	}
	w.routine, w.omitted = 0, 0
	w.mu.Unlock()
	if len(lines) == 0 {
		return
	}
	// Nobody is left to tell of a log that cannot be written.
	_, _ = w.to.Write(lines)
}

// closeTimeout bounds the wait for a reader that stalls.
const closeTimeout = time.Second

// Close writes what waits.
func (w *Writer) Close() {
	close(w.done)
	select {
	case <-w.ended:
	case <-time.After(closeTimeout):
	}
}

// active is the writer that LogTo set.
var active atomic.Pointer[Writer]

// Routine logs one line about something that went as it should. Under load
// some of these lines are omitted and counted.
func Routine(name string, fields ...Field) {
	if w := active.Load(); w != nil && !w.admitRoutine() {
		return
	}
	Event(name, fields...)
}

// LogTo makes all lines go to a Writer.
func LogTo(w *Writer, level string) {
	ConfigureLog(level)
	active.Store(w)
	klog.LogToStderr(false)
	// klog writes an error to the outputs of all lower severities too.
	klog.SetOutputBySeverity("INFO", w)
	for _, severity := range []string{"WARNING", "ERROR", "FATAL"} {
		klog.SetOutputBySeverity(severity, io.Discard)
	}
}
