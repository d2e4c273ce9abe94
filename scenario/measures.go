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

// Measure compares one figure of the engine with that of the baseline on the
// same script.
type Measure struct {
	Name     string  `json:"name"`
	Unit     string  `json:"unit"`
	Ours     float64 `json:"ours"`
	Baseline float64 `json:"baseline"`
	// Ratio is Ours / Baseline; zero if the baseline has zero.
	Ratio float64 `json:"ratio"`
}

// units convert a metric for people.
var units = map[string]float64{"ms": float64(time.Millisecond), "%": 0.01, "1": 1}

// Measure is the line "measure NAME UNIT METRIC SELECTION FROM..TO"; it reads
// the runs "main" and "baseline".
func (s *Script) Measure(args []string) error {
	if len(args) != 5 || units[args[1]] == 0 {
		return errors.New("usage: measure NAME ms|%|1 METRIC SELECTION FROM..TO")
	}
	ours, err := s.measure(append([]string{"main"}, args[2:]...))
	if err != nil {
		return err
	}
	base, err := s.measure(append([]string{"baseline"}, args[2:]...))
	s.addMeasure(args[0], args[1], ours, base)
	return err
}

func (s *Script) addMeasure(name, unit string, ours, base float64) {
	ours, base = ours/units[unit], base/units[unit]
	s.measures = append(s.measures, Measure{Name: name, Unit: unit, Ours: ours, Baseline: base, Ratio: ratio(ours, base)})
}

// headroomStep is the resolution of the headroom, as a share of the load.
const headroomStep = 0.05

// Headroom is the line "headroom NAME SELECTION SERVED P99": the highest share
// of the loads, up to all, at which that part is served with that p99.
func (s *Script) Headroom(args []string) error {
	if len(args) != 4 {
		return errors.New("usage: headroom NAME SELECTION SERVED P99")
	}
	var best [2]float64
	for i, decider := range [][]string{nil, {"decider=baseline"}} {
		for scale := 0.5; scale <= 1.001; scale += headroomStep {
			ok, err := s.sustains(args, strconv.FormatFloat(scale, 'f', 2, 64), decider)
			if err != nil {
				return err
			}
			if !ok {
				break
			}
			best[i] = scale
		}
	}
	s.addMeasure(args[0], "%", best[0], best[1])
	return nil
}

// sustains runs the loads at one scale.
func (s *Script) sustains(args []string, scale string, decider []string) (bool, error) {
	if _, err := s.Run(append([]string{"headroom", "15s", "scale=" + scale}, decider...)); err != nil {
		return false, err
	}
	for _, condition := range [][]string{{"served", ">=", args[2]}, {"p99", "<=", args[3]}} {
		got, err := s.measure([]string{"headroom", condition[0], args[1], "2s..12s"})
		if err != nil {
			return false, err
		}
		want, err := number(condition[2])
		if err != nil || !compare(got, condition[1], want) {
			return false, err
		}
	}
	return true, nil
}

// WriteTable prints measures for people.
func WriteTable(out io.Writer, measures []Measure) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(w, "measure\tunit\tours\tbaseline\tratio\t")
	for _, m := range measures {
		fmt.Fprintf(w, "%s\t%s\t%.4g\t%.4g\t%.3f\t\n", m.Name, m.Unit, m.Ours, m.Baseline, m.Ratio)
	}
	return w.Flush()
}

// WriteJSON prints measures for programs.
func WriteJSON(out io.Writer, measures []Measure) error {
	e := json.NewEncoder(out)
	e.SetIndent("", "  ")
	return e.Encode(measures)
}
