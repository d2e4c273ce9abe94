package blocks

import (
	"fmt"
	"net/netip"
)

// Table maps addresses to sites. It is immutable and safe for concurrent use.
// Tables of successive manifests share their unchanged chunks.
type Table struct {
	sites  []string
	v4, v6 family
	// pages tells for each value of the leading pageBits of an IPv4 address how
	// many chunks start below it.
	pages  [1<<pageBits + 1]uint16
	chunks map[string]*Chunk
}

// family holds the chunks of one family, with the first address of each.
type family struct {
	firsts []uint64
	chunks []*Chunk
}

// Assemble makes the table of a manifest. Chunks come from fetched or else from
// the previous table, which may be nil.
func Assemble(m *Manifest, previous *Table, fetched map[string]*Chunk) (*Table, error) {
	t := &Table{sites: m.Sites, chunks: make(map[string]*Chunk, len(m.Chunks))}
	for _, e := range m.Chunks {
		c := fetched[e.Hash]
		if c == nil {
			c = previous.Chunk(e.Hash)
		}
		if c == nil {
			return nil, fmt.Errorf("chunk %.12s is missing", e.Hash)
		}
		if err := t.add(c, e); err != nil {
			return nil, fmt.Errorf("chunk %.12s: %w", e.Hash, err)
		}
	}
	t.index()
	return t, nil
}

const pageBits = 14

// index fills pages.
func (t *Table) index() {
	at := 0
	for page := range t.pages {
		for at < len(t.v4.firsts) && t.v4.firsts[at] < uint64(page)<<(32-pageBits) {
			at++
		}
		t.pages[page] = uint16(at)
	}
}

// add appends a chunk, which must lie above the previous one of its family.
func (t *Table) add(c *Chunk, e Entry) error {
	if c.count != e.Blocks {
		return fmt.Errorf("%d blocks, the manifest says %d", c.count, e.Blocks)
	}
	for i := range c.count {
		if site := c.at(i).site; int(site) >= len(t.sites) {
			return fmt.Errorf("site %d of %d", site, len(t.sites))
		}
	}
	f := &t.v4
	if c.family == v6 {
		f = &t.v6
	}
	if n := len(f.chunks); n > 0 {
		before := f.chunks[n-1]
		if before.at(before.count-1).last(c.family) >= c.first() {
			return fmt.Errorf("overlaps the chunk before it")
		}
	}
	f.firsts = append(f.firsts, c.first())
	f.chunks = append(f.chunks, c)
	t.chunks[c.hash] = c
	return nil
}

// Chunk returns a chunk by its hash, or nil.
func (t *Table) Chunk(hash string) *Chunk {
	if t == nil {
		return nil
	}
	return t.chunks[hash]
}

// Sites returns the names of the sites by their numbers.
func (t *Table) Sites() []string { return t.sites }

// Len returns the number of blocks.
func (t *Table) Len() int {
	total := 0
	for _, c := range t.chunks {
		total += c.count
	}
	return total
}

// Lookup returns the site of the block that contains the address, as an index
// of Sites.
func (t *Table) Lookup(a netip.Addr) (site uint16, found bool) {
	if !a.IsValid() {
		return 0, false
	}
	version, bits := key(a)
	if version == v4 {
		page := bits >> (32 - pageBits)
		c := t.v4.chunk(bits, int(t.pages[page]), int(t.pages[page+1]))
		if c == nil {
			return 0, false
		}
		start, meta := find4(&c.rows4, uint32(bits))
		return unpack(uint64(start), meta).match(v4, bits)
	}
	c := t.v6.chunk(bits, 0, len(t.v6.firsts))
	if c == nil {
		return 0, false
	}
	return unpack(find6(&c.rows6, bits)).match(v6, bits)
}

// chunk returns the chunk that could hold an address, or nil; it
// is one of those from the chunk before from to the one before to.
func (f *family) chunk(bits uint64, from, to int) *Chunk {
	from = max(from-1, 0)
	if to <= from || f.firsts[from] > bits {
		return nil
	}
	return f.chunks[from+search(f.firsts[from:to], bits)]
}

// match returns the site of the block if the block holds the address.
func (b block) match(family uint8, bits uint64) (uint16, bool) {
	if bits <= b.last(family) {
		return b.site, true
	}
	return 0, false
}
