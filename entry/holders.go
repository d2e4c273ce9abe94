package entry

import (
	"time"

	"pistachioford.example/core/document"
)

// settleTime is how long an instance must have held a shard before new keys get
// the prefix of that shard. A holder runs only requests whose keys were made at
// least 2 s (the clock margin) after it took the shard. The remaining second
// allows for the caller's clock and for the time until this instance learns of
// the new holder.
const settleTime = 3 * time.Second

// holder identifies the instance that holds a shard. If that is a peer, since is
// when this instance first saw it as the holder; if it is this instance itself,
// since is when it took the shard.
type holder struct {
	id    string
	since time.Time
}

// UpdateHolders updates the holders of the shards from Held and Peers. For a
// peer that still holds a shard, since does not change. The control goroutine
// calls UpdateHolders on a view that is not published yet.
func (v *View) UpdateHolders(self string, now time.Time) {
	holders := make(map[document.ShardID]holder, len(v.holders))
	for i := range v.Peers {
		id := string(v.Peers[i].ID)
		for _, shard := range v.Peers[i].Shards {
			if known := v.holders[shard]; known.id == id {
				holders[shard] = known
			} else {
				holders[shard] = holder{id: id, since: now}
			}
		}
	}
	for i := range v.Held {
		holders[v.Held[i].Shard] = holder{id: self, since: v.Held[i].TakenAt}
	}
	v.holders = holders
}

// settled reports whether new keys may get the prefix of a shard.
func (v *View) settled(shard document.ShardID, now time.Time) bool {
	return now.Sub(v.holders[shard].since) >= settleTime
}

// selectKeyShard returns the shard whose prefix new keys get: a settled shard of
// the nearest candidate that has one, or else any shard of the nearest candidate
// that holds one. The candidates are sorted by rank.
func (v *View) selectKeyShard(candidates []candidate, now time.Time) (document.ShardID, bool) {
	fallback, found := document.ShardID{}, false
	for i := range candidates {
		for _, shard := range candidates[i].shards {
			if v.settled(shard, now) {
				return shard, true
			}
			if !found {
				fallback, found = shard, true
			}
		}
	}
	return fallback, found
}
