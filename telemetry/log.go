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

// Levels of the log, as the settings name them.
const (
	LevelDebug   = "debug"
	LevelInfo    = "info"
	LevelWarning = "warning"
	LevelError   = "error"
)

// rank is the lowest rank that is logged; a request at each rank is one line.
var rank atomic.Int32

var ranks = map[string]int32{LevelDebug: -1, LevelInfo: 0, LevelWarning: 1, LevelError: 2}

// ConfigureLog makes klog write bare lines of at least a level to standard
// error. An unknown level means info.
func ConfigureLog(level string) {
	flags := flag.NewFlagSet("klog", flag.ContinueOnError)
	klog.InitFlags(flags)
	for name, value := range map[string]string{"logtostderr": "true", "skip_headers": "true"} {
		if err := flags.Set(name, value); err != nil {
			panic(err) // The flags are those of the pinned klog version.
		}
	}
	rank.Store(ranks[level])
}

// Debugging tells whether Debug writes; callers avoid the cost of the fields.
func Debugging() bool { return rank.Load() <= ranks[LevelDebug] }

// Debug logs one line about something that happens often.
func Debug(name string, fields ...Field) {
	if Debugging() {
		klog.InfoDepth(1, Line(name, fields...))
	}
}

// Event logs one line. Any goroutine may call it.
func Event(name string, fields ...Field) {
	if rank.Load() <= ranks[LevelInfo] {
		klog.InfoDepth(1, Line(name, fields...))
	}
}

// Failure logs one line about a step that failed, at any level.
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
		line.WriteString(quoted(fmt.Sprint(f.Value)))
	}
	return line.String()
}

// quoted keeps a value on one line and free of ambiguous spaces.
func quoted(value string) string {
	if value == "" || strings.ContainsFunc(value, needsQuotes) {
		return strconv.Quote(value)
	}
	return value
}

func needsQuotes(r rune) bool { return r <= ' ' || r == '"' || r == '=' || r == 0x7f }
