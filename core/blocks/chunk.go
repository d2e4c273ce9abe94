package blocks

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"errors"
	"fmt"
	"net/netip"
)

// Address families, as encoded in a chunk.
const (
	v4 = 4
	v6 = 6
)

// Limits of a chunk. On average a chunk ends after targetChunkBlocks blocks:
// smaller chunks make the manifest longer, larger ones the transfer of a change.
const (
	targetChunkBlocks = 8192
	maxChunkBlocks    = 4 * targetChunkBlocks
	// maxIPv6Bits is the length of the longest IPv6 prefix. Client sites have a
	// /64 or a shorter prefix, and up to /64 the prefix fits into 64 bits.
	maxIPv6Bits = 64
)

// block maps one prefix to a site. start is the first 32 (IPv4) or 64 (IPv6)
// bits of the prefix's address, bits its length, and site the number of the
// site.
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

// Hash returns the content hash that names the chunk.
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

// addressBits returns the number of address bits that the table stores for a
// family.
func addressBits(family uint8) uint8 {
	if family == v4 {
		return 32
	}
	return maxIPv6Bits
}

// last returns the last address of the block, in the form of start.
func (b block) last(family uint8) uint64 {
	hostBits := addressBits(family) - b.bits
	return b.start | (1<<hostBits - 1)
}

// contentHash returns the SHA-256 hash that names a chunk or a manifest.
func contentHash(data []byte) string {
	sum := sha256.Sum256(data)
	return hex.EncodeToString(sum[:])
}

// encodeChunk encodes the family, the number of blocks, and for each block the
// distance from the previous start, the prefix length and the site. Numbers are
// varints, except for the family and the prefix length, which are one byte
// each.
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

// Encode returns the encoded content, whose hash is Hash.
func (c *Chunk) Encode() []byte {
	blocks := make([]block, c.count)
	for i := range blocks {
		blocks[i] = c.at(i)
	}
	return encodeChunk(c.family, blocks)
}

var errChunk = errors.New("malformed chunk")

// DecodeChunk decodes a chunk. It verifies the hash of the content, the limits
// of the format, and that the blocks are sorted and do not overlap.
func DecodeChunk(hash string, data []byte) (*Chunk, error) {
	if contentHash(data) != hash {
		return nil, fmt.Errorf("chunk %.12s: content does not match the hash", hash)
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
	if n <= 0 || count == 0 || count > maxChunkBlocks {
		return errChunk
	}
	data = data[1+n:]
	c.allocate(int(count))
	minStart := uint64(0) // the lowest start that does not overlap the previous block
	start := uint64(0)
	for i := range int(count) {
		distance, n := binary.Uvarint(data)
		if n <= 0 || len(data) < n+2 {
			return errChunk
		}
		bits := data[n]
		site, m := binary.Uvarint(data[n+1:])
		if m <= 0 || site > 1<<16-1 || bits > addressBits(c.family) {
			return errChunk
		}
		data = data[n+1+m:]
		if start+distance < start {
			return errChunk
		}
		start += distance
		b := block{start: start, bits: bits, site: uint16(site)}
		last := b.last(c.family)
		if start > 1<<(addressBits(c.family)-1)*2-1 || last-start != 1<<(addressBits(c.family)-bits)-1 ||
			start&(last-start) != 0 || i > 0 && start < minStart {
			return errChunk
		}
		minStart = last + 1
		if minStart == 0 && i < int(count)-1 {
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
		c.rows4 = newColumn[uint32](count, groupSize4)
	} else {
		c.rows6 = newColumn[uint64](count, groupSize6)
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

// leadingBits returns the family of an address and its first 32 (IPv4) or 64
// (IPv6) bits. An IPv4-mapped IPv6 address is treated as IPv4.
func leadingBits(a netip.Addr) (family uint8, bits uint64) {
	if a = a.Unmap(); a.Is4() {
		b := a.As4()
		return v4, uint64(binary.BigEndian.Uint32(b[:]))
	}
	b := a.As16()
	return v6, binary.BigEndian.Uint64(b[:8])
}
