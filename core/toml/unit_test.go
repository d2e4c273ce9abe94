package toml

import (
	"testing"

	"github.com/matryer/is"
)

// Guards against units that are confused with others, and against accepting
// number forms that Go allows but the document does not, such as signs and
// exponents.
func TestParseUnits(t *testing.T) {
	sizes := map[string]int64{"0B": 0, "1B": 1, "2kB": 2000, "1.5KiB": 1536, "3MB": 3e6, "1MiB": 1 << 20, "1GB": 1e9, "2GiB": 2 << 30}
	for text, want := range sizes {
		got, err := parseBytes(text)
		is.New(t).NoErr(err)
		is.New(t).Equal(got, want)
	}
	for _, text := range []string{"", "B", "1", "1 B", "-1B", "+1B", "1e3B", "0x1B", ".B", "1.2.3B", "1K", "1kb", "1KB", "9999999999GB", "infB"} {
		_, err := parseBytes(text)
		is.New(t).True(err != nil)
	}
	rate, err := parseBytesPerSecond("400MB/s")
	is.New(t).NoErr(err)
	is.New(t).Equal(rate, int64(400e6))
	fraction, err := parsePercent("12.5%")
	is.New(t).NoErr(err)
	is.New(t).Equal(fraction, 0.125)
	for _, text := range []string{"NaN/s", "1/m", "/s", "1e9/s"} {
		_, err := parsePerSecond(text)
		is.New(t).True(err != nil)
	}
}
