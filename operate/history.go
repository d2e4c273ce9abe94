package operate

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"github.com/rotisserie/eris"

	"pistachioford.example/core/revision"
)

// Limits of history reads.
const (
	// maxRecords is the maximum number of records per read.
	maxRecords = 1000
	// maxConflictRecords is the number of records searched for the revision to
	// name in a conflict: a day of changes.
	maxConflictRecords = 470
)

// Record is the row that each change adds to the history.
type Record struct {
	Revision  uint64           `json:"revision"`
	Time      time.Time        `json:"time"`
	Operation string           `json:"operation"`
	Sections  []ChangedSection `json:"sections"`
}

// recordKey returns the key of the record of a revision. The number is
// zero-padded, so that keys sort in the order of revisions.
func recordKey(revision uint64) string { return fmt.Sprintf("document/history/%020d", revision) }

func (r *Record) encode() []byte {
	value, err := json.Marshal(r)
	if err != nil {
		panic(err) // Record has no field that json.Marshal can refuse.
	}
	return value
}

// History returns the newest records, newest first. A revision without a record
// is left out.
func (o *Operator) History(ctx context.Context, limit int) ([]Record, error) {
	rows, err := o.platform.Get(ctx, revision.HeadKey)
	if err != nil {
		return nil, err
	}
	if rows[0].Version == 0 {
		return nil, nil
	}
	head, err := revision.DecodeHead(rows[0].Value)
	if err != nil {
		return nil, eris.Wrapf(err, "step=read-head")
	}
	return o.records(ctx, firstRevision(head.Revision, limit), head.Revision)
}

// firstRevision returns the oldest of the newest limit revisions. The limit is
// clamped to the range from 1 to maxRecords.
func firstRevision(newest uint64, limit int) uint64 {
	count := uint64(min(max(limit, 1), maxRecords))
	if count >= newest {
		return 1
	}
	return newest - count + 1
}

// records returns the records of the revisions from one to another, newest
// first.
func (o *Operator) records(ctx context.Context, from, to uint64) ([]Record, error) {
	var keys []string
	for r := to; r >= from && r > 0; r-- {
		keys = append(keys, recordKey(r))
	}
	rows, err := o.platform.Get(ctx, keys...)
	if err != nil {
		return nil, err
	}
	var records []Record
	for _, row := range rows {
		if row.Version == 0 {
			continue
		}
		var r Record
		if err := json.Unmarshal(row.Value, &r); err != nil {
			return nil, eris.Wrapf(err, "step=read-history key=%s", row.Key)
		}
		records = append(records, r)
	}
	return records, nil
}

// findRevision returns the revision that made a version of a section, or 0 if
// no record that was searched has it.
func (o *Operator) findRevision(ctx context.Context, newest uint64, section string, version uint64) (uint64, error) {
	records, err := o.records(ctx, firstRevision(newest, maxConflictRecords), newest)
	if err != nil {
		return 0, err
	}
	for _, r := range records {
		for _, s := range r.Sections {
			if s.Name == section && s.Version == version {
				return r.Revision, nil
			}
		}
	}
	return 0, nil
}
