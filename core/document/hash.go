package document

import "github.com/cespare/xxhash/v2"

// nameHash spreads names evenly over shards; it must stay the same in all
// versions, since instances of different versions divide the same slots.
func nameHash(name string) uint64 { return xxhash.Sum64String(name) }
