package blocks

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net/netip"
	"slices"
	"sort"
	"strings"
)

// maxErrors limits the errors of one Build.
const maxErrors = 20

// LineError is an error in one line of the input.
type LineError struct {
	Line   int
	Reason string
}

// Error returns the line and the reason.
func (e *LineError) Error() string { return fmt.Sprintf("line %d: %s", e.Line, e.Reason) }

// BuildResult is a manifest with the content of its chunks, by their hashes.
type BuildResult struct {
	Manifest *Manifest
	Chunks   map[string][]byte
}

// inputBlock is a block with its line in the input.
type inputBlock struct {
	block
	line int
}

// builder collects the blocks, site names and errors of one Build.
type builder struct {
	sites []string
	// siteNumbers maps a site name to its index in sites.
	siteNumbers map[string]uint16
	v4, v6      []inputBlock
	errs        []error
}

// Build reads lines "prefix,site" and splits the blocks into chunks. It skips
// empty lines and lines that start with #. Sites keep their numbers in the
// previous manifest, so that unchanged chunks keep their hashes; previous may
// be nil. An error of the input joins at most 20 LineErrors.
func Build(r io.Reader, previous *Manifest) (*BuildResult, error) {
	b := &builder{siteNumbers: map[string]uint16{}}
	if previous != nil {
		for _, site := range previous.Sites {
			b.siteNumber(site)
		}
	}
	lines := bufio.NewScanner(r)
	for number := 1; lines.Scan() && len(b.errs) < maxErrors; number++ {
		line := strings.TrimSpace(lines.Text())
		if line == "" || line[0] == '#' {
			continue
		}
		b.parseLine(number, line)
	}
	if err := lines.Err(); err != nil {
		return nil, fmt.Errorf("read client blocks: %w", err)
	}
	b.checkOverlaps(v4, b.v4)
	b.checkOverlaps(v6, b.v6)
	if len(b.errs) > 0 {
		return nil, errors.Join(b.errs...)
	}
	return b.result()
}

func (b *builder) errorf(line int, format string, args ...any) {
	if len(b.errs) < maxErrors {
		b.errs = append(b.errs, &LineError{Line: line, Reason: fmt.Sprintf(format, args...)})
	}
}

// parseLine parses one line and collects its block, or adds an error.
func (b *builder) parseLine(number int, line string) {
	prefixText, site, ok := strings.Cut(line, ",")
	prefixText, site = strings.TrimSpace(prefixText), strings.TrimSpace(site)
	if !ok || site == "" || strings.Contains(site, ",") {
		b.errorf(number, "want prefix,site")
		return
	}
	prefix, err := netip.ParsePrefix(prefixText)
	if err != nil {
		b.errorf(number, "%q is no prefix", prefixText)
		return
	}
	if prefix != prefix.Masked() {
		b.errorf(number, "%s has bits beyond its length; want %s", prefix, prefix.Masked())
		return
	}
	family, start := leadingBits(prefix.Addr())
	if prefix.Addr().Is4In6() {
		b.errorf(number, "%s is an IPv4 address in IPv6 form", prefix)
		return
	}
	if prefix.Bits() > int(addressBits(family)) {
		b.errorf(number, "%s is longer than /%d", prefix, maxIPv6Bits)
		return
	}
	n, ok := b.siteNumber(site)
	if !ok {
		b.errorf(number, "more than %d sites", maxSites)
		return
	}
	parsed := inputBlock{block{start: start, bits: uint8(prefix.Bits()), site: n}, number}
	if family == v4 {
		b.v4 = append(b.v4, parsed)
	} else {
		b.v6 = append(b.v6, parsed)
	}
}

// siteNumber returns the number of a site and assigns the next one to a new
// site. It reports false if there are too many sites.
func (b *builder) siteNumber(site string) (uint16, bool) {
	if n, ok := b.siteNumbers[site]; ok {
		return n, true
	}
	if len(b.sites) == maxSites {
		return 0, false
	}
	n := uint16(len(b.sites))
	b.siteNumbers[site] = n
	b.sites = append(b.sites, site)
	return n, true
}

// checkOverlaps sorts the blocks of a family and adds an error for each block
// that overlaps an earlier one.
func (b *builder) checkOverlaps(family uint8, blocks []inputBlock) {
	sort.Slice(blocks, func(i, j int) bool {
		x, y := &blocks[i], &blocks[j]
		if x.start != y.start {
			return x.start < y.start
		}
		if x.bits != y.bits {
			return x.bits < y.bits
		}
		return x.line < y.line
	})
	previous := 0
	for i := 1; i < len(blocks); i++ {
		if blocks[previous].last(family) >= blocks[i].start {
			lines := []int{blocks[previous].line, blocks[i].line}
			slices.Sort(lines)
			b.errorf(lines[1], "overlaps line %d", lines[0])
			continue
		}
		previous = i
	}
}

// result splits the sorted blocks into chunks.
func (b *builder) result() (*BuildResult, error) {
	if total := len(b.v4) + len(b.v6); total > MaxBlocks {
		return nil, fmt.Errorf("%d blocks exceed the limit of %d", total, MaxBlocks)
	}
	r := &BuildResult{Manifest: &Manifest{Sites: b.sites}, Chunks: map[string][]byte{}}
	r.appendChunks(v4, b.v4)
	r.appendChunks(v6, b.v6)
	return r, nil
}

// appendChunks splits the sorted blocks of a family into chunks. The address of
// a block alone determines whether a chunk ends after it, unless the chunk is
// full, so that an inserted block changes one chunk and not all chunks that
// follow.
func (r *BuildResult) appendChunks(family uint8, blocks []inputBlock) {
	chunk := make([]block, 0, maxChunkBlocks)
	for i := range blocks {
		chunk = append(chunk, blocks[i].block)
		if len(chunk) == maxChunkBlocks || i == len(blocks)-1 || isBoundary(blocks[i].start) {
			data := encodeChunk(family, chunk)
			hash := contentHash(data)
			r.Chunks[hash] = data
			r.Manifest.Chunks = append(r.Manifest.Chunks, ChunkRef{Hash: hash, Blocks: len(chunk)})
			chunk = chunk[:0]
		}
	}
}

// isBoundary reports whether a chunk ends after the block with this start
// address. On average one of targetChunkBlocks blocks ends a chunk.
func isBoundary(start uint64) bool {
	x := (start ^ start>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return (x^x>>31)%targetChunkBlocks == 0
}
