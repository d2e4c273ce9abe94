package entry

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"pistachioford.example/core/control"
	"pistachioford.example/core/document"
)

// Guards against new keys for a shard that has just changed its holder: the new
// holder responds with "outcome unknown" to keys made before its takeover.
func TestSelectKeyShardAvoidsRecentTakeover(t *testing.T) {
	is := is.New(t)
	start := time.Unix(1_700_000_000, 0)
	own, other := document.ShardID{Index: 0}, document.ShardID{Index: 1}
	peers := func(id control.InstanceID) []control.Peer {
		return []control.Peer{{ID: id, Shards: []document.ShardID{other}}}
	}
	candidates := []candidate{{shards: []document.ShardID{own}}, {shards: []document.ShardID{other}}}
	choose := func(v View, after time.Duration) document.ShardID {
		shard, found := v.selectKeyShard(candidates, start.Add(after))
		is.True(found)
		return shard
	}
	v := View{Peers: peers("a"), Held: []control.HeldShard{{Shard: own, TakenAt: start}}}
	v.UpdateHolders("self", start)
	is.Equal(choose(v, time.Second), own) // no shard has settled, so the nearest one
	is.Equal(choose(v, 4*time.Second), own)

	v.Held[0].TakenAt = start.Add(10 * time.Second) // taken again from another holder
	v.UpdateHolders("self", start.Add(10*time.Second))
	is.Equal(choose(v, 11*time.Second), other)
	is.Equal(choose(v, 14*time.Second), own)

	v.Peers = peers("b")
	v.Held[0].TakenAt = start.Add(20 * time.Second)
	v.UpdateHolders("self", start.Add(22*time.Second))
	is.Equal(choose(v, 24*time.Second), own) // the peer's shard is the newer one
}
