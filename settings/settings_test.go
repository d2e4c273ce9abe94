package settings

import (
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"

	"pistachioford.example/core/toml"
)

const sample = `instance = "gauteng-a-1"
zone = "gauteng-a"
region = "gauteng"
platform = "http://10.0.0.1:9000"
plain = true
peers = ["10.1.2.1:7001"]

[addresses]
callers = "10.1.1.1:8080"
peer = "10.1.1.1:7001"
forward = "10.1.1.1:7002"
operators = "10.1.1.1:7003"

[limits]
header = "8KiB"
`

// Guards against lost values and unintended changes of defaults.
func TestParse(t *testing.T) {
	is := is.New(t)
	s, err := Parse("a.toml", []byte(sample))
	is.NoErr(err)
	is.Equal(*s, Settings{
		File: "a.toml", Instance: "gauteng-a-1", Zone: "gauteng-a", Region: "gauteng",
		Addresses: Addresses{"10.1.1.1:8080", "10.1.1.1:7001", "10.1.1.1:7002", "10.1.1.1:7003"},
		Platform:  "http://10.0.0.1:9000", Peers: []string{"10.1.2.1:7001"}, Plain: true, LogLevel: "info",
		Limits: Limits{4096, 8 << 10, 1 << 30, 16 << 20},
	})
}

// Guards against a daemon that starts with invalid settings, and against errors
// without the line and key of the fault.
func TestParseErrors(t *testing.T) {
	tests := []struct{ name, old, new, want string }{
		{"unknown key", `region =`, `regoin =`, "a.toml:3: regoin: unknown key"},
		{"missing region", "region = \"gauteng\"\n", "", "a.toml:1: region: missing"},
		{"missing zone", "zone = \"gauteng-a\"\n", "", "a.toml:1: zone: missing"},
		{"type", `"gauteng-a"`, `3`, "a.toml:2: zone: must be a string"},
		{"unknown limit", "header", "heading", "a.toml:15: limits.heading: unknown key; the keys here are connections, header, body, keys"},
		{"no unit", `"8KiB"`, `"8192"`, `a.toml:15: limits.header: "8192" is not a size with a unit`},
		{"number", `"8KiB"`, `8192`, "a.toml:15: limits.header: must be a size with a unit"},
		{"range", `"8KiB"`, `"8GiB"`, `a.toml:15: limits.header: "8GiB" is outside of 1024 to 1048576 bytes`},
		{"address", `"10.1.1.1:7002"`, `"10.1.1.1"`, "a.toml:11: addresses.forward: \"10.1.1.1\" is not the address"},
		{"same address", `"10.1.1.1:7002"`, `"10.1.1.1:7001"`, "a.toml:11: addresses.forward: is the same address as peer"},
		{"peer", `"10.1.2.1:7001"`, `"host:1"`, "a.toml:6: peers: \"host:1\" is not the address"},
		{"platform", "http:", "udp:", "a.toml:4: platform: "},
		{"level", "plain = true", "plain = true\nlog_level = \"loud\"", "a.toml:6: log_level: \"loud\" must be debug"},
		{"no TLS", "plain = true", "plain = false", "a.toml:1: tls: missing"},
		{"TLS and plain", "[limits]", "[tls]\ncertificate = \"x\"\n[limits]", "a.toml:14: tls: must be absent"},
		{"TLS file", "plain = true", "tls.certificate = \"absent.pem\"", "a.toml:5: tls.certificate: open absent.pem: no such file"},
		{"syntax", "[limits]", "[limits", "a.toml:14: "},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			_, err := Parse("a.toml", []byte(strings.Replace(sample, test.old, test.new, 1)))
			is.True(err != nil) // the edit must make the settings invalid
			if !strings.HasPrefix(err.Error(), test.want) && !strings.Contains(err.Error(), "\n"+test.want) {
				t.Fatalf("want %q in\n%v", test.want, err)
			}
		})
	}
}

// Guards against a report that ends at the first fault, so that each fault takes
// a new start to find.
func TestParseReportsAllErrors(t *testing.T) {
	is := is.New(t)
	_, err := Parse("a.toml", []byte("platform = 1\nfoo = 2\n"))
	var errs toml.Errors
	is.True(errors.As(err, &errs))
	is.Equal(len(errs), 10) // instance, zone, region, platform, 4 addresses, tls, foo
}

// Guards against TLS paths that are resolved against the working directory of
// the daemon instead of the directory of the settings file.
func TestTLSFilesRelativeToSettings(t *testing.T) {
	is := is.New(t)
	dir := t.TempDir()
	is.NoErr(os.WriteFile(filepath.Join(dir, "x.pem"), nil, 0o600))
	tls := "tls = {certificate = \"x.pem\", key = \"x.pem\", authority = \"x.pem\"}"
	s, err := Parse(filepath.Join(dir, "a.toml"), []byte(strings.Replace(sample, "plain = true", tls, 1)))
	is.NoErr(err)
	is.Equal(s.TLS.Key, filepath.Join(dir, "x.pem"))
}

// Guards against a settings file that crashes or hangs a daemon.
func FuzzParse(f *testing.F) {
	f.Add(sample)
	f.Add("[limits]\nheader = \"99999999999999999999GiB\"")
	f.Fuzz(func(t *testing.T, text string) {
		if s, err := Parse("a.toml", []byte(text)); (s == nil) == (err == nil) {
			t.Fatal("either settings or an error must be returned")
		}
	})
}
