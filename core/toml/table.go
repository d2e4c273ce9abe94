package toml

import (
	"fmt"
	"net/netip"
	"regexp"
	"sort"
	"strings"
	"time"
)

// Table is a TOML table. Each accessor reads one key and removes it from the
// table; Finish reports the remaining keys as unknown. The methods add errors
// to the ErrorList given to Parse. An accessor with an optional def requires
// the key if no default is given. After an error it returns the zero value.
type Table struct {
	*source
	path   string
	line   int
	values map[string]any
	// knownKeys are the keys that accessors have asked for, present or not.
	knownKeys []string
}

// File returns the name of the file.
func (t *Table) File() string { return t.file }

// Line returns the line of the table's header. It is 1 for the root table.
func (t *Table) Line() int { return t.line }

// LineOf returns the line of a key, or of the table if it lacks the key.
func (t *Table) LineOf(key string) int {
	if line, ok := t.lines[keyPath(t.path, key)]; ok {
		return line
	}
	return t.line
}

// Errorf adds an error for a key, or for the table itself if the key is empty.
func (t *Table) Errorf(key, format string, args ...any) {
	path := t.path
	if key != "" {
		path = keyPath(t.path, key)
	}
	t.errorf(t.LineOf(key), withoutIndexes(path), format, args...)
}

// Finish adds an error for each key that no accessor has read.
func (t *Table) Finish() {
	unknown := make([]string, 0, len(t.values))
	for key := range t.values {
		unknown = append(unknown, key)
	}
	sort.Strings(unknown)
	for _, key := range unknown {
		t.Errorf(key, "unknown key; the keys here are %s", strings.Join(t.knownKeys, ", "))
	}
}

// Has reports whether the key is present and not yet read.
func (t *Table) Has(key string) bool {
	_, ok := t.values[key]
	return ok
}

// take removes a key and returns its value.
func (t *Table) take(key string) (any, bool) {
	t.knownKeys = append(t.knownKeys, key)
	value, ok := t.values[key]
	delete(t.values, key)
	return value, ok
}

// String returns a string value.
func (t *Table) String(key string, def ...string) string {
	return scalar(t, key, "a string", def, func(s string) (string, error) { return s, nil })
}

// Value returns a string value converted by convert. Errors for a missing or
// mistyped value say that it must be want; other errors are those of convert.
func Value[T any](t *Table, key, want string, convert func(string) (T, error), def ...T) T {
	return scalar(t, key, want, def, convert)
}

// MatchingString returns a string that matches the pattern. The rule completes
// the error for a string that does not, such as "must be in lower case".
func (t *Table) MatchingString(key string, pattern *regexp.Regexp, rule string, def ...string) string {
	return Value(t, key, "a string", func(s string) (string, error) {
		if !pattern.MatchString(s) {
			return "", fmt.Errorf("%.64q %s", s, rule)
		}
		return s, nil
	}, def...)
}

// Address returns the IP:port of one host in canonical form.
func (t *Table) Address(key string) string {
	return Value(t, key, "IP:port", ParseAddress)
}

// Bool returns a boolean.
func (t *Table) Bool(key string, def ...bool) bool {
	return scalar(t, key, "true or false", def, func(b bool) (bool, error) { return b, nil })
}

// Int returns an integer from min to max.
func (t *Table) Int(key string, min, max int, def ...int) int {
	return scalar(t, key, "an integer", def, func(n int64) (int, error) { return checkRange(n, min, max) })
}

// Number returns a number from min to max, written as an integer or a float.
func (t *Table) Number(key string, min, max float64, def ...float64) float64 {
	return scalar(t, key, "a number", def, func(v any) (float64, error) {
		var n float64
		switch v := v.(type) {
		case int64:
			n = float64(v)
		case float64:
			n = v
		default:
			return 0, fmt.Errorf("must be a number")
		}
		if !(n >= min && n <= max) {
			return 0, fmt.Errorf("%v is outside of %v to %v", n, min, max)
		}
		return n, nil
	})
}

// Duration returns a duration, written as a string with a unit.
func (t *Table) Duration(key string, min, max time.Duration, def ...time.Duration) time.Duration {
	return quantity(t, key, `a duration with a unit, such as "30s"`, min, max, def, time.ParseDuration)
}

// Bytes returns a size, written as a string with a unit.
func (t *Table) Bytes(key string, min, max int64, def ...int64) int64 {
	return quantity(t, key, `a size with a unit, such as "64KiB"`, min, max, def, parseBytes)
}

// BytesPerSecond returns a rate, written as a string with a unit.
func (t *Table) BytesPerSecond(key string, min, max int64, def ...int64) int64 {
	return quantity(t, key, `a rate with a unit, such as "400MB/s"`, min, max, def, parseBytesPerSecond)
}

// PerSecond returns a frequency, written as a string with the unit "/s".
func (t *Table) PerSecond(key string, min, max float64, def ...float64) float64 {
	return quantity(t, key, `a number per second, such as "200/s"`, min, max, def, parsePerSecond)
}

