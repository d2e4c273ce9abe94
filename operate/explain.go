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

// Story is what log files say of one request, in the order of time.
type Story struct {
	Request string      `json:"request"`
	Lines   []StoryLine `json:"lines"`
	// Outcome says in words how the request ended.
	Outcome string `json:"outcome"`
}

// StoryLine is a line of the request, or one about what it met.
type StoryLine struct {
	Time time.Time `json:"time"`
	File string    `json:"file"`
	// Context marks lines that are not about the request itself.
	Context bool   `json:"context"`
	Text    string `json:"text"`

	fields map[string]string
}

// maxLogLine bounds a line of a log file.
const maxLogLine = 1 << 20

// outcomes explains the reasons of refusals.
var outcomes = map[string]string{
	"no_target":           "refused, not run: no target of the service may get requests; see the target lines",
	"too_late":            "refused, not run: the best target's queue would have made the answer late; see load and expected_ms",
	"crasher":             "refused, not run: earlier copies of the request broke two targets",
	"shed":                "refused, not run: the targets were full",
	"unreachable":         "refused, not run: no connection to a target could be opened",
	"broken":              "outcome unknown: the target broke off after the request was sent",
	"timeout":             "outcome unknown: no answer within the caller's time or the route's timeout",
	"caller_gone":         "the caller left before the answer",
	"no_document":         "refused, not run: the instance had no document yet",
	"document_may_be_old": "refused, not run: no route, and the store had not been reached lately",
	"no_route":            "denied: no route of the document matches",
}

// Explain collects the lines of a request from log files of any instances.
func Explain(request string, files []string) (*Story, error) {
	story := &Story{Request: request}
	for _, file := range files {
		lines, err := readLog(file)
		if err != nil {
			return nil, err
		}
		story.Lines = append(story.Lines, linesOf(request, lines)...)
	}
	if len(story.Lines) == 0 {
		return nil, eris.Errorf("request %q is in none of %d files", request, len(files))
	}
	sort.SliceStable(story.Lines, func(i, j int) bool { return story.Lines[i].Time.Before(story.Lines[j].Time) })
	story.Outcome = outcomeOf(story.Lines)
	return story, nil
}

func readLog(file string) ([]StoryLine, error) {
	f, err := os.Open(file)
	if err != nil {
		return nil, eris.Wrapf(err, "step=read_log file=%s", file)
	}
	defer func() { _ = f.Close() }()
	var lines []StoryLine
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

// parseLogLine decodes key=value pairs; other lines are skipped.
func parseLogLine(text string) (StoryLine, bool) {
	line := StoryLine{Text: text, fields: map[string]string{}}
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
		return StoryLine{}, false
	}
	line.Time = at
	return line, true
}

// contextEvents are kept by event, or by event and target.
var contextEvents = []string{"document_active", "evacuation", "store_lost", "store_regained", "relay_failed", "leaving", "started"}

var targetEvents = []string{"target", "target_gone"}

// linesOf returns the lines of a request in one file, and the newest line about
// each thing that it met before it ended.
func linesOf(request string, lines []StoryLine) []StoryLine {
	var own []StoryLine
	targets := map[string]bool{}
	for _, line := range lines {
		if line.fields["request"] != request {
			continue
		}
		own = append(own, line)
		targets[line.fields["target"]] = true
		targets[line.fields["best"]] = true
	}
	if len(own) == 0 {
		return nil
	}
	newest := map[string]StoryLine{}
	for _, line := range lines {
		event := line.fields["event"]
		key := event
		switch {
		case line.Time.After(own[len(own)-1].Time):
			continue
		case slices.Contains(targetEvents, event) && targets[line.fields["target"]]:
			key = "target " + line.fields["target"]
		case !slices.Contains(contextEvents, event):
			continue
		}
		line.Context = true
		newest[key] = line
	}
	for _, line := range newest {
		own = append(own, line)
	}
	return own
}

func outcomeOf(lines []StoryLine) string {
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
			if words, found := outcomes[outcome]; found {
				outcome = words
			}
			outcome += fmt.Sprintf(" (status %s after %s ms)", line.fields["status"], line.fields["took_ms"])
		}
	}
	return outcome
}
