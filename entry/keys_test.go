package entry

import (
	"testing"

	"github.com/google/uuid"

	"pistachioford.example/core/document"
	"pistachioford.example/core/traffic"
)

func newKey(t *testing.T) string {
	t.Helper()
	id, err := uuid.NewV7()
	if err != nil {
		t.Fatal(err)
	}
	return id.String()
}

func shardIDs(held []traffic.HeldShard) []document.ShardID {
	var ids []document.ShardID
	for _, h := range held {
		ids = append(ids, h.Shard)
	}
	return ids
}
