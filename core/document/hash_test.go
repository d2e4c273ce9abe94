package document

import (
	"testing"

	"github.com/matryer/is"
)

// Guards against a change of the hash, after which instances of two versions
// would own the same slot.
func TestOwnerIsStable(t *testing.T) {
	is := is.New(t)
	c := &Compiled{
		Zones:   []Zone{{Name: "a", Shards: 2}},
		Targets: []Target{{Name: "stock-1", Slots: 3}, {Name: "stock-2", Slots: 3}},
	}
	is.Equal(nameHash(""), uint64(0xef46db3751d8e999)) // published XXH64 vector
	is.Equal(c.SlotOwner(0, 0).Index, c.SlotOwner(0, 2).Index)
	is.True(c.SlotOwner(0, 0) != c.SlotOwner(0, 1))
}
