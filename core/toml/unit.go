package toml

import (
	"errors"
	"math"
	"strconv"
	"strings"
)

// byteUnits are the units of sizes, longest suffix first.
var byteUnits = []struct {
	suffix string
	bytes  float64
}{
	{"KiB", 1 << 10}, {"MiB", 1 << 20}, {"GiB", 1 << 30},
	{"kB", 1e3}, {"MB", 1e6}, {"GB", 1e9},
	{"B", 1},
}

var errQuantity = errors.New("not a number with a known unit")

// parseBytes parses a size such as 64KiB.
func parseBytes(text string) (int64, error) {
	for _, u := range byteUnits {
		digits, ok := strings.CutSuffix(text, u.suffix)
		if !ok {
			continue
		}
		n, err := parseNumber(digits)
		if err != nil || n*u.bytes > math.MaxInt64/2 {
			return 0, errQuantity
		}
		return int64(math.Round(n * u.bytes)), nil
	}
	return 0, errQuantity
}

// parseBytesPerSecond parses a rate such as 400MB/s.
func parseBytesPerSecond(text string) (int64, error) {
	size, ok := strings.CutSuffix(text, "/s")
	if !ok {
		return 0, errQuantity
	}
	return parseBytes(size)
}

// parsePerSecond parses a frequency such as 200/s.
func parsePerSecond(text string) (float64, error) {
	digits, ok := strings.CutSuffix(text, "/s")
	if !ok {
		return 0, errQuantity
	}
	return parseNumber(digits)
}

// parsePercent parses a percentage such as 50% and returns it as a fraction,
// such as 0.5.
func parsePercent(text string) (float64, error) {
	digits, ok := strings.CutSuffix(text, "%")
	if !ok {
		return 0, errQuantity
	}
	n, err := parseNumber(digits)
	return n / 100, err
}

// parseNumber parses a decimal number without sign, exponent or hexadecimal
// form.
func parseNumber(digits string) (float64, error) {
	if digits == "" || strings.Trim(digits, "0123456789.") != "" {
		return 0, errQuantity
	}
	return strconv.ParseFloat(digits, 64)
}
