package main

import (
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	"github.com/guptarohit/asciigraph"

	"pistachioford.example/core/model"
	"pistachioford.example/pistachioford/operate"
)

// plotHeight and plotWidth are the size of the plot in characters.
const (
	plotHeight = 8
	plotWidth  = 60
)

// printModel prints a table of the results of both policies and a plot of the
// percentage of requests that each served in time.
func printModel(w io.Writer, r *operate.ModelReport) error {
	fmt.Fprintf(w, "%s: seed %d, runs %d\n\n", r.File, r.Seed, r.Runs)
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "policy\tof\trequests\tin time\tlate\trefused\tfailed\tcold runs\tp50 ms\tp99 ms")
	for _, p := range []struct {
		name   string
		result *model.Result
	}{{"engine", r.Engine}, {"random", r.Random}} {
		for _, n := range p.result.Work {
			printModelRow(table, p.name, n)
		}
		for _, n := range p.result.Zones {
			printModelRow(table, p.name, n)
		}
	}
	if err := table.Flush(); err != nil {
		return err
	}
	plot := asciigraph.PlotMany([][]float64{inTimePercents(r.Engine), inTimePercents(r.Random)},
		asciigraph.Height(plotHeight), asciigraph.Width(plotWidth), asciigraph.Precision(0),
		asciigraph.LowerBound(0), asciigraph.UpperBound(100),
		asciigraph.Caption("percent in time by second of arrival; upper line: engine, lower: random"))
	_, err := fmt.Fprintf(w, "\n%s\n", plot)
	return err
}

func printModelRow(w io.Writer, policy string, n model.Named) {
	fmt.Fprintf(w, "%s\t%s\t%d\t%.1f%%\t%d\t%d\t%d\t%d\t%d\t%d\n", policy, n.Name, n.Total(), 100*n.InTimeShare(),
		n.Late, n.Refused, n.Failed, n.ColdRuns, n.P50/time.Millisecond, n.P99/time.Millisecond)
}

// inTimePercents returns the percentage of requests in time by second of
// arrival.
func inTimePercents(r *model.Result) []float64 {
	values := make([]float64, len(r.Seconds))
	for i, s := range r.Seconds {
		values[i] = 100 * s.InTimeShare()
	}
	return values
}
