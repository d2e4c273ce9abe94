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

// Script is one scenario while its lines are read.
type Script struct {
	settings Settings
	results  map[string]*Result
	measures []Measure
}

// NewScript returns an empty scenario.
func NewScript() *Script {
	return &Script{
		settings: Settings{Seed: 1, Summary: 5 * time.Second},
		results:  map[string]*Result{},
	}
}

// Document is the line "document USER"; it comes first.
func (s *Script) Document(args []string) error {
	if len(args) != 1 || NewPlatform(args[0]) == nil {
		return errors.New("usage: document kolebe|ceiba")
	}
	s.settings.Platform = NewPlatform(args[0])
	return nil
}

// Set is the line "set NAME=VALUE ...".
func (s *Script) Set(args []string) error {
	return options(args, map[string]func(string) error{
		"seed":    func(v string) (err error) { s.settings.Seed, err = strconv.ParseUint(v, 10, 64); return },
		"summary": func(v string) (err error) { s.settings.Summary, err = time.ParseDuration(v); return },
		"busy": func(v string) error {
			s.settings.Queues = v == "queue"
			return oneOf(v, "queue", "shed")
		},
	})
}

// Shift is the line "shift SERVICE [from=REGION] [to=REGION] cap=N start=N
// ramp=D [fraction=N]", for all pairs of regions unless they are named.
func (s *Script) Shift(args []string) error {
	if len(args) < 1 || s.settings.Platform == nil {
		return errors.New("usage: shift SERVICE cap=N start=N ramp=D")
	}
	p := s.settings.Platform
	id, ok := p.service(args[0])
	if !ok {
		return fmt.Errorf("no service %q", args[0])
	}
	from, to, change := "", "", document.Shift{}
	err := options(args[1:], map[string]func(string) error{
		"from":     func(v string) error { from = v; return nil },
		"to":       func(v string) error { to = v; return nil },
		"cap":      func(v string) (err error) { change.CapPerSecond, err = strconv.ParseFloat(v, 64); return },
		"start":    func(v string) (err error) { change.StartPerSecond, err = strconv.ParseFloat(v, 64); return },
		"fraction": func(v string) (err error) { change.Fraction, err = strconv.ParseFloat(v, 64); return },
		"ramp":     func(v string) (err error) { change.Ramp, err = time.ParseDuration(v); return },
	})
	for i := range p.Document.Shifts {
		old := &p.Document.Shifts[i]
		fits := func(name string, r document.RegionID) bool { return name == "" || p.Document.Regions[r].Name == name }
		if old.Service == id && fits(from, old.From) && fits(to, old.To) {
			change.Service, change.From, change.To = id, old.From, old.To
			*old = change
		}
	}
	return err
}

