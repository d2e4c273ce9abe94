package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"strings"
	"text/tabwriter"
	"time"

	"pistachioford.example/core/document"
	"pistachioford.example/pistachioford/operate"
)

// errorReport is the JSON form of an error.
type errorReport struct {
	Error string `json:"error"`
	Code  int    `json:"code"`
	// Faults lists the faults of an invalid document.
	Faults []document.Error `json:"faults,omitempty"`
	// Problems lists the problems of an invalid document of the platform.
	Problems []string `json:"problems,omitempty"`
	// Conflict and Operation hold what the operator needs to resolve a conflict or
	// an unknown outcome.
	Conflict  *operate.ConflictError `json:"conflict,omitempty"`
	Operation string                 `json:"operation,omitempty"`
}

// printError prints an error to standard error, or with --json as JSON to
// standard output.
func (o *options) printError(err error) {
	if !o.json {
		fmt.Fprintln(os.Stderr, err)
		return
	}
	report := errorReport{Error: err.Error(), Code: operate.ExitCode(err)}
	var faults document.Errors
	if errors.As(err, &faults) {
		report.Faults = faults
	}
	var steering *operate.InvalidDocumentError
	if errors.As(err, &steering) {
		report.Problems = steering.Problems
	}
	var unknown *operate.UnknownError
	if errors.As(err, &unknown) {
		report.Operation = unknown.Operation
	}
	errors.As(err, &report.Conflict)
	if err := o.printJSON(report); err != nil {
		fmt.Fprintln(os.Stderr, err)
	}
}

// print prints the result of a command.
func (o *options) print(result any) error {
	if o.json {
		return o.printJSON(result)
	}
	switch r := result.(type) {
	case *operate.CheckResult:
		return printCheckResult(o.out, r)
	case []operate.Diff:
		return printDiffs(o.out, r)
	case *operate.ChangeResult:
		return printChangeResult(o.out, r)
	case *operate.UploadResult:
		return printUploadResult(o.out, r)
	case *operate.Overview:
		return printOverview(o.out, r)
	case *operate.SectionVersion:
		_, err := io.WriteString(o.out, r.WithMarker())
		return err
	case *operate.RequestTrace:
		return printRequestTrace(o.out, r)
	case *operate.ModelReport:
		return printModel(o.out, r)
	case []operate.Record:
		return printHistory(o.out, r)
	case *operate.AccountList:
		return printAccounts(o.out, r)
	case *operate.AccountDiff:
		return printAccountDiff(o.out, r)
	case *operate.Status:
		return printStatus(o.out, r)
	}
	return fmt.Errorf("cannot print a result of type %T as text", result)
}

func (o *options) printJSON(value any) error {
	encoder := json.NewEncoder(o.out)
	encoder.SetIndent("", "  ")
	return encoder.Encode(value)
}

func printCheckResult(w io.Writer, c *operate.CheckResult) error {
	_, err := fmt.Fprintf(w, "ok: %d regions, %d zones, %d groups, %d services, %d targets\n",
		c.Regions, c.Zones, c.Groups, c.Services, c.Targets)
	return err
}

func printDiffs(w io.Writer, diffs []operate.Diff) error {
	for _, d := range diffs {
		text := d.Text
		if text == "" {
			text = fmt.Sprintf("section %s: no change\n", d.Section)
		}
		if _, err := io.WriteString(w, text); err != nil {
			return err
		}
	}
	return nil
}

func printChangeResult(w io.Writer, c *operate.ChangeResult) error {
	if c.Unchanged {
		_, err := fmt.Fprintf(w, "no change: revision %d is as asked for\n", c.Revision)
		return err
	}
	earlier := ""
	if c.MadeEarlier {
		earlier = " by an earlier run of the operation"
	}
	_, err := fmt.Fprintf(w, "accepted as revision %d%s: %s\n", c.Revision, earlier, formatSections(c.Sections))
	return err
}

func printUploadResult(w io.Writer, u *operate.UploadResult) error {
	_, err := fmt.Fprintf(w, "%d blocks in %d chunks, %d of them uploaded; manifest %s\n", u.Blocks, u.Chunks, u.StoredChunks, u.Manifest)
	if err != nil {
		return err
	}
	return printChangeResult(w, &u.ChangeResult)
}

// formatSections returns a list of sections with their versions.
func formatSections(changed []operate.ChangedSection) string {
	names := make([]string, len(changed))
	for i, s := range changed {
		names[i] = fmt.Sprintf("%s version %d", s.Name, s.Version)
	}
	return strings.Join(names, ", ")
}

func printOverview(w io.Writer, v *operate.Overview) error {
	if v.Revision == 0 {
		_, err := fmt.Fprintln(w, "there is no document yet")
		return err
	}
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintf(table, "SECTION\tVERSION\tTEAM\tHASH\n")
	for _, s := range v.Sections {
		fmt.Fprintf(table, "%s\t%d\t%s\t%.12s\n", s.Name, s.Version, s.Team, s.Hash)
	}
	fmt.Fprintf(table, "revision %d\n", v.Revision)
	return table.Flush()
}

func printHistory(w io.Writer, records []operate.Record) error {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintf(table, "REVISION\tTIME\tOPERATION\tSECTIONS\n")
	for _, r := range records {
		fmt.Fprintf(table, "%d\t%s\t%s\t%s\n", r.Revision, r.Time.Format(time.RFC3339), r.Operation, formatSections(r.Sections))
	}
	return table.Flush()
}

func printStatus(w io.Writer, s *operate.Status) error {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintf(table, "INSTANCE\tZONE\tSTATE\tREVISION\tSHARDS\tIN FLIGHT\n")
	for _, i := range s.Instances {
		state := string(i.State)
		if i.State != operate.Active {
			state = "! " + state
		}
		fmt.Fprintf(table, "%s\t%s\t%s\t%d\t%s\t%d\n", i.Instance, i.Zone, state, i.Revision, strings.Join(i.Shards, " "), i.InFlight)
	}
	fmt.Fprintf(table, "newest revision %d, platform %s\n", s.Newest, s.Platform)
	return table.Flush()
}

// printRequestTrace prints the log lines of a request and its outcome. It marks
// the lines of the request itself with ">" and leaves context lines unmarked.
func printRequestTrace(out io.Writer, trace *operate.RequestTrace) error {
	for _, line := range trace.Lines {
		mark := "  "
		if !line.Context {
			mark = "> "
		}
		if _, err := fmt.Fprintf(out, "%s%s: %s\n", mark, line.File, line.Text); err != nil {
			return err
		}
	}
	_, err := fmt.Fprintf(out, "%s: %s\n", trace.Request, trace.Outcome)
	return err
}
