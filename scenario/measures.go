package scenario

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"strconv"
	"text/tabwriter"
	"time"
)

// Measure compares a metric of the engine with that of the baseline on the same
// script.
type Measure struct {
	Name     string  `json:"name"`
	Unit     string  `json:"unit"`
	Engine   float64 `json:"ours"`
	Baseline float64 `json:"baseline"`
	// Ratio is Engine / Baseline, or zero if Baseline is zero.
	Ratio float64 `json:"ratio"`
}

// unitScales holds the divisors that convert metrics to the units of measures.
var unitScales = map[string]float64{"ms": float64(time.Millisecond), "%": 0.01, "1": 1}

// Measure executes the line "measure NAME UNIT METRIC SELECTION FROM..TO". It
// compares the runs "main" and "baseline".
func (s *Script) Measure(args []string) error {
	if len(args) != 5 || unitScales[args[1]] == 0 {
		return errors.New("usage: measure NAME ms|%|1 METRIC SELECTION FROM..TO")
	}
	engine, err := s.metricValue(append([]string{"main"}, args[2:]...))
	if err != nil {
		return err
	}
	baseline, err := s.metricValue(append([]string{"baseline"}, args[2:]...))
	s.addMeasure(args[0], args[1], engine, baseline)
	return err
}

func (s *Script) addMeasure(name, unit string, engine, baseline float64) {
	engine, baseline = engine/unitScales[unit], baseline/unitScales[unit]
	s.measures = append(s.measures, Measure{Name: name, Unit: unit, Engine: engine, Baseline: baseline, Ratio: ratio(engine, baseline)})
}

// headroomStep is the difference between two scales of the loads that Headroom
// tries; a scale multiplies the rates.
const headroomStep = 0.05

// Headroom executes the line "headroom NAME SELECTION SERVED P99". It finds the
// highest scale of the loads, from 0.5 to 1, at which at least the fraction SERVED
// of the requests is served with a latency p99 of at most P99.
func (s *Script) Headroom(args []string) error {
	if len(args) != 4 {
		return errors.New("usage: headroom NAME SELECTION SERVED P99")
	}
	var highest [2]float64
	for i, decider := range [][]string{nil, {"decider=baseline"}} {
		for scale := 0.5; scale <= 1.001; scale += headroomStep {
			ok, err := s.sustains(args, strconv.FormatFloat(scale, 'f', 2, 64), decider)
			if err != nil {
				return err
			}
			if !ok {
				break
			}
			highest[i] = scale
		}
	}
	s.addMeasure(args[0], "%", highest[0], highest[1])
	return nil
}

// sustains reports whether a run at one scale of the loads meets the conditions
// of a "headroom" line.
func (s *Script) sustains(args []string, scale string, decider []string) (bool, error) {
	if _, err := s.Run(append([]string{"headroom", "15s", "scale=" + scale}, decider...)); err != nil {
		return false, err
	}
	for _, condition := range [][]string{{"served", ">=", args[2]}, {"p99", "<=", args[3]}} {
		got, err := s.metricValue([]string{"headroom", condition[0], args[1], "2s..12s"})
		if err != nil {
			return false, err
		}
		want, err := parseNumber(condition[2])
		if err != nil || !compare(got, condition[1], want) {
			return false, err
		}
	}
	return true, nil
}

// WriteTable writes the measures as a text table.
func WriteTable(out io.Writer, measures []Measure) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(w, "measure\tunit\tours\tbaseline\tratio\t")
	for _, m := range measures {
		fmt.Fprintf(w, "%s\t%s\t%.4g\t%.4g\t%.3f\t\n", m.Name, m.Unit, m.Engine, m.Baseline, m.Ratio)
	}
	return w.Flush()
}

// WriteJSON writes the measures as JSON.
func WriteJSON(out io.Writer, measures []Measure) error {
	e := json.NewEncoder(out)
	e.SetIndent("", "  ")
	return e.Encode(measures)
}
