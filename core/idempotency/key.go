package idempotency

import (
	"errors"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/google/uuid"

	"pistachioford.example/core/document"
)

const (
	// maxKeyBytes bounds the memory that a key takes.
	maxKeyBytes = 255
	// maxClockSkew is the largest difference expected between two clocks.
	maxClockSkew = 2 * time.Second
)

// ErrMalformed is returned for a key that has an invalid form or no owner in
// the document.
var ErrMalformed = errors.New("malformed idempotency key")

// Key is a parsed idempotency key.
type Key struct {
	// Text is the whole key as the caller sent it.
	Text string
	// Zone and Shard identify the owner that the prefix names. Prefixed
	// reports whether the key has a prefix.
	Zone     string
	Shard    uint16
	Prefixed bool
	// Created is the timestamp of the UUIDv7; zero if the key has none.
	Created time.Time
}

// Parse parses a key of the form `<zone>.<shard>.<UUIDv7>` or a bare key. A
// key whose second part from the right is a number of up to 16 bits is treated
// as prefixed and must end with a UUIDv7.
func Parse(text string) (Key, error) {
	if text == "" || len(text) > maxKeyBytes || !isPrintable(text) {
		return Key{}, ErrMalformed
	}
	key := Key{Text: text}
	zone, shard, id, ok := splitPrefix(text)
	if !ok {
		key.Created, _ = createdAt(text)
		return key, nil
	}
	created, ok := createdAt(id)
	if !ok || zone == "" {
		return Key{}, ErrMalformed
	}
	key.Zone, key.Shard, key.Prefixed, key.Created = zone, shard, true, created
	return key, nil
}

// splitPrefix splits a key from the right, since zone names may contain dots.
func splitPrefix(text string) (zone string, shard uint16, id string, ok bool) {
	last := strings.LastIndexByte(text, '.')
	if last < 0 {
		return "", 0, "", false
	}
	middle := strings.LastIndexByte(text[:last], '.')
	if middle < 0 {
		return "", 0, "", false
	}
	index, err := strconv.ParseUint(text[middle+1:last], 10, 16)
	if err != nil {
		return "", 0, "", false
	}
	return text[:middle], uint16(index), text[last+1:], true
}

// createdAt returns the timestamp of a UUIDv7 in the usual form with hyphens.
func createdAt(text string) (time.Time, bool) {
	id, err := uuid.Parse(text)
	if err != nil || len(text) != 36 || id.Version() != 7 {
		return time.Time{}, false
	}
	milliseconds := int64(0)
	for _, b := range id[:6] {
		milliseconds = milliseconds<<8 | int64(b)
	}
	return time.UnixMilli(milliseconds), true
}

// isPrintable reports whether the text consists of printable ASCII characters
// other than the space.
func isPrintable(text string) bool {
	for i := range len(text) {
		if text[i] <= ' ' || text[i] > '~' {
			return false
		}
	}
	return true
}

// Owner returns the shard that owns the key. It returns ErrMalformed if the
// document does not have the shard that the prefix names.
func (k Key) Owner(doc *document.Compiled) (document.ShardID, error) {
	if !k.Prefixed {
		return ownerByHash(k.Text, doc)
	}
	for z := range doc.Zones {
		if doc.Zones[z].Name != k.Zone {
			continue
		}
		if k.Shard >= doc.Zones[z].Shards {
			return document.ShardID{}, ErrMalformed
		}
		return document.ShardID{Zone: document.ZoneID(z), Index: k.Shard}, nil
	}
	return document.ShardID{}, ErrMalformed
}

// ownerByHash distributes bare keys by hash over all shards in document order.
func ownerByHash(text string, doc *document.Compiled) (document.ShardID, error) {
	total := uint64(0)
	for z := range doc.Zones {
		total += uint64(doc.Zones[z].Shards)
	}
	if total == 0 {
		return document.ShardID{}, ErrMalformed
	}
	index := xxhash.Sum64String(text) % total
	zone := 0
	for index >= uint64(doc.Zones[zone].Shards) {
		index -= uint64(doc.Zones[zone].Shards)
		zone++
	}
	return document.ShardID{Zone: document.ZoneID(zone), Index: uint16(index)}, nil
}
