package entry

import (
	"time"

	"pistachioford.example/core/document"
)

// settleTime is how long a shard is with its holder before new keys get its
// prefix. The holder runs only keys made 2 s (the clock margin) after it took
// the shard; a caller's clock and the news of the change add to that.
const settleTime = 3 * time.Second

// holder is the instance that holds a shard, and since when as far as this
// instance knows.
type holder struct {
	id    string
	since time.Time
}

// NoteHolders updates the times from Held and Peers. The control goroutine
// calls it on a view that is not published yet.
func (v *View) NoteHolders(self string, now time.Time) {
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

// settled tells whether new keys may get the prefix of a shard.
func (v *View) settled(shard document.ShardID, now time.Time) bool {
	return now.Sub(v.holders[shard].since) >= settleTime
}

// keyShard chooses the shard for new keys: of the nearest instance that has a
// settled one, or else of the nearest that has any.
func (v *View) keyShard(candidates []candidate, now time.Time) (document.ShardID, bool) {
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
