package demo

import (
	"context"
	"maps"
	"slices"

	"github.com/rotisserie/eris"

	"pistachioford.example/core/revision"
	"pistachioford.example/pistachioford/tables"
)

// seed writes revision 1 of a document to a table that has no document.
func seed(ctx context.Context, table tables.Table, sections map[string]string) error {
	head := &revision.Head{Revision: 1}
	commit := tables.Commit{
		Operation:  "demo-seed",
		Conditions: []tables.Condition{{Key: revision.HeadKey}},
	}
	for _, name := range slices.Sorted(maps.Keys(sections)) {
		text := sections[name]
		row := &revision.SectionRow{Text: text}
		commit.Puts = append(commit.Puts, tables.Put{Key: revision.SectionKey(name, 1), Value: row.Encode()})
		head.Sections = append(head.Sections, revision.HeadSection{
			Name: name, Version: 1, Hash: revision.ContentHash([]byte(text)),
		})
	}
	commit.Puts = append(commit.Puts, tables.Put{Key: revision.HeadKey, Value: head.Encode()})
	_, err := table.Commit(ctx, commit)
	return eris.Wrap(err, "write the first document")
}
