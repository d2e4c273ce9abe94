package revision

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"strconv"
)

// HeadKey is the key of the row that names the newest accepted revision.
const HeadKey = "document/head"

// SectionKey returns the key of one version of a section.
func SectionKey(name string, version uint64) string {
	return "document/section/" + name + "/" + strconv.FormatUint(version, 10)
}

// OperationKey returns the key of the row in which an apply records its
// result.
func OperationKey(operation string) string {
	return "document/operation/" + operation
}

// Head is the value of the row HeadKey: the newest accepted revision and its
// sections.
type Head struct {
	Revision uint64 `json:"revision"`
	// Sections are sorted by name.
	Sections []HeadSection `json:"sections"`
	// digest caches the result of Digest; a head does not change once it is
	// shared.
	digest string
}

// HeadSection names one version of one section.
type HeadSection struct {
	Name    string `json:"name"`
	Version uint64 `json:"version"`
	// Hash is the ContentHash of the text.
	Hash string `json:"hash"`
	Team string `json:"team"`
}

// SectionRow is the value of a row SectionKey.
type SectionRow struct {
	Text string `json:"text"`
}

// OperationRow is the value of a row OperationKey.
type OperationRow struct {
	Revision uint64 `json:"revision"`
}

// ContentHash returns the SHA-256 of a section's text in hexadecimal digits.
func ContentHash(text []byte) string {
	sum := sha256.Sum256(text)
	return hex.EncodeToString(sum[:])
}

// Digest identifies the whole content of a revision. Two heads with the same
// revision and different digests contradict each other.
func (h *Head) Digest() string {
	if h.digest == "" {
		h.digest = ContentHash(h.Encode())
	}
	return h.digest
}

// Encode returns the value of the row.
func (h *Head) Encode() []byte {
	value, err := json.Marshal(h)
	if err != nil {
		panic(err) // Head has no field that json.Marshal can refuse.
	}
	return value
}

// DecodeHead reads the value of the row HeadKey.
func DecodeHead(value []byte) (*Head, error) {
	h := &Head{}
	if err := json.Unmarshal(value, h); err != nil {
		return nil, fmt.Errorf("decode %s: %w", HeadKey, err)
	}
	if err := h.Valid(); err != nil {
		return nil, fmt.Errorf("decode %s: %w", HeadKey, err)
	}
	return h, nil
}

// Valid returns an error if a head that was read or received has no revision,
// too many sections, or sections that are not sorted.
func (h *Head) Valid() error {
	if h.Revision == 0 {
		return errors.New("revision is 0")
	}
	if len(h.Sections) > maxSections {
		return fmt.Errorf("head has %d sections, more than %d", len(h.Sections), maxSections)
	}
	for i := 1; i < len(h.Sections); i++ {
		if h.Sections[i-1].Name >= h.Sections[i].Name {
			return errors.New("sections are not sorted by name")
		}
	}
	return nil
}

// Encode returns the value of the row.
func (s *SectionRow) Encode() []byte {
	value, err := json.Marshal(s)
	if err != nil {
		panic(err) // SectionRow has no field that json.Marshal can refuse.
	}
	return value
}

// DecodeSection reads the value of a row SectionKey.
func DecodeSection(value []byte) (*SectionRow, error) {
	s := &SectionRow{}
	if err := json.Unmarshal(value, s); err != nil {
		return nil, fmt.Errorf("decode section row: %w", err)
	}
	return s, nil
}

// Encode returns the value of the row.
func (o *OperationRow) Encode() []byte {
	value, err := json.Marshal(o)
	if err != nil {
		panic(err) // OperationRow has no field that json.Marshal can refuse.
	}
	return value
}

// DecodeOperation reads the value of a row OperationKey.
func DecodeOperation(value []byte) (*OperationRow, error) {
	o := &OperationRow{}
	if err := json.Unmarshal(value, o); err != nil {
		return nil, fmt.Errorf("decode operation row: %w", err)
	}
	return o, nil
}
