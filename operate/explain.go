package operate

import (
	"bufio"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"sort"
	"strconv"
	"strings"
	"time"

	"github.com/rotisserie/eris"
)

// RequestTrace is what log files say about one request, in order of time.
type RequestTrace struct {
	Request string      `json:"request"`
	Lines   []TraceLine `json:"lines"`
	// Outcome describes how the request ended.
	Outcome string `json:"outcome"`
}

// TraceLine is a log line about the request, or about its context, such as the
// document, a target or the instance.
type TraceLine struct {
	Time time.Time `json:"time"`
	File string    `json:"file"`
	// Context marks lines that are not about the request itself.
	Context bool   `json:"context"`
	Text    string `json:"text"`

	fields map[string]string
}

// maxLogLine bounds a line of a log file.
const maxLogLine = 1 << 20

// refusalTexts describes the reasons of refusals.
var refusalTexts = map[string]string{
	"no_target":           "refused, not run: no target of the service may get requests; see the target lines",
	"too_late":            "refused, not run: the best target's queue would have made the answer late; see load and expected_ms",
	"crasher":             "refused, not run: several targets broke off while they ran copies of the request",
	"shed":                "refused, not run: the targets were full",
	"unreachable":         "refused, not run: no connection to a target could be opened",
	"broken":              "outcome unknown: the target broke off after the request was sent",
	"malformed":           "outcome unknown: the target sent bytes that cannot be its response",
	"timeout":             "outcome unknown: no answer within the caller's time or the route's timeout",
	"caller_gone":         "the caller left before the answer",
	"no_document":         "refused, not run: the instance had no document yet",
	"document_may_be_old": "refused, not run: no route, and the store had not been reached recently",
	"no_route":            "denied: no route of the document matches",
	"no_account":          "denied: no key, or one that belongs to no client account",
	"no_allowed_region":   "denied: no region is allowed for both the client account and the route",
	"accounts_may_be_old": "refused, not run: denied by the accounts of a document that may be old",
	"over_cap":            "refused, not run: the client account had reached its usage cap",
}

// Explain collects the lines about a request from the log files of any number
// of instances.
func Explain(request string, files []string) (*RequestTrace, error) {
	trace := &RequestTrace{Request: request}
	for _, file := range files {
		lines, err := readLog(file)
		if err != nil {
			return nil, err
		}
		trace.Lines = append(trace.Lines, selectLines(request, lines)...)
	}
	if len(trace.Lines) == 0 {
		return nil, eris.Errorf("request %q is in none of %d files", request, len(files))
	}
	sort.SliceStable(trace.Lines, func(i, j int) bool { return trace.Lines[i].Time.Before(trace.Lines[j].Time) })
	trace.Outcome = outcomeOf(trace.Lines)
	return trace, nil
}

// readLog returns the log lines of a file that have a time and an event.
func readLog(file string) ([]TraceLine, error) {
	f, err := os.Open(file)
	if err != nil {
		return nil, eris.Wrapf(err, "step=read_log file=%s", file)
	}
	defer func() { _ = f.Close() }()
	var lines []TraceLine
	scanner := bufio.NewScanner(f)
	scanner.Buffer(nil, maxLogLine)
	for scanner.Scan() {
		line, found := parseLogLine(scanner.Text())
		if found {
			line.File = filepath.Base(file)
			lines = append(lines, line)
		}
	}
	return lines, eris.Wrapf(scanner.Err(), "step=read_log file=%s", file)
}

// parseLogLine decodes a line of key=value pairs. It returns false for a line
// without a time or an event.
func parseLogLine(text string) (TraceLine, bool) {
	line := TraceLine{Text: text, fields: map[string]string{}}
	for rest := text; rest != ""; rest = strings.TrimLeft(rest, " ") {
		key, after, found := strings.Cut(rest, "=")
		if !found {
			break
		}
		value, err := strconv.QuotedPrefix(after)
		if err == nil {
			rest = after[len(value):]
			value, _ = strconv.Unquote(value)
		} else {
			value, rest, _ = strings.Cut(after, " ")
		}
		line.fields[key] = value
	}
	at, err := time.Parse(time.RFC3339Nano, line.fields["time"])
	if err != nil || line.fields["event"] == "" {
		return TraceLine{}, false
	}
	line.Time = at
	return line, true
}

// contextEvents and targetEvents are the events whose lines are kept as
// context: the newest line of each context event, and the newest line about
// each target of the request.
var contextEvents = []string{"document_active", "evacuation", "store_lost", "store_regained", "relay_failed", "leaving", "started"}

var targetEvents = []string{"target", "target_gone"}

// selectLines returns the lines of one file about a request, and the newest
// context lines up to the last of them.
func selectLines(request string, lines []TraceLine) []TraceLine {
	var selected []TraceLine
	targets := map[string]bool{}
	for _, line := range lines {
		if line.fields["request"] != request {
			continue
		}
		selected = append(selected, line)
		targets[line.fields["target"]] = true
		targets[line.fields["best"]] = true
	}
	if len(selected) == 0 {
		return nil
	}
	newestContext := map[string]TraceLine{}
	for _, line := range lines {
		event := line.fields["event"]
		key := event
		switch {
		case line.Time.After(selected[len(selected)-1].Time):
			continue
		case slices.Contains(targetEvents, event) && targets[line.fields["target"]]:
			key = "target " + line.fields["target"]
		case !slices.Contains(contextEvents, event):
			continue
		}
		line.Context = true
		newestContext[key] = line
	}
	for _, line := range newestContext {
		selected = append(selected, line)
	}
	return selected
}

// outcomeOf describes the outcome that the last line about the end of the
// request states.
func outcomeOf(lines []TraceLine) string {
	outcome := "no line says how the request ended; the instance may have been killed"
	for _, line := range lines {
		if line.Context {
			continue
		}
		switch line.fields["event"] {
		case "served":
			outcome = fmt.Sprintf("answered by target %s with status %s after %s ms",
				line.fields["target"], line.fields["status"], line.fields["took_ms"])
		case "refused":
			outcome = line.fields["reason"]
			if text, found := refusalTexts[outcome]; found {
				outcome = text
			}
			outcome += fmt.Sprintf(" (status %s", line.fields["status"])
			if took := line.fields["took_ms"]; took != "" {
				outcome += fmt.Sprintf(" after %s ms", took)
			}
			outcome += ")"
		}
	}
	return outcome
}
