package telemetry

import (
	"flag"
	"fmt"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"k8s.io/klog/v2"
)

// Field is one key=value pair of a log line. Values must hold no secrets:
// no header values, no idempotency keys and no query strings.
type Field struct {
	Key   string
	Value any
}

// F returns a Field.
func F(key string, value any) Field { return Field{Key: key, Value: value} }

// Log levels, as written in the settings.
const (
	LevelDebug   = "debug"
	LevelInfo    = "info"
	LevelWarning = "warning"
	LevelError   = "error"
)

// minRank is the rank of the lowest level that is logged.
var minRank atomic.Int32

// levelRanks orders the levels by severity. Info has rank 0, so that an unknown
// level means info.
var levelRanks = map[string]int32{LevelDebug: -1, LevelInfo: 0, LevelWarning: 1, LevelError: 2}

// ConfigureLog sets the lowest level that is logged and makes klog write lines
// without its header to standard error. An unknown level means info.
func ConfigureLog(level string) {
	flags := flag.NewFlagSet("klog", flag.ContinueOnError)
	klog.InitFlags(flags)
	for name, value := range map[string]string{"logtostderr": "true", "skip_headers": "true"} {
		if err := flags.Set(name, value); err != nil {
			panic(err) // The flags are those of the pinned klog version.
		}
	}
	minRank.Store(levelRanks[level])
}

// Debugging reports whether Debug writes lines. Callers check it to avoid
// building fields that are not written.
func Debugging() bool { return minRank.Load() <= levelRanks[LevelDebug] }

// Debug logs one line about a frequent event, at the level debug.
func Debug(name string, fields ...Field) {
	if Debugging() {
		klog.InfoDepth(1, Line(name, fields...))
	}
}

// Event logs one line at the level info. It is safe for concurrent use.
func Event(name string, fields ...Field) {
	if minRank.Load() <= levelRanks[LevelInfo] {
		klog.InfoDepth(1, Line(name, fields...))
	}
}

// Failure logs one line about a failed step, whatever level is configured.
func Failure(name string, err error, fields ...Field) {
	klog.ErrorDepth(1, Line(name, append(fields, F("error", err))...))
}

// Line formats an event as key=value pairs.
func Line(name string, fields ...Field) string {
	var line strings.Builder
	line.WriteString("time=")
	line.WriteString(time.Now().UTC().Format(time.RFC3339Nano))
	line.WriteString(" event=")
	line.WriteString(name)
	for _, f := range fields {
		line.WriteByte(' ')
		line.WriteString(f.Key)
		line.WriteByte('=')
		line.WriteString(quoteIfNeeded(fmt.Sprint(f.Value)))
	}
	return line.String()
}

// quoteIfNeeded quotes a value that is empty or contains spaces, control
// characters, quotes or equals signs, so that the line can be split into pairs.
func quoteIfNeeded(value string) string {
	if value == "" || strings.ContainsFunc(value, needsQuotes) {
		return strconv.Quote(value)
	}
	return value
}

func needsQuotes(r rune) bool { return r <= ' ' || r == '"' || r == '=' || r == 0x7f }
