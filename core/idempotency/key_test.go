package idempotency

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"pistachioford.example/core/document"
)

var start = time.UnixMilli(1_800_000_000_000)

// uuid7 returns a UUIDv7 with the given time; n makes it unique.
func uuid7(at time.Time, n int) string {
	return fmt.Sprintf("%08x-%04x-7000-8000-%012x", at.UnixMilli()>>16, at.UnixMilli()&0xffff, n)
}

var doc = &document.Compiled{Zones: []document.Zone{{Name: "kzn.a", Shards: 2}, {Name: "kzn.b", Shards: 3}}}

// Guards against keys that get the wrong owner, and against keys that are
// accepted although they have no owner.
func TestOwner(t *testing.T) {
	id := uuid7(start, 1)
	cases := []struct {
		text    string
		owner   document.ShardID
		wantErr bool
	}{
		{text: "kzn.b.2." + id, owner: document.ShardID{Zone: 1, Index: 2}},
		{text: "kzn.a.0." + id, owner: document.ShardID{Zone: 0, Index: 0}},
		{text: "kzn.a.2." + id, wantErr: true}, // no such shard
		{text: "lib.0." + id, wantErr: true},   // no such zone
		{text: "kzn.a.0.not-a-uuid", wantErr: true},
		{text: "kzn.a.0.9b2d0a3c-0000-4000-8000-000000000000", wantErr: true}, // version 4
		{text: ".0." + id, wantErr: true},
		{text: "", wantErr: true},
		{text: "a b", wantErr: true},
		{text: string(make([]byte, maxKeyBytes+1)), wantErr: true},
		{text: "order-1", owner: document.ShardID{Zone: 0, Index: 1}}, // 4300727777713430701 mod 5
	}
	for _, c := range cases {
		t.Run(c.text, func(t *testing.T) {
			is := is.New(t)
			key, err := Parse(c.text)
			if err == nil {
				var owner document.ShardID
				owner, err = key.Owner(doc)
				is.True(err != nil || owner == c.owner)
			}
			is.Equal(err != nil, c.wantErr)
		})
	}
	key, err := Parse(id)
	is.New(t).True(err == nil && key.Created.Equal(start) && !key.Prefixed)
}

// Guards against a shard that owns no bare keys.
func TestBareKeysUseAllShards(t *testing.T) {
	seen := map[document.ShardID]int{}
	for i := range 1000 {
		key, _ := Parse(fmt.Sprint("order-", i))
		owner, _ := key.Owner(doc)
		seen[owner]++
	}
	is := is.New(t)
	is.Equal(len(seen), 5)
	for _, count := range seen {
		is.True(count > 140)
	}
}

// Guards against panics in Parse and Owner.
func FuzzParse(f *testing.F) {
	f.Add("kzn.a.0." + uuid7(start, 1))
	f.Add("..")
	f.Fuzz(func(t *testing.T, text string) {
		if key, err := Parse(text); err == nil {
			key.Owner(doc)
		}
	})
}
