package blocks

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"errors"
	"fmt"
	"net/netip"
)

// Families of addresses.
const (
	v4 = 4
	v6 = 6
)

// Limits of a chunk. chunkTarget is the usual number of blocks: smaller chunks
// make the manifest longer, larger ones the transfer of a change.
const (
	chunkTarget = 8192
	maxChunk    = 4 * chunkTarget
	// maxBits is the longest prefix of IPv6. Sites of clients have a /64 or
	// more, and with it a block fits into 64 bits.
	maxBits = 64
)

// block is one prefix in table form: the first 32 or 64 bits of its address.
type block struct {
	start uint64
	bits  uint8
	site  uint16
}

// Chunk holds consecutive blocks of one family. It is immutable.
type Chunk struct {
	hash   string
	family uint8
	count  int
	// rows4 or rows6 hold the blocks in the order of their addresses.
	rows4 column[uint32]
	rows6 column[uint64]
}

// Hash returns the content hash.
func (c *Chunk) Hash() string { return c.hash }

func (c *Chunk) first() uint64 { return c.at(0).start }

func (c *Chunk) at(i int) block {
	if c.family == v4 {
		start, meta := c.rows4.get(i)
		return unpack(uint64(start), meta)
	}
	return unpack(c.rows6.get(i))
}

func unpack(start uint64, meta uint32) block {
	return block{start: start, bits: uint8(meta >> 16), site: uint16(meta)}
}

// width is the number of address bits that a family uses in the table.
func width(family uint8) uint8 {
	if family == v4 {
		return 32
	}
	return maxBits
}

// last returns the last address of a block.
func (b block) last(family uint8) uint64 {
	free := width(family) - b.bits
	return b.start | (1<<free - 1)
}

// contentHash names a chunk or a manifest.
func contentHash(data []byte) string {
	sum := sha256.Sum256(data)
	return hex.EncodeToString(sum[:])
}

// encodeChunk writes the family, the number of blocks and for each block the
// distance to the previous start, the prefix length and the site.
func encodeChunk(family uint8, blocks []block) []byte {
	data := []byte{family}
	data = binary.AppendUvarint(data, uint64(len(blocks)))
	previous := uint64(0)
	for _, b := range blocks {
		data = binary.AppendUvarint(data, b.start-previous)
		data = append(data, b.bits)
		data = binary.AppendUvarint(data, uint64(b.site))
		previous = b.start
	}
	return data
}

// Encode returns the content that the hash was made of.
func (c *Chunk) Encode() []byte {
	blocks := make([]block, c.count)
	for i := range blocks {
		blocks[i] = c.at(i)
	}
	return encodeChunk(c.family, blocks)
}

var errChunk = errors.New("malformed chunk")

// DecodeChunk verifies the content by its hash and by the rules of the format.
func DecodeChunk(hash string, data []byte) (*Chunk, error) {
	if contentHash(data) != hash {
		return nil, fmt.Errorf("chunk %.12s: content does not have the hash", hash)
	}
	c := &Chunk{hash: hash}
	if err := c.decode(data); err != nil {
		return nil, fmt.Errorf("chunk %.12s: %w", hash, err)
	}
	return c, nil
}

func (c *Chunk) decode(data []byte) error {
	if len(data) == 0 || data[0] != v4 && data[0] != v6 {
		return errChunk
	}
	c.family = data[0]
	count, n := binary.Uvarint(data[1:])
	if n <= 0 || count == 0 || count > maxChunk {
		return errChunk
	}
	data = data[1+n:]
	c.allocate(int(count))
	next := uint64(0) // the lowest start that does not overlap
	start := uint64(0)
	for i := range int(count) {
		distance, n := binary.Uvarint(data)
		if n <= 0 || len(data) < n+2 {
			return errChunk
		}
		bits := data[n]
		site, m := binary.Uvarint(data[n+1:])
		if m <= 0 || site > 1<<16-1 || bits > width(c.family) {
			return errChunk
		}
		data = data[n+1+m:]
		if start+distance < start {
			return errChunk
		}
		start += distance
		b := block{start: start, bits: bits, site: uint16(site)}
		last := b.last(c.family)
		if start > 1<<(width(c.family)-1)*2-1 || last-start != 1<<(width(c.family)-bits)-1 ||
			start&(last-start) != 0 || i > 0 && start < next {
			return errChunk
		}
		next = last + 1
		if next == 0 && i < int(count)-1 {
			return errChunk
		}
		c.put(i, b)
	}
	if len(data) != 0 {
		return errChunk
	}
	return nil
}

func (c *Chunk) allocate(count int) {
	c.count = count
	if c.family == v4 {
		c.rows4 = newColumn[uint32](count, group4)
	} else {
		c.rows6 = newColumn[uint64](count, group6)
	}
}

func (c *Chunk) put(i int, b block) {
	meta := uint32(b.bits)<<16 | uint32(b.site)
	if c.family == v4 {
		c.rows4.put(i, uint32(b.start), meta)
	} else {
		c.rows6.put(i, b.start, meta)
	}
}

// key returns the family and the leading bits of an address.
func key(a netip.Addr) (family uint8, bits uint64) {
	if a = a.Unmap(); a.Is4() {
		b := a.As4()
		return v4, uint64(binary.BigEndian.Uint32(b[:]))
	}
	b := a.As16()
	return v6, binary.BigEndian.Uint64(b[:8])
}
