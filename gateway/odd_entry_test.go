package gateway

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"pistachioford.example/core/steer"
)

// oddEntries are entries among those of the targets that another writer left.
func oddEntries() map[string]string {
	entry := func(address, born, capacity, seq, coldLeft string) string {
		return fmt.Sprintf(`{"address":%s,"born":%s,"info":{"service":"s","zone":"za","capacity":%s},"status":{"state":"ready","seq":%s,"cold_left":%s}}`,
			address, born, capacity, seq, coldLeft)
	}
	const address, zero = `"127.0.0.1:9"`, `"0ms"`
	nested := func(opening, closing string, depth int) string {
		return strings.Repeat(opening, depth) + strings.Repeat(closing, depth)
	}
	return map[string]string{
		"deep list":           nested("[", "]", 200_000),
		"deep object":         strings.Repeat(`{"info":`, 100_000),
		"deep field":          `{"address":` + address + `,"info":` + nested("[", "]", 9000) + `}`,
		"deep unknown field":  `{"x":` + nested("[", "]", 20_000) + `,` + entry(address, "1", "3", "1", zero)[1:],
		"large capacity":      entry(address, "1", "9223372036854775807", "1", zero),
		"larger capacity":     entry(address, "1", "1e400", "1", zero),
		"capacity of a fleet": entry(address, "1", "4611686018427387904", "1", zero),
		"large born":          entry(address, "99999999999999999999", "3", "1", zero),
		"large seq":           entry(address, "1", "3", "1e99", zero),
		"large cold_left":     entry(address, "1", "3", "1", `"1e999s"`),
		"port too large":      entry(`"127.0.0.1:70000"`, "1", "3", "1", zero),
		"port 0":              entry(`"127.0.0.1:0"`, "1", "3", "1", zero),
		"negative port":       entry(`"127.0.0.1:-1"`, "1", "3", "1", zero),
		"port as a number":    entry(`80`, "1", "3", "1", zero),
		"no host":             entry(`":80"`, "1", "3", "1", zero),
		"any host":            entry(`"0.0.0.0:80"`, "1", "3", "1", zero),
		"group of hosts":      entry(`"224.0.0.1:80"`, "1", "3", "1", zero),
		"not JSON":            "\xff\x00{",
		"empty":               "",
		"null":                "null",
	}
}

// TestOddEntriesLeaveTheOthersInUse guards against instances that end, or stop
// following the targets, since another writer left an entry that cannot be used:
// the one that reads the store, one that follows it, and one that starts.
func TestOddEntriesLeaveTheOthersInUse(t *testing.T) {
	is := is.New(t)
	s := newSite(t)
	s.startTarget("i-1", respondOK)
	a, b := s.startInstance("a"), s.startInstance("b")
	for key, value := range oddEntries() {
		s.store.Put("servers", key, []byte(value))
	}
	s.startTarget("i-2", respondOK)
	instances := []*Gateway{a, b, s.startInstance("c")}
	for _, g := range instances {
		s.waitForTargets(g, 2)
	}
	// A known target is overwritten, and removed.
	for key, value := range oddEntries() {
		s.store.Put("servers", "i-2", []byte(value))
		s.store.Remove("servers", key)
	}
	s.startTarget("i-3", respondOK)
	for _, g := range instances {
		s.waitFor("the new target", func() bool { return g.hasTarget("i-3") })
		s.waitForTargets(g, 2)
		for i := range 10 {
			is.Equal(s.connect(g).do("GET", fmt.Sprintf("/read/%d", i), "").status, 200)
		}
		g.withEngine(func(*steer.Engine) {})
		is.Equal(g.metrics.value(`panics_total{part="registry_row"}`), uint64(0))
		is.Equal(g.metrics.value(`panics_total{part="rebuild"}`), uint64(0))
		select {
		case err := <-g.Failed():
			t.Errorf("%s ended: %v", g.node.Name, err)
		case <-time.After(10 * time.Millisecond):
		}
	}
}
