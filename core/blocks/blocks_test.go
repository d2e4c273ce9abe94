package blocks

import (
	"encoding/binary"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"runtime"
	"strings"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

func build(t testing.TB, csv string, previous *Manifest) *BuildResult {
	t.Helper()
	r, err := Build(strings.NewReader(csv), previous)
	if err != nil {
		t.Fatal(err)
	}
	return r
}

// load decodes the chunks with the given hashes, like an instance that has
// fetched them, and assembles the table.
func load(t testing.TB, r *BuildResult, previous *Table, hashes []string) *Table {
	t.Helper()
	fetched := map[string]*Chunk{}
	for _, hash := range hashes {
		c, err := DecodeChunk(hash, r.Chunks[hash])
		if err != nil {
			t.Fatal(err)
		}
		fetched[hash] = c
	}
	data, hash := r.Manifest.Encode()
	m, err := DecodeManifest(hash, data)
	if err != nil {
		t.Fatal(err)
	}
	table, err := NewTable(m, previous, fetched)
	if err != nil {
		t.Fatal(err)
	}
	return table
}

// Guards against wrong sites at the first and last addresses of blocks.
func TestLookup(t *testing.T) {
	csv := "# comment\n\n10.0.0.0/8,jhb\n11.0.0.0/32,cpt\n255.255.255.255/32,dbn\n2001:db8::/32,cpt\n2001:db9:0:1::/64,jhb\n"
	r := build(t, csv, nil)
	table := load(t, r, nil, Diff(nil, r.Manifest))
	cases := []struct{ address, site string }{
		{"10.0.0.0", "jhb"}, {"10.255.255.255", "jhb"}, {"9.255.255.255", ""}, {"11.0.0.0", "cpt"},
		{"11.0.0.1", ""}, {"255.255.255.255", "dbn"}, {"0.0.0.0", ""}, {"::ffff:10.1.2.3", "jhb"},
		{"2001:db8::1", "cpt"}, {"2001:db8:ffff:ffff:ffff::1", "cpt"}, {"2001:db9::1", ""},
		{"2001:db9:0:1::ff", "jhb"}, {"::", ""},
	}
	for _, c := range cases {
		site, found := table.Lookup(netip.MustParseAddr(c.address))
		got := ""
		if found {
			got = table.Sites()[site]
		}
		if got != c.site {
			t.Errorf("%s: site %q, want %q", c.address, got, c.site)
		}
	}
}

// Guards against errors that do not name the line of the input.
func TestBuildErrors(t *testing.T) {
	cases := []struct{ csv, want string }{
		{"10.0.0.0/8", "line 1: want prefix,site"},
		{"10.0.0.0/8,a,b", "line 1: want prefix,site"},
		{"\n10.0.0/8,a", `line 2: "10.0.0/8" is no prefix`},
		{"10.0.0.1/8,a", "line 1: 10.0.0.1/8 has bits beyond its length; want 10.0.0.0/8"},
		{"2001:db8::/65,a", "line 1: 2001:db8::/65 is longer than /64"},
		{"::ffff:10.0.0.0/104,a", "line 1: ::ffff:10.0.0.0/104 is an IPv4 address in IPv6 form"},
		{"10.0.0.0/8,a\n9.0.0.0/8,a\n10.1.0.0/16,b\n10.2.0.0/16,b", "line 3: overlaps line 1\nline 4: overlaps line 1"},
		{"10.0.0.0/8,a\n10.0.0.0/8,b", "line 2: overlaps line 1"},
		{"0.0.0.0/0,a\n255.0.0.0/8,b", "line 2: overlaps line 1"},
	}
	for _, c := range cases {
		if _, err := Build(strings.NewReader(c.csv), nil); err == nil || err.Error() != c.want {
			t.Errorf("%q: %v, want %s", c.csv, err, c.want)
		}
	}
}

// manyBlocks returns n lines of input with ascending blocks. One in four is
// IPv6.
func manyBlocks(n int) []string {
	random := rand.New(rand.NewPCG(1, 2))
	lines := make([]string, 0, n)
	v4, v6 := uint64(1<<24), uint64(0x2001)<<48
	for i := range n {
		if i%4 == 3 {
			var b [16]byte
			binary.BigEndian.PutUint64(b[:], v6)
			lines = append(lines, fmt.Sprintf("%s/%d,site-%d", netip.AddrFrom16(b), 48+random.IntN(17), random.IntN(77)))
			v6 += uint64(1+random.IntN(3)) << 16
			continue
		}
		var b [4]byte
		binary.BigEndian.PutUint32(b[:], uint32(v4))
		lines = append(lines, fmt.Sprintf("%s/%d,site-%d", netip.AddrFrom4(b), 23+random.IntN(10), random.IntN(77)))
		v4 += uint64(1+random.IntN(3)) << 9
	}
	return lines
}

// Guards against a change of a few blocks that transfers the whole table.
func TestSmallChangeHasSmallDiff(t *testing.T) {
	is := is.New(t)
	lines := manyBlocks(200_000)
	old := build(t, strings.Join(lines, "\n"), nil)
	before := load(t, old, nil, Diff(nil, old.Manifest))
	lines = append(lines[:1000], lines[1001:]...) // removed
	lines[150_000] = strings.Split(lines[150_000], ",")[0] + ",new-site"
	changed := build(t, strings.Join(lines, "\n"), old.Manifest)
	missing := Diff(old.Manifest, changed.Manifest)
	is.True(len(missing) <= 3)
	after := load(t, changed, before, missing)
	is.Equal(after.Len(), len(lines))
	_, err := NewTable(changed.Manifest, nil, nil)
	is.True(err != nil) // a missing chunk
}

// Guards against a lookup that finds a block where a linear scan finds none, or
// the reverse.
func TestLookupAgainstScan(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var prefixes []netip.Prefix
		var csv strings.Builder
		for i := range rapid.IntRange(1, 40).Draw(t, "n") {
			var b [4]byte
			binary.BigEndian.PutUint32(b[:], rapid.Uint32().Draw(t, "start"))
			p, _ := netip.AddrFrom4(b).Prefix(rapid.IntRange(1, 32).Draw(t, "bits"))
			overlaps := false
			for _, q := range prefixes {
				overlaps = overlaps || p.Overlaps(q)
			}
			if !overlaps {
				prefixes = append(prefixes, p)
				fmt.Fprintf(&csv, "%s,s%d\n", p, i)
			}
		}
		r, err := Build(strings.NewReader(csv.String()), nil)
		if err != nil {
			t.Fatal(err)
		}
		fetched := map[string]*Chunk{}
		for hash, data := range r.Chunks {
			if fetched[hash], err = DecodeChunk(hash, data); err != nil {
				t.Fatal(err)
			}
		}
		table, err := NewTable(r.Manifest, nil, fetched)
		if err != nil {
			t.Fatal(err)
		}
		for range 20 {
			p := rapid.SampledFrom(prefixes).Draw(t, "near")
			b := p.Addr().As4()
			value := binary.BigEndian.Uint32(b[:]) + uint32(rapid.IntRange(-2, 300).Draw(t, "offset"))
			binary.BigEndian.PutUint32(b[:], value)
			a := netip.AddrFrom4(b)
			want := false
			for _, q := range prefixes {
				want = want || q.Contains(a)
			}
			if _, found := table.Lookup(a); found != want {
				t.Fatalf("%s: found %v, want %v", a, found, want)
			}
		}
	})
}

