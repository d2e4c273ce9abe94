package document

import "github.com/cespare/xxhash/v2"

// nameHash hashes a target's name to divide its slots among the shards. It must
// be the same in all versions, since instances of different versions divide the
// same slots.
func nameHash(name string) uint64 { return xxhash.Sum64String(name) }