// Load is the line "load NAME service=S rate=N [zones=Z] [from=D] [to=D]
// [bytes=N] [distinct=N] [count=N] [resends=N] [unkeyed=true]
// [poison=true]".
func (s *Script) Load(args []string) error {
	if len(args) < 2 || s.settings.Platform == nil {
		return errors.New("usage: load NAME service=S rate=N")
	}
	l := &Load{Name: args[0], Zones: "all"}
	err := options(args[1:], map[string]func(string) error{
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
	service, ok := s.settings.Platform.service(l.Service)
	l.service, l.homes = service, s.settings.Platform.zones(l.Zones)
	if !ok || len(l.homes) == 0 || l.Rate <= 0 {
		return fmt.Errorf("load %s: unknown service or zones, or no rate", l.Name)
	}
	if l.Poison && l.Distinct == 0 {
		l.Distinct = 1
	}
	s.settings.Loads = append(s.settings.Loads, l)
	return nil
}

// At is the line "at TIME VERB ARGUMENTS [for DURATION]".
func (s *Script) At(args []string) error {
	if len(args) < 2 || s.settings.Platform == nil {
		return errors.New("usage: at TIME VERB")
	}
	at, err := time.ParseDuration(args[0])
	if err != nil {
		return err
	}
	events, err := NewEvent(s.settings.Platform, at, args[1:])
	s.settings.Events = append(s.settings.Events, events...)
	return err
}

// Run is the line "run NAME DURATION [without=LOAD,...] [events=off]
// [scale=N] [decider=baseline]"; it returns the event log.
func (s *Script) Run(args []string) (string, error) {
	if len(args) < 2 || s.settings.Platform == nil {
		return "", errors.New("usage: run NAME DURATION")
	}
	settings := s.settings
	var err error
	if settings.Duration, err = time.ParseDuration(args[1]); err != nil {
		return "", err
	}
	var without []string
	scale := 1.0
	err = options(args[2:], map[string]func(string) error{
		"without": func(v string) error { without = strings.Split(v, ","); return nil },
		"events":  func(v string) error { settings.Events = nil; return oneOf(v, "off") },
		"decider": func(v string) error { settings.Baseline = true; return oneOf(v, "baseline") },
		"scale":   func(v string) (err error) { scale, err = strconv.ParseFloat(v, 64); return },
		"fault":   func(v string) error { settings.Fault = Fault(v); return nil },
	})
	if err != nil {
		return "", err
	}
	settings.Loads = nil
	for _, l := range s.settings.Loads {
		if !slices.Contains(without, l.Name) {
			fresh := *l
			fresh.Rate *= scale
			settings.Loads = append(settings.Loads, &fresh)
		}
	}
	result := Run(settings)
	s.results[args[0]] = result
	if n := len(result.Violations); n > 0 && !settings.Baseline && settings.Fault == "" {
		return result.Log, fmt.Errorf("invariants violated: %v", result.Violations)
	}
	return result.Log, nil
}

// Expect is the line "expect RUN METRIC SELECTION FROM..TO OP NUMBER
// [x RUN METRIC SELECTION FROM..TO]"; it returns both sides.
func (s *Script) Expect(args []string) (string, error) {
	if len(args) != 6 && (len(args) != 11 || args[6] != "x") {
		return "", errors.New("usage: expect RUN METRIC SELECTION FROM..TO OP NUMBER [x RUN METRIC SELECTION FROM..TO]")
	}
	got, err := s.measure(args[:4])
	if err != nil {
		return "", err
	}
	want, err := number(args[5])
	if err != nil {
		return "", err
	}
	if len(args) == 11 {
		other, err := s.measure(args[7:])
		if err != nil {
			return "", err
		}
		want *= other
	}
	sides := fmt.Sprintf("%.6g %s %.6g", got, args[4], want)
	if !compare(got, args[4], want) {
		return sides, fmt.Errorf("does not hold: %s", sides)
	}
	return sides, nil
}

// Violated is the line "violated RUN CHECK": the run broke the invariant.
func (s *Script) Violated(args []string) error {
	if len(args) != 2 || s.results[args[0]] == nil {
		return errors.New("usage: violated RUN CHECK")
	}
	if s.results[args[0]].Violations[check(args[1])] == 0 {
		return fmt.Errorf("%s was not violated", args[1])
	}
	return nil
}

// measure reads "RUN METRIC SELECTION FROM..TO".
func (s *Script) measure(args []string) (float64, error) {
	result := s.results[args[0]]
	if result == nil {
		return 0, fmt.Errorf("no run %q", args[0])
	}
	sel, err := selectServices(s.settings.Platform, args[2])
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

// selectServices resolves a service, group, priority or "all", and optionally
// "@" and the region of the callers.
func selectServices(p *Platform, name string) (selection, error) {
	sel := selection{region: -1}
	what, place, placed := strings.Cut(name, "@")
	for i := range p.Document.Services {
		service := &p.Document.Services[i]
		names := []string{"all", service.Name, p.Document.Groups[service.Group].Name, priorityNames[service.Priority]}
		if slices.Contains(names, what) {
			sel.services = append(sel.services, document.ServiceID(i))
		}
	}
	if len(sel.services) == 0 {
		return sel, fmt.Errorf("no service, group or priority %q", what)
	}
	if !placed {
		return sel, nil
	}
	for i := range p.Document.Regions {
		if p.Document.Regions[i].Name == place {
			sel.region = i
			return sel, nil
		}
	}
	return sel, fmt.Errorf("no region %q", place)
}

var priorityNames = [document.Priorities]string{"urgent", "normal", "background"}

// number reads a plain number, a percentage or a duration.
func number(text string) (float64, error) {
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

// options applies NAME=VALUE words.
func options(args []string, known map[string]func(string) error) error {
	for _, arg := range args {
		name, value, _ := strings.Cut(arg, "=")
		set, ok := known[name]
		if !ok {
			return fmt.Errorf("unknown option %q", name)
		}
		if err := set(value); err != nil {
			return fmt.Errorf("%s: %w", arg, err)
		}
	}
	return nil
}

func oneOf(value string, allowed ...string) error {
	if !slices.Contains(allowed, value) {
		return fmt.Errorf("%q is not one of %v", value, allowed)
	}
	return nil
}