// Guards against a crash on a malformed chunk, and against accepting a chunk
// whose blocks are unsorted or overlap.
func FuzzDecodeChunk(f *testing.F) {
	r := build(f, "10.0.0.0/8,a\n11.0.0.0/32,b\n2001:db8::/32,a\n", nil)
	for _, data := range r.Chunks {
		f.Add(data)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		c, err := DecodeChunk(contentHash(data), data)
		if err != nil {
			return
		}
		for i := 1; i < c.count; i++ {
			if c.at(i-1).last(c.family) >= c.at(i).start {
				t.Fatal("blocks overlap")
			}
		}
	})
}

const (
	fullTableBlocks = 2_700_000
	maxTableBytes   = 32 << 20 // bytes
)

// Checks that a table of fullTableBlocks takes at most maxTableBytes of memory,
// and measures one lookup and its allocations.
func BenchmarkBlockLookup(b *testing.B) {
	r := build(b, strings.Join(manyBlocks(fullTableBlocks), "\n"), nil)
	before := heapBytes()
	table := load(b, r, nil, Diff(nil, r.Manifest))
	size := heapBytes() - before
	if size > maxTableBytes {
		b.Errorf("table has %d bytes, more than %d", size, maxTableBytes)
	}
	random := rand.New(rand.NewPCG(3, 4))
	b.ReportAllocs()
	found := 0
	for i := 0; b.Loop(); i++ {
		if _, ok := table.Lookup(randomAddress(random, i)); ok {
			found++
		}
	}
	b.ReportMetric(float64(size)/(1<<20), "MiB")
	b.ReportMetric(float64(len(r.Manifest.Chunks)), "chunks")
	runtime.KeepAlive(r)
	if b.N > 1000 && found == 0 {
		b.Error("no block was found")
	}
}

// randomAddress returns an address in the range of the blocks of manyBlocks.
// One in four is IPv6.
func randomAddress(random *rand.Rand, i int) netip.Addr {
	if i%4 == 3 {
		var b [16]byte
		binary.BigEndian.PutUint64(b[:], uint64(0x2001)<<48+random.Uint64N(fullTableBlocks/4*2<<16))
		return netip.AddrFrom16(b)
	}
	var b [4]byte
	binary.BigEndian.PutUint32(b[:], 1<<24+random.Uint32N(fullTableBlocks*3/4*2<<9))
	return netip.AddrFrom4(b)
}

// heapBytes returns the size of the live heap objects after a garbage
// collection.
func heapBytes() int64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}
