package fleet

import (
	"errors"
	"fmt"
	"strconv"
	"strings"
	"time"

	"pistachioford.example/core/document"
)

// Script holds the state of one script while its lines are executed.
type Script struct {
	events  []*event
	results map[string]*world
	// sections reads the example document of a user.
	sections func(user string) ([]document.Section, error)
	// seed replaces the seeds in the script unless it is 0.
	seed uint64
}

// At executes the line "at TIME VERB ARGUMENTS [for DURATION]".
func (s *Script) At(args []string) (string, error) {
	if len(args) < 2 {
		return "", errors.New("usage: at TIME VERB ARGUMENTS")
	}
	at, err := time.ParseDuration(args[0])
	if err != nil {
		return "", err
	}
	e, err := newEvent(at, args[1:])
	s.events = append(s.events, e)
	return "", err
}

// Run executes the line "run USER[-NAME] DURATION [seed=N] [instances=N]
// [fault=CHECK]" and returns the event log. A violated invariant fails a run
// without a fault.
func (s *Script) Run(args []string) (string, error) {
	if len(args) < 2 {
		return "", errors.New("usage: run USER[-NAME] DURATION [seed=N] [instances=N] [fault=CHECK]")
	}
	user, _, _ := strings.Cut(args[0], "-")
	cfg := settings{user: user, seed: 1, instances: 12, events: s.events}
	var err error
	if cfg.duration, err = time.ParseDuration(args[1]); err != nil {
		return "", err
	}
	if cfg.sections, err = s.sections(user); err != nil {
		return "", err
	}
	for _, arg := range args[2:] {
		name, value, _ := strings.Cut(arg, "=")
		switch name {
		case "seed":
			cfg.seed, err = strconv.ParseUint(value, 10, 64)
		case "instances":
			cfg.instances, err = strconv.Atoi(value)
		case "fault":
			cfg.fault = fault(value)
		default:
			err = fmt.Errorf("unknown option %q", name)
		}
		if err != nil {
			return "", err
		}
	}
	if s.seed != 0 {
		cfg.seed = s.seed
	}
	result, err := run(cfg)
	if err != nil {
		return "", err
	}
	s.results[args[0]] = result
	if len(result.checker.violations) > 0 && cfg.fault == "" {
		err = fmt.Errorf("invariants violated: %v", result.checker.violations)
	}
	return result.log.String(), err
}

// Expect executes the line "expect RUN|all METRIC FROM..TO OP VALUE". It returns
// the compared values as text.
func (s *Script) Expect(args []string) (string, error) {
	if len(args) != 5 {
		return "", errors.New("usage: expect RUN|all METRIC FROM..TO OP VALUE")
	}
	first, last, _ := strings.Cut(args[2], "..")
	from, err := time.ParseDuration(first)
	if err != nil {
		return "", err
	}
	to, err := time.ParseDuration(last)
	if err != nil {
		return "", err
	}
	want, err := strconv.ParseFloat(args[4], 64)
	if d, notTime := time.ParseDuration(args[4]); err != nil && notTime == nil {
		want, err = float64(d), nil
	}
	if err != nil {
		return "", err
	}
	var sides strings.Builder
	found := false
	for name, result := range s.results {
		if name != args[0] && args[0] != "all" {
			continue
		}
		found = true
		got, err := result.metric(args[1], from, to)
		if err != nil {
			return "", err
		}
		fmt.Fprintf(&sides, "%s: %.6g %s %.6g; ", name, got, args[3], want)
		if !map[string]bool{"<=": got <= want, ">=": got >= want, "==": got == want}[args[3]] {
			return "", fmt.Errorf("expectation does not hold: %s", sides.String())
		}
	}
	if !found {
		return "", fmt.Errorf("no run named %q", args[0])
	}
	return sides.String(), nil
}

// Violated executes the line "violated RUN CHECK", which requires that the check
// found a violation in the run.
func (s *Script) Violated(args []string) (string, error) {
	if len(args) != 2 || s.results[args[0]] == nil {
		return "", errors.New("usage: violated RUN CHECK")
	}
	if s.results[args[0]].checker.violations[check(args[1])] == 0 {
		return "", fmt.Errorf("check %s found no violation", args[1])
	}
	return "", nil
}
