package main

import (
	"fmt"
	"io"
	"strconv"
	"strings"
	"text/tabwriter"

	"pistachioford.example/pistachioford/operate"
)

func printAccounts(w io.Writer, l *operate.AccountList) error {
	fmt.Fprintf(w, "%s: version %d, %d accounts\n", l.File, l.Version, len(l.Accounts))
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	if len(l.Accounts) > 0 {
		fmt.Fprintln(table, "ACCOUNT\tKEYS\tPRIORITY\tCAP/S\tBURST\tREGIONS")
	}
	for _, a := range l.Accounts {
		fmt.Fprintf(table, "%s\t%d\t%s\t%s\t%s\t%s\n", a.Name, a.Keys,
			formatPriority(a.Priority), formatCap(a.CapPerS), formatBurst(a.AccountTerms), formatRegions(a.Regions))
	}
	if err := table.Flush(); err != nil {
		return err
	}
	fmt.Fprintln(table, "ROUTE\tACCESS")
	for _, r := range l.Routes {
		access := "key"
		if r.Public {
			access = "public"
		}
		fmt.Fprintf(table, "%s\t%s\n", r.Name, access)
	}
	return table.Flush()
}

func formatPriority(priority *int) string {
	if priority == nil {
		return "of the route"
	}
	return strconv.Itoa(*priority)
}

func formatCap(perSecond float64) string {
	if perSecond == 0 {
		return "none"
	}
	return strconv.FormatFloat(perSecond, 'g', -1, 64)
}

// formatBurst returns the burst, which has a meaning only beside a cap.
func formatBurst(t operate.AccountTerms) string {
	if t.CapPerS == 0 {
		return "-"
	}
	return strconv.FormatFloat(t.Burst, 'g', -1, 64)
}

func formatRegions(regions []string) string {
	if len(regions) == 0 {
		return "all"
	}
	return strings.Join(regions, ",")
}

func printAccountDiff(w io.Writer, d *operate.AccountDiff) error {
	lines := []string{fmt.Sprintf("%s version %d -> %s version %d", d.File, d.Version, d.Newer, d.NewerVersion)}
	add := func(format string, arguments ...any) { lines = append(lines, fmt.Sprintf(format, arguments...)) }
	for _, a := range d.Added {
		add("added %s: %s, %s", a.Name, formatCount(a.Keys, "key"), formatTerms(a.AccountTerms))
	}
	for _, a := range d.Removed {
		add("removed %s: %s, %s", a.Name, formatCount(a.Keys, "key"), formatTerms(a.AccountTerms))
	}
	for _, c := range d.Changed {
		if c.RenamedFrom != "" {
			add("renamed %s to %s", c.RenamedFrom, c.Name)
		}
		if n := len(c.KeysAdded); n > 0 {
			add("%s: %s added: %s", c.Name, formatCount(n, "key"), strings.Join(c.KeysAdded, " "))
		}
		if n := len(c.KeysWithdrawn); n > 0 {
			add("%s: %s withdrawn: %s", c.Name, formatCount(n, "key"), strings.Join(c.KeysWithdrawn, " "))
		}
		if c.TermsChanged {
			add("%s: %s -> %s", c.Name, formatTerms(c.Before), formatTerms(c.After))
		}
	}
	for _, r := range d.NowPublic {
		add("route %s: now public", r)
	}
	for _, r := range d.NoLongerPublic {
		add("route %s: needs a key now", r)
	}
	if len(lines) == 1 {
		add("no change of accounts")
	}
	if d.NewerVersion <= d.Version {
		add("version %d is not newer than %d: instances that have %d ignore it", d.NewerVersion, d.Version, d.Version)
	}
	_, err := io.WriteString(w, strings.Join(lines, "\n")+"\n")
	return err
}

func formatCount(n int, noun string) string {
	if n != 1 {
		noun += "s"
	}
	return fmt.Sprintf("%d %s", n, noun)
}

func formatTerms(t operate.AccountTerms) string {
	return fmt.Sprintf("priority %s, cap/s %s, burst %s, regions %s",
		formatPriority(t.Priority), formatCap(t.CapPerS), formatBurst(t), formatRegions(t.Regions))
}
