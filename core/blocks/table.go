package blocks

import (
	"fmt"
	"net/netip"
)

// Table maps client addresses to sites. It is immutable and safe for concurrent
// use. Tables of successive manifests share their unchanged chunks.
type Table struct {
	sites  []string
	v4, v6 familyChunks
	// v4Index holds, for each value of the first v4IndexBits of an IPv4
	// address, the number of IPv4 chunks that start below the addresses with
	// this prefix.
	v4Index [1<<v4IndexBits + 1]uint16
	chunks  map[string]*Chunk
}

// familyChunks holds the chunks of one address family and the first address of
// each, in the order of the addresses.
type familyChunks struct {
	chunkStarts []uint64
	chunks      []*Chunk
}

// NewTable returns the table of a manifest. It takes each chunk from fetched or
// else from the previous table, which may be nil.
func NewTable(m *Manifest, previous *Table, fetched map[string]*Chunk) (*Table, error) {
	t := &Table{sites: m.Sites, chunks: make(map[string]*Chunk, len(m.Chunks))}
	for _, ref := range m.Chunks {
		c := fetched[ref.Hash]
		if c == nil {
			c = previous.Chunk(ref.Hash)
		}
		if c == nil {
			return nil, fmt.Errorf("chunk %.12s is missing", ref.Hash)
		}
		if err := t.add(c, ref); err != nil {
			return nil, fmt.Errorf("chunk %.12s: %w", ref.Hash, err)
		}
	}
	t.buildV4Index()
	return t, nil
}

// v4IndexBits is the number of address bits that select an entry of v4Index.
const v4IndexBits = 14

// buildV4Index fills v4Index from the first addresses of the IPv4 chunks.
func (t *Table) buildV4Index() {
	count := 0
	for prefix := range t.v4Index {
		for count < len(t.v4.chunkStarts) && t.v4.chunkStarts[count] < uint64(prefix)<<(32-v4IndexBits) {
			count++
		}
		t.v4Index[prefix] = uint16(count)
	}
}

// add appends a chunk. It returns an error unless the chunk has the number of
// blocks and the sites of the manifest, and all its addresses are above those of
// the previous chunk of its family.
func (t *Table) add(c *Chunk, ref ChunkRef) error {
	if c.count != ref.Blocks {
		return fmt.Errorf("chunk has %d blocks, the manifest lists %d", c.count, ref.Blocks)
	}
	for i := range c.count {
		if site := c.at(i).site; int(site) >= len(t.sites) {
			return fmt.Errorf("site number %d is out of range, the manifest has %d sites", site, len(t.sites))
		}
	}
	f := &t.v4
	if c.family == v6 {
		f = &t.v6
	}
	if n := len(f.chunks); n > 0 {
		previous := f.chunks[n-1]
		if previous.at(previous.count-1).last(c.family) >= c.first() {
			return fmt.Errorf("overlaps or precedes the previous chunk")
		}
	}
	f.chunkStarts = append(f.chunkStarts, c.first())
	f.chunks = append(f.chunks, c)
	t.chunks[c.hash] = c
	return nil
}

// Chunk returns the chunk with the given hash, or nil if the table has none.
func (t *Table) Chunk(hash string) *Chunk {
	if t == nil {
		return nil
	}
	return t.chunks[hash]
}

// Sites returns the names of the sites, indexed by their numbers.
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
// into Sites. It reports false if no block contains the address.
func (t *Table) Lookup(a netip.Addr) (site uint16, found bool) {
	if !a.IsValid() {
		return 0, false
	}
	family, bits := leadingBits(a)
	if family == v4 {
		prefix := bits >> (32 - v4IndexBits)
		c := t.v4.chunk(bits, int(t.v4Index[prefix]), int(t.v4Index[prefix+1]))
		if c == nil {
			return 0, false
		}
		start, meta := find4(&c.rows4, uint32(bits))
		return unpack(uint64(start), meta).match(v4, bits)
	}
	c := t.v6.chunk(bits, 0, len(t.v6.chunkStarts))
	if c == nil {
		return 0, false
	}
	return unpack(find6(&c.rows6, bits)).match(v6, bits)
}

// chunk returns the last chunk that starts at or below the address, or nil. It
// searches the chunks from index from-1 up to but not including to.
func (f *familyChunks) chunk(bits uint64, from, to int) *Chunk {
	from = max(from-1, 0)
	if to <= from || f.chunkStarts[from] > bits {
		return nil
	}
	return f.chunks[from+search(f.chunkStarts[from:to], bits)]
}

// match returns the site of the block if the block contains the address, which
// must not be below its start.
func (b block) match(family uint8, bits uint64) (uint16, bool) {
	if bits <= b.last(family) {
		return b.site, true
	}
	return 0, false
}
