package operate

import (
	"context"

	"github.com/rotisserie/eris"

	"pistachioford.example/core/document"
	"pistachioford.example/core/revision"
	"pistachioford.example/pistachioford/tables"
)

// snapshot is the document as of one read of its head row.
type snapshot struct {
	// head has revision 0 and no sections before the first document is applied.
	head revision.Head
	// headRowVersion is the version of the head row; 0 if there is no such row.
	headRowVersion uint64
	sections       []document.Section
	// compiled and index are nil before the first document is applied.
	compiled *document.Compiled
	index    *document.Index
	// operationRevision is the revision that the operation made in an earlier
	// attempt, or 0.
	operationRevision uint64
}

// readSnapshot reads the newest document. If operation is not empty, it also
// looks up the revision that the operation made.
func (o *Operator) readSnapshot(ctx context.Context, operation string) (*snapshot, error) {
	rows, err := o.platform.Get(ctx, revision.HeadKey, revision.OperationKey(operation))
	if err != nil {
		return nil, err
	}
	s := &snapshot{headRowVersion: rows[0].Version}
	if rows[1].Version > 0 && operation != "" {
		operationRow, err := revision.DecodeOperation(rows[1].Value)
		if err != nil {
			return nil, eris.Wrapf(err, "step=read-operation")
		}
		s.operationRevision = operationRow.Revision
	}
	if s.headRowVersion == 0 {
		return s, nil
	}
	head, err := revision.DecodeHead(rows[0].Value)
	if err != nil {
		return nil, eris.Wrapf(err, "step=read-head")
	}
	s.head = *head
	return s, o.readSections(ctx, s)
}

// readSections reads and compiles the sections that the head names. Their rows
// are never changed, so they match the head although they are read later.
func (o *Operator) readSections(ctx context.Context, s *snapshot) error {
	keys := make([]string, len(s.head.Sections))
	for i, h := range s.head.Sections {
		keys[i] = revision.SectionKey(h.Name, h.Version)
	}
	rows, err := o.platform.Get(ctx, keys...)
	if err != nil {
		return err
	}
	for i, h := range s.head.Sections {
		text, err := sectionText(rows[i], h.Hash)
		if err != nil {
			return err
		}
		s.sections = append(s.sections, document.Section{Name: h.Name, Team: h.Team, Text: text})
	}
	s.compiled, s.index, err = document.CompileWithIndex(s.head.Revision, s.sections)
	return eris.Wrapf(err, "step=compile-active revision=%d", s.head.Revision)
}

// sectionText decodes the row of a section and checks its hash, unless hash is
// empty.
func sectionText(row tables.Row, hash string) (string, error) {
	if row.Version == 0 {
		return "", eris.Errorf("step=read-section: row %s is missing", row.Key)
	}
	section, err := revision.DecodeSection(row.Value)
	if err != nil {
		return "", eris.Wrapf(err, "step=read-section key=%s", row.Key)
	}
	if hash != "" && revision.ContentHash([]byte(section.Text)) != hash {
		return "", eris.Errorf("step=read-section: row %s does not have the hash that the head names", row.Key)
	}
	return section.Text, nil
}

// sectionIndex returns the index of a section in the head, or -1.
func (s *snapshot) sectionIndex(name string) int {
	for i := range s.head.Sections {
		if s.head.Sections[i].Name == name {
			return i
		}
	}
	return -1
}

// withSections returns the sections of the document with the changed ones
// replaced or added.
func (s *snapshot) withSections(changed []document.Section) []document.Section {
	sections := append([]document.Section(nil), s.sections...)
	for _, c := range changed {
		if i := s.sectionIndex(c.Name); i >= 0 {
			sections[i] = c
		} else {
			sections = append(sections, c)
		}
	}
	return sections
}
