package scenario

import (
	"errors"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"

	"pistachioford.example/core/document"
)

// Script holds the state of one script while its lines are executed.
type Script struct {
	settings Settings
	results  map[string]*Result
	measures []Measure
}

// NewScript returns a script without a document and loads.
func NewScript() *Script {
	return &Script{
		settings: Settings{Seed: 1, SummaryInterval: 5 * time.Second},
		results:  map[string]*Result{},
	}
}

// Document executes the line "document USER", which must come first.
func (s *Script) Document(args []string) error {
	if len(args) != 1 || NewEnvironment(args[0]) == nil {
		return errors.New("usage: document kolebe|ceiba")
	}
	s.settings.Environment = NewEnvironment(args[0])
	return nil
}

// Set executes the line "set NAME=VALUE ...".
func (s *Script) Set(args []string) error {
	return parseOptions(args, map[string]func(string) error{
		"seed":    func(v string) (err error) { s.settings.Seed, err = strconv.ParseUint(v, 10, 64); return },
		"summary": func(v string) (err error) { s.settings.SummaryInterval, err = time.ParseDuration(v); return },
		"busy": func(v string) error {
			s.settings.QueueWhenBusy = v == "queue"
			return requireOneOf(v, "queue", "shed")
		},
	})
}

// Shift executes the line "shift SERVICE [from=REGION] [to=REGION] cap=N start=N
// ramp=D [fraction=N]". It applies to all pairs of regions unless they are named.
func (s *Script) Shift(args []string) error {
	if len(args) < 1 || s.settings.Environment == nil {
		return errors.New("usage: shift SERVICE cap=N start=N ramp=D")
	}
	env := s.settings.Environment
	id, ok := env.service(args[0])
	if !ok {
		return fmt.Errorf("no service named %q", args[0])
	}
	from, to, change := "", "", document.Shift{}
	err := parseOptions(args[1:], map[string]func(string) error{
		"from":     func(v string) error { from = v; return nil },
		"to":       func(v string) error { to = v; return nil },
		"cap":      func(v string) (err error) { change.CapPerSecond, err = strconv.ParseFloat(v, 64); return },
		"start":    func(v string) (err error) { change.StartPerSecond, err = strconv.ParseFloat(v, 64); return },
		"fraction": func(v string) (err error) { change.Fraction, err = strconv.ParseFloat(v, 64); return },
		"ramp":     func(v string) (err error) { change.Ramp, err = time.ParseDuration(v); return },
	})
	for i := range env.Document.Shifts {
		old := &env.Document.Shifts[i]
		matches := func(name string, r document.RegionID) bool { return name == "" || env.Document.Regions[r].Name == name }
		if old.Service == id && matches(from, old.From) && matches(to, old.To) {
			change.Service, change.From, change.To = id, old.From, old.To
			*old = change
		}
	}
	return err
}

// Load executes the line "load NAME service=S rate=N [zones=Z] [from=D] [to=D]
// [bytes=N] [distinct=N] [count=N] [resends=N] [unkeyed=true]
// [poison=true]".
func (s *Script) Load(args []string) error {
	if len(args) < 2 || s.settings.Environment == nil {
		return errors.New("usage: load NAME service=S rate=N")
	}
	l := &Load{Name: args[0], Zones: "all"}
	err := parseOptions(args[1:], map[string]func(string) error{
		"service":  func(v string) error { l.Service = v; return nil },
		"zones":    func(v string) error { l.Zones = v; return nil },
		"rate":     func(v string) (err error) { l.Rate, err = strconv.ParseFloat(v, 64); return },
		"from":     func(v string) (err error) { l.From, err = time.ParseDuration(v); return },
		"to":       func(v string) (err error) { l.To, err = time.ParseDuration(v); return },
		"bytes":    func(v string) (err error) { l.Bytes, err = strconv.ParseInt(v, 10, 64); return },
		"distinct": func(v string) (err error) { l.Distinct, err = strconv.ParseUint(v, 10, 64); return },
		"count":    func(v string) (err error) { l.Count, err = strconv.Atoi(v); return },
		"resends":  func(v string) (err error) { l.Resends, err = strconv.Atoi(v); return },
		"unkeyed":  func(v string) (err error) { l.Unkeyed, err = strconv.ParseBool(v); return },
		"poison":   func(v string) (err error) { l.Poison, err = strconv.ParseBool(v); return },
	})
	if err != nil {
		return err
	}
	service, ok := s.settings.Environment.service(l.Service)
	l.serviceID, l.homeZones = service, s.settings.Environment.zones(l.Zones)
	if !ok || len(l.homeZones) == 0 || l.Rate <= 0 {
		return fmt.Errorf("load %s: unknown service, unknown zones, or rate not positive", l.Name)
	}
	if l.Poison && l.Distinct == 0 {
		l.Distinct = 1
	}
	s.settings.Loads = append(s.settings.Loads, l)
	return nil
}

// At executes the line "at TIME VERB ARGUMENTS [for DURATION]".
func (s *Script) At(args []string) error {
	if len(args) < 2 || s.settings.Environment == nil {
		return errors.New("usage: at TIME VERB")
	}
	at, err := time.ParseDuration(args[0])
	if err != nil {
		return err
	}
	events, err := NewEvent(s.settings.Environment, at, args[1:])
	s.settings.Events = append(s.settings.Events, events...)
	return err
}

