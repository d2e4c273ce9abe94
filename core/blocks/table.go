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
	return t, nil
}

// add appends a chunk, which must lie above the previous one of its family.
func (t *Table) add(c *Chunk, e Entry) error {
	if len(c.meta) != e.Blocks {
		return fmt.Errorf("%d blocks, the manifest says %d", len(c.meta), e.Blocks)
	}
	for _, meta := range c.meta {
		if site := uint16(meta); int(site) >= len(t.sites) {
			return fmt.Errorf("site %d of %d", site, len(t.sites))
		}
	}
	f := &t.v4
	if c.family == v6 {
		f = &t.v6
	}
	if n := len(f.chunks); n > 0 {
		before := f.chunks[n-1]
		if before.at(len(before.meta)-1).last(c.family) >= c.first() {
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
		total += len(c.meta)
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
		c := t.v4.chunk(bits)
		if c == nil {
			return 0, false
		}
		return c.site(c.starts4.find(uint32(bits)), bits)
	}
	c := t.v6.chunk(bits)
	if c == nil {
		return 0, false
	}
	return c.site(c.starts6.find(bits), bits)
}

// chunk returns the chunk that could hold an address, or nil.
func (f *family) chunk(bits uint64) *Chunk {
	at := search(f.firsts, bits)
	if at < 0 {
		return nil
	}
	return f.chunks[at]
}

// site returns the site of a block if the block holds the address.
func (c *Chunk) site(i int, bits uint64) (uint16, bool) {
	if b := c.at(i); bits <= b.last(c.family) {
		return b.site, true
	}
	return 0, false
}
