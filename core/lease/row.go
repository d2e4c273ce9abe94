// Package lease decides which shards of its zone an instance holds. Each shard
// is a row of the table service with an expiry and a fencing epoch.
//
// A Manager keeps a state for each shard, declared in manager.go:
//
//   - It takes a shard whose row is missing or released, and one whose row has
//     expired after a quarantine without a sign of use. The zone peers with the
//     fewest shards come first (take.go).
//   - It renews the row while it holds the shard (hold.go).
//   - After a gap in its ticks longer than MaxPause it does not use the shard
//     until a write of the row or, while the platform is down, all live zone
//     peers confirm it (resume.go).
//   - It hands the shard over to a zone peer or releases the row when the
//     instance leaves, or to balance the shards of the zone (handover.go).
//
// Two instances do not use a shard at the same time: the quarantine of a
// candidate is longer than MaxPause, after which the holder stops by itself, and
// a stopped holder resumes only if no candidate can have taken the shard since.
package lease

import (
	"encoding/json"
	"fmt"
	"strconv"
	"time"
)

// Key returns the key of a shard's row.
func Key(zone string, index uint16) string {
	return "shard/" + zone + "/" + strconv.Itoa(int(index))
}

// Row is the value of a shard's row.
type Row struct {
	// Holder is the ID of an instance. It is unique per process, so it also
	// identifies the incarnation.
	Holder string `json:"holder"`
	// Address is the peer address of the holder, for probes.
	Address string `json:"address"`
	// Epoch rises with each change of holder.
	Epoch uint64 `json:"epoch"`
	// ExpiryMillis is the end of the term in Unix milliseconds.
	ExpiryMillis int64 `json:"expiry_ms"`
	Released     bool  `json:"released"`
}

// Expiry returns the end of the term.
func (r *Row) Expiry() time.Time { return time.UnixMilli(r.ExpiryMillis) }

// Encode returns the row as stored in the table service.
func (r *Row) Encode() []byte {
	value, err := json.Marshal(r)
	if err != nil {
		panic(err) // Row has no field that json.Marshal can refuse.
	}
	return value
}

// DecodeRow reads the value of a shard's row.
func DecodeRow(value []byte) (*Row, error) {
	r := &Row{}
	if err := json.Unmarshal(value, r); err != nil {
		return nil, fmt.Errorf("decode shard row: %w", err)
	}
	return r, nil
}