// Run executes the line "run NAME DURATION [without=LOAD,...] [events=off]
// [scale=N] [decider=baseline] [fault=CHECK]" and returns the event log. A
// violated invariant fails a run of the engine without a fault.
func (s *Script) Run(args []string) (string, error) {
	if len(args) < 2 || s.settings.Environment == nil {
		return "", errors.New("usage: run NAME DURATION")
	}
	settings := s.settings
	var err error
	if settings.Duration, err = time.ParseDuration(args[1]); err != nil {
		return "", err
	}
	var without []string
	scale := 1.0
	err = parseOptions(args[2:], map[string]func(string) error{
		"without": func(v string) error { without = strings.Split(v, ","); return nil },
		"events":  func(v string) error { settings.Events = nil; return requireOneOf(v, "off") },
		"decider": func(v string) error { settings.Baseline = true; return requireOneOf(v, "baseline") },
		"scale":   func(v string) (err error) { scale, err = strconv.ParseFloat(v, 64); return },
		"fault":   func(v string) error { settings.Fault = Fault(v); return nil },
	})
	if err != nil {
		return "", err
	}
	settings.Loads = nil
	for _, l := range s.settings.Loads {
		if !slices.Contains(without, l.Name) {
			scaled := *l
			scaled.Rate *= scale
			settings.Loads = append(settings.Loads, &scaled)
		}
	}
	result := Run(settings)
	s.results[args[0]] = result
	if n := len(result.Violations); n > 0 && !settings.Baseline && settings.Fault == "" {
		return result.Log, fmt.Errorf("invariants violated: %v", result.Violations)
	}
	return result.Log, nil
}

// Expect executes the line "expect RUN METRIC SELECTION FROM..TO OP NUMBER
// [x RUN METRIC SELECTION FROM..TO]". It returns the compared values as text.
func (s *Script) Expect(args []string) (string, error) {
	if len(args) != 6 && (len(args) != 11 || args[6] != "x") {
		return "", errors.New("usage: expect RUN METRIC SELECTION FROM..TO OP NUMBER [x RUN METRIC SELECTION FROM..TO]")
	}
	got, err := s.metricValue(args[:4])
	if err != nil {
		return "", err
	}
	want, err := parseNumber(args[5])
	if err != nil {
		return "", err
	}
	if len(args) == 11 {
		other, err := s.metricValue(args[7:])
		if err != nil {
			return "", err
		}
		want *= other
	}
	sides := fmt.Sprintf("%.6g %s %.6g", got, args[4], want)
	if !compare(got, args[4], want) {
		return sides, fmt.Errorf("expectation does not hold: %s", sides)
	}
	return sides, nil
}

// Violated executes the line "violated RUN CHECK", which requires that the check
// found a violation in the run.
func (s *Script) Violated(args []string) error {
	if len(args) != 2 || s.results[args[0]] == nil {
		return errors.New("usage: violated RUN CHECK")
	}
	if s.results[args[0]].Violations[check(args[1])] == 0 {
		return fmt.Errorf("check %s found no violation", args[1])
	}
	return nil
}

// metricValue evaluates the words "RUN METRIC SELECTION FROM..TO".
func (s *Script) metricValue(args []string) (float64, error) {
	result := s.results[args[0]]
	if result == nil {
		return 0, fmt.Errorf("no run named %q", args[0])
	}
	sel, err := selectServices(s.settings.Environment, args[2])
	if err != nil {
		return 0, err
	}
	first, last, _ := strings.Cut(args[3], "..")
	from, err := time.ParseDuration(first)
	if err != nil {
		return 0, err
	}
	to, err := time.ParseDuration(last)
	if err != nil {
		return 0, err
	}
	if kind, ok := strings.CutPrefix(args[1], "violations:"); ok {
		return float64(result.Violations[check(kind)]), nil
	}
	return result.stats.metric(args[1], sel, from, to)
}

// selectServices returns the services selected by the name of a service, group
// or priority, or by "all", optionally followed by "@" and the region of the
// callers.
func selectServices(env *Environment, name string) (selection, error) {
	sel := selection{region: -1}
	subject, place, hasPlace := strings.Cut(name, "@")
	for i := range env.Document.Services {
		service := &env.Document.Services[i]
		names := []string{"all", service.Name, env.Document.Groups[service.Group].Name, priorityNames[service.Priority]}
		if slices.Contains(names, subject) {
			sel.services = append(sel.services, document.ServiceID(i))
		}
	}
	if len(sel.services) == 0 {
		return sel, fmt.Errorf("no service, group or priority named %q", subject)
	}
	if !hasPlace {
		return sel, nil
	}
	for i := range env.Document.Regions {
		if env.Document.Regions[i].Name == place {
			sel.region = i
			return sel, nil
		}
	}
	return sel, fmt.Errorf("no region named %q", place)
}

var priorityNames = [document.NumPriorities]string{"urgent", "normal", "background"}

// parseNumber parses a plain number, a percentage or a duration.
func parseNumber(text string) (float64, error) {
	if percent, ok := strings.CutSuffix(text, "%"); ok {
		n, err := strconv.ParseFloat(percent, 64)
		return n / 100, err
	}
	if n, err := strconv.ParseFloat(text, 64); err == nil {
		return n, nil
	}
	d, err := time.ParseDuration(text)
	return float64(d), err
}

func compare(got float64, op string, want float64) bool {
	switch op {
	case ">=":
		return got >= want
	case "<=":
		return got <= want
	case "==":
		return got == want
	}
	return false
}

// parseOptions passes the value of each NAME=VALUE word to the setter of that
// name.
func parseOptions(args []string, setters map[string]func(string) error) error {
	for _, arg := range args {
		name, value, _ := strings.Cut(arg, "=")
		set, ok := setters[name]
		if !ok {
			return fmt.Errorf("unknown option %q", name)
		}
		if err := set(value); err != nil {
			return fmt.Errorf("%s: %w", arg, err)
		}
	}
	return nil
}

func requireOneOf(value string, allowed ...string) error {
	if !slices.Contains(allowed, value) {
		return fmt.Errorf("%q is not one of %v", value, allowed)
	}
	return nil
}
