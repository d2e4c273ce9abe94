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
	// maxRoutineLines bounds the routine lines, which report success, in one
	// flush period. All other lines are kept as long as the buffer has space.
	maxRoutineLines = 500
	// maxPendingBytes bounds the lines that wait to be written. Further lines are
	// dropped and counted, since a stalled reader must not block requests.
	maxPendingBytes = 1 << 20
	// flushPeriod is how long lines are collected before they are written with
	// one system call.
	flushPeriod = 250 * time.Millisecond
)

// Writer buffers lines and writes them in the background, flushPeriod after the
// first of them, so that a slow output does not block its callers.
type Writer struct {
	mu           sync.Mutex
	pending      bytes.Buffer
	droppedCount uint64
	// routineCount is the number of routine lines written since the last flush,
	// omittedCount the number of those omitted.
	routineCount, omittedCount uint64
	wake                       chan struct{}
	closing                    chan struct{}
	finished                   chan struct{}
	out                        io.Writer
}

// NewWriter returns a Writer that writes to out until Close.
func NewWriter(out io.Writer) *Writer {
	w := &Writer{out: out, wake: make(chan struct{}, 1), closing: make(chan struct{}), finished: make(chan struct{})}
	go w.run()
	return w
}

// Write implements io.Writer. It buffers one line, or drops it if the buffer is
// full, and never returns an error.
func (w *Writer) Write(line []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.pending.Len()+len(line) > maxPendingBytes {
		w.droppedCount++
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
	return w.droppedCount
}

// admitRoutine counts a routine line and reports whether it may be written.
func (w *Writer) admitRoutine() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.routineCount >= maxRoutineLines {
		w.omittedCount++
		return false
	}
	w.routineCount++
	return true
}

func (w *Writer) run() {
	defer close(w.finished)
	for {
		select {
		case <-w.closing:
			w.flush()
			return
		case <-w.wake:
		}
		select {
		case <-w.closing:
		case <-time.After(flushPeriod):
		}
		w.flush()
	}
}

func (w *Writer) flush() {
	w.mu.Lock()
	lines := append([]byte(nil), w.pending.Bytes()...)
	w.pending.Reset()
	if w.droppedCount > 0 {
		lines = fmt.Appendf(lines, "%s\n", Line("log_lines_dropped", F("count", w.droppedCount)))
		w.droppedCount = 0
	}
	if w.omittedCount > 0 {
		lines = fmt.Appendf(lines, "%s\n", Line("log_lines_omitted", F("count", w.omittedCount)))
	}
	w.routineCount, w.omittedCount = 0, 0
	w.mu.Unlock()
	if len(lines) == 0 {
		return
	}
	// There is no other output to report a failed write to.
	_, _ = w.out.Write(lines)
}

// closeTimeout bounds the wait for a stalled reader.
const closeTimeout = time.Second

// Close writes the buffered lines and stops the Writer. It gives up after
// closeTimeout.
func (w *Writer) Close() {
	close(w.closing)
	select {
	case <-w.finished:
	case <-time.After(closeTimeout):
	}
}

// activeWriter is the writer that LogTo set.
var activeWriter atomic.Pointer[Writer]

// Routine logs one line that reports success. Lines beyond maxRoutineLines in one
// flush period are omitted and counted.
func Routine(name string, fields ...Field) {
	if w := activeWriter.Load(); w != nil && !w.admitRoutine() {
		return
	}
	Event(name, fields...)
}

// LogTo writes all log lines of at least the given level to w.
func LogTo(w *Writer, level string) {
	ConfigureLog(level)
	activeWriter.Store(w)
	klog.LogToStderr(false)
	// klog writes an error to the outputs of all lower severities too, so only
	// the output for INFO is the writer.
	klog.SetOutputBySeverity("INFO", w)
	for _, severity := range []string{"WARNING", "ERROR", "FATAL"} {
		klog.SetOutputBySeverity(severity, io.Discard)
	}
}
