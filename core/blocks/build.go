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

// maxErrors bounds the errors of one build.
const maxErrors = 20

// LineError is an error in one line of the input.
type LineError struct {
	Line   int
	Reason string
}

// Error implements error.
func (e *LineError) Error() string { return fmt.Sprintf("line %d: %s", e.Line, e.Reason) }

// Result is a manifest with the chunks that it lists, by their hashes.
type Result struct {
	Manifest *Manifest
	Chunks   map[string][]byte
}

// numbered is a block with the line that it came from.
type numbered struct {
	block
	line int
}

// builder collects blocks.
type builder struct {
	sites  []string
	number map[string]uint16
	v4, v6 []numbered
	errs   []error
}

// Build reads lines "prefix,site" and cuts them into chunks. Empty lines and
// lines that start with # are skipped. The numbers of the sites are those of
// the previous manifest where it has them, so that its chunks stay the same; it
// may be nil. The error joins at most 20 LineErrors.
func Build(r io.Reader, previous *Manifest) (*Result, error) {
	b := &builder{number: map[string]uint16{}}
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
		b.read(number, line)
	}
	if err := lines.Err(); err != nil {
		return nil, fmt.Errorf("read client blocks: %w", err)
	}
	b.check(v4, b.v4)
	b.check(v6, b.v6)
	if len(b.errs) > 0 {
		return nil, errors.Join(b.errs...)
	}
	return b.cut()
}

func (b *builder) fail(line int, format string, args ...any) {
	if len(b.errs) < maxErrors {
		b.errs = append(b.errs, &LineError{Line: line, Reason: fmt.Sprintf(format, args...)})
	}
}

// read parses one line.
func (b *builder) read(number int, line string) {
	text, site, ok := strings.Cut(line, ",")
	text, site = strings.TrimSpace(text), strings.TrimSpace(site)
	if !ok || site == "" || strings.Contains(site, ",") {
		b.fail(number, "want prefix,site")
		return
	}
	prefix, err := netip.ParsePrefix(text)
	if err != nil {
		b.fail(number, "%q is no prefix", text)
		return
	}
	if prefix != prefix.Masked() {
		b.fail(number, "%s has bits beyond its length; want %s", prefix, prefix.Masked())
		return
	}
	family, start := key(prefix.Addr())
	if prefix.Addr().Is4In6() {
		b.fail(number, "%s is an IPv4 address in IPv6 form", prefix)
		return
	}
	if prefix.Bits() > int(width(family)) {
		b.fail(number, "%s is longer than /%d", prefix, maxBits)
		return
	}
	n, ok := b.siteNumber(site)
	if !ok {
		b.fail(number, "more than %d sites", maxSites)
		return
	}
	entry := numbered{block{start: start, bits: uint8(prefix.Bits()), site: n}, number}
	if family == v4 {
		b.v4 = append(b.v4, entry)
	} else {
		b.v6 = append(b.v6, entry)
	}
}

func (b *builder) siteNumber(site string) (uint16, bool) {
	if n, ok := b.number[site]; ok {
		return n, true
	}
	if len(b.sites) == maxSites {
		return 0, false
	}
	n := uint16(len(b.sites))
	b.number[site] = n
	b.sites = append(b.sites, site)
	return n, true
}

// check sorts the blocks of a family and looks for overlaps.
func (b *builder) check(family uint8, blocks []numbered) {
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
	widest := 0
	for i := 1; i < len(blocks); i++ {
		if blocks[widest].last(family) >= blocks[i].start {
			lines := []int{blocks[widest].line, blocks[i].line}
			slices.Sort(lines)
			b.fail(lines[1], "overlaps line %d", lines[0])
			continue
		}
		widest = i
	}
}

func (b *builder) cut() (*Result, error) {
	if total := len(b.v4) + len(b.v6); total > MaxBlocks {
		return nil, fmt.Errorf("%d blocks, more than %d", total, MaxBlocks)
	}
	r := &Result{Manifest: &Manifest{Sites: b.sites}, Chunks: map[string][]byte{}}
	r.cut(v4, b.v4)
	r.cut(v6, b.v6)
	return r, nil
}

// cut ends a chunk at blocks that their own address selects, so that an
// inserted block changes one chunk and not all that follow.
func (r *Result) cut(family uint8, blocks []numbered) {
	chunk := make([]block, 0, maxChunk)
	for i := range blocks {
		chunk = append(chunk, blocks[i].block)
		if len(chunk) == maxChunk || i == len(blocks)-1 || ends(blocks[i].start) {
			data := encodeChunk(family, chunk)
			hash := contentHash(data)
			r.Chunks[hash] = data
			r.Manifest.Chunks = append(r.Manifest.Chunks, Entry{Hash: hash, Blocks: len(chunk)})
			chunk = chunk[:0]
		}
	}
}

// ends tells whether a chunk ends after the block with this address; one block
// of chunkTarget does.
func ends(start uint64) bool {
	x := (start ^ start>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return (x^x>>31)%chunkTarget == 0
}
