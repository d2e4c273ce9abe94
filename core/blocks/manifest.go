package blocks

import (
	"encoding/json"
	"fmt"
)

// Limits of a manifest.
const (
	maxChunks = 1<<16 - 1
	maxSites  = 1 << 16
	// MaxBlocks bounds the memory of a table.
	MaxBlocks = 4_000_000
)

// Manifest lists the chunks of one table in the order of their addresses, IPv4
// first.
type Manifest struct {
	// Sites are the names of the sites, indexed by the site numbers in the
	// chunks.
	Sites  []string   `json:"sites"`
	Chunks []ChunkRef `json:"chunks"`
}

// ChunkRef refers to a chunk by its hash and gives its number of blocks.
type ChunkRef struct {
	Hash   string `json:"hash"`
	Blocks int    `json:"blocks"`
}

// ObjectName returns the name of a chunk or a manifest in the object store.
func ObjectName(hash string) string { return "blocks/" + hash }

// Encode returns the encoded manifest and its hash, which names the manifest.
func (m *Manifest) Encode() (data []byte, hash string) {
	data, err := json.Marshal(m)
	if err != nil {
		panic(err) // Manifest has no field that json.Marshal can fail on.
	}
	return data, contentHash(data)
}

// DecodeManifest decodes a manifest. It verifies the hash of the content and
// the limits on chunks, sites and blocks.
func DecodeManifest(hash string, data []byte) (*Manifest, error) {
	if contentHash(data) != hash {
		return nil, fmt.Errorf("manifest %.12s: content does not match the hash", hash)
	}
	m := &Manifest{}
	if err := json.Unmarshal(data, m); err != nil {
		return nil, fmt.Errorf("manifest %.12s: %w", hash, err)
	}
	if len(m.Chunks) > maxChunks || len(m.Sites) > maxSites {
		return nil, fmt.Errorf("manifest %.12s: too many chunks or sites", hash)
	}
	total := 0
	for _, c := range m.Chunks {
		if c.Blocks <= 0 || c.Blocks > maxChunkBlocks {
			return nil, fmt.Errorf("manifest %.12s: chunk with an invalid number of blocks, %d", hash, c.Blocks)
		}
		total += c.Blocks
	}
	if total > MaxBlocks {
		return nil, fmt.Errorf("manifest %.12s: %d blocks exceed the limit of %d", hash, total, MaxBlocks)
	}
	return m, nil
}

// Diff returns the hashes of the chunks that are listed in to but not in from,
// each once. from may be nil.
func Diff(from, to *Manifest) []string {
	known := map[string]bool{}
	if from != nil {
		for _, c := range from.Chunks {
			known[c.Hash] = true
		}
	}
	var missing []string
	for _, c := range to.Chunks {
		if !known[c.Hash] {
			known[c.Hash] = true
			missing = append(missing, c.Hash)
		}
	}
	return missing
}
