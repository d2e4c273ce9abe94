package telemetry

import (
	"flag"
	"fmt"
	"strconv"
	"strings"
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

// ConfigureLog makes klog write bare lines to standard error. It is called
// once, before the first event.
func ConfigureLog() {
	flags := flag.NewFlagSet("klog", flag.ContinueOnError)
	klog.InitFlags(flags)
	for name, value := range map[string]string{"logtostderr": "true", "skip_headers": "true"} {
		if err := flags.Set(name, value); err != nil {
			panic(err) // The flags are those of the pinned klog version.
		}
	}
}

// Event logs one line. Any goroutine may call it.
func Event(name string, fields ...Field) { klog.InfoDepth(1, Line(name, fields...)) }

// Failure logs one line about a step that failed.
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