// Fraction returns a number from 0 to 1, written as a string in percent.
func (t *Table) Fraction(key string, def ...float64) float64 {
	return quantity(t, key, `a percentage from "0%" to "100%"`, 0, 1, def, parsePercent)
}

// Strings returns the strings of an array; a missing array is empty.
func (t *Table) Strings(key string) []string {
	return array[string](t, key, "an array of strings")
}

// Ints returns the integers of an array, each from min to max, or the default
// if the array is missing.
func (t *Table) Ints(key string, min, max int, def []int) []int {
	if !t.Has(key) {
		t.take(key)
		return def
	}
	var ints []int
	for _, n := range array[int64](t, key, "an array of integers") {
		i, err := checkRange(n, min, max)
		if err != nil {
			t.Errorf(key, "%s", err)
			continue
		}
		ints = append(ints, i)
	}
	return ints
}

// Table returns a table; a missing table is empty.
func (t *Table) Table(key string) *Table {
	sub := &Table{source: t.source, path: keyPath(t.path, key), line: t.LineOf(key)}
	value, ok := t.take(key)
	if !ok {
		return sub
	}
	sub.values, ok = value.(map[string]any)
	if !ok {
		t.Errorf(key, "must be a table, written [%s]", withoutIndexes(sub.path))
	}
	return sub
}

// Tables returns the tables of an array; a missing array is empty.
func (t *Table) Tables(key string) []*Table {
	path := keyPath(t.path, key)
	values := array[map[string]any](t, key, fmt.Sprintf("an array of tables, written [[%s]]", withoutIndexes(path)))
	tables := make([]*Table, len(values))
	for i := range values {
		element := elementPath(path, i)
		line, ok := t.lines[element]
		if !ok {
			line = t.LineOf(key)
		}
		tables[i] = &Table{source: t.source, path: element, line: line, values: values[i]}
	}
	return tables
}

// ParseAddress parses an IP:port and returns it in canonical form. It refuses
// addresses that are not those of one host, zone identifiers and port 0.
func ParseAddress(text string) (string, error) {
	a, err := netip.ParseAddrPort(text)
	ip := a.Addr().Unmap()
	if err != nil || a.Port() == 0 || ip.IsUnspecified() || ip.IsMulticast() || ip.Zone() != "" {
		return "", fmt.Errorf("%.64q is not the address of a host; it must be IP:port", text)
	}
	return netip.AddrPortFrom(ip, a.Port()).String(), nil
}

// scalar reads a value of the TOML type V and converts it to T.
func scalar[V, T any](t *Table, key, want string, def []T, convert func(V) (T, error)) T {
	var zero T
	value, ok := t.take(key)
	if !ok {
		if len(def) == 0 {
			t.Errorf(key, "missing; it must be %s", want)
			return zero
		}
		return def[0]
	}
	typed, ok := value.(V)
	if !ok {
		t.Errorf(key, "must be %s", want)
		return zero
	}
	result, err := convert(typed)
	if err != nil {
		t.Errorf(key, "%s", err)
		return zero
	}
	return result
}

// quantity reads a number with a unit, written as a string, whose value must be
// from min to max.
func quantity[T int64 | float64 | time.Duration](t *Table, key, want string, min, max T, def []T, parse func(string) (T, error)) T {
	return scalar(t, key, want, def, func(text string) (T, error) {
		value, err := parse(text)
		if err != nil {
			return 0, fmt.Errorf("%.64q is not %s", text, want)
		}
		if !(value >= min && value <= max) {
			return 0, fmt.Errorf("%.64q is outside of %s", text, formatRange(min, max))
		}
		return value, nil
	})
}

// formatRange describes a range for an error.
func formatRange[T int64 | float64 | time.Duration](min, max T) string {
	switch any(min).(type) {
	case int64:
		return fmt.Sprintf("%v to %v bytes", min, max)
	case float64:
		if max == 1 { // only fractions end at 1
			return "0% to 100%"
		}
	}
	return fmt.Sprintf("%v to %v", min, max)
}

// array reads an array whose elements must all have the TOML type V.
func array[V any](t *Table, key, want string) []V {
	value, ok := t.take(key)
	if !ok {
		return nil
	}
	elements, ok := value.([]any)
	if !ok {
		t.Errorf(key, "must be %s", want)
		return nil
	}
	typed := make([]V, 0, len(elements))
	for _, e := range elements {
		v, ok := e.(V)
		if !ok {
			t.Errorf(key, "must be %s", want)
			return nil
		}
		typed = append(typed, v)
	}
	return typed
}

// checkRange converts n, which must be from min to max.
func checkRange(n int64, min, max int) (int, error) {
	if n < int64(min) || n > int64(max) {
		return 0, fmt.Errorf("%d is outside of %d to %d", n, min, max)
	}
	return int(n), nil
}

// withoutIndexes removes array indexes from a path. An error does not need
// them, since its line identifies the element.
func withoutIndexes(path string) string {
	var b strings.Builder
	depth := 0
	for _, c := range path {
		switch {
		case c == '[':
			depth++
		case c == ']' && depth > 0:
			depth--
		case depth == 0:
			b.WriteRune(c)
		}
	}
	return b.String()
}
