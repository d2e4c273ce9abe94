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

var errUnit = errors.New("no known unit")

// parseBytes parses a size such as 64KiB.
func parseBytes(text string) (int64, error) {
	for _, u := range byteUnits {
		digits, ok := strings.CutSuffix(text, u.suffix)
		if !ok {
			continue
		}
		n, err := number(digits)
		if err != nil || n*u.bytes > math.MaxInt64/2 {
			return 0, errUnit
		}
		return int64(math.Round(n * u.bytes)), nil
	}
	return 0, errUnit
}

// parseBytesPerSecond parses a rate such as 400MB/s.
func parseBytesPerSecond(text string) (int64, error) {
	size, ok := strings.CutSuffix(text, "/s")
	if !ok {
		return 0, errUnit
	}
	return parseBytes(size)
}

// parsePerSecond parses a frequency such as 200/s.
func parsePerSecond(text string) (float64, error) {
	digits, ok := strings.CutSuffix(text, "/s")
	if !ok {
		return 0, errUnit
	}
	return number(digits)
}

// parsePercent parses a percentage such as 50% into a fraction.
func parsePercent(text string) (float64, error) {
	digits, ok := strings.CutSuffix(text, "%")
	if !ok {
		return 0, errUnit
	}
	n, err := number(digits)
	return n / 100, err
}

// number parses a decimal number without sign, exponent or hexadecimal form.
func number(digits string) (float64, error) {
	if digits == "" || strings.Trim(digits, "0123456789.") != "" {
		return 0, errUnit
	}
	return strconv.ParseFloat(digits, 64)
}
