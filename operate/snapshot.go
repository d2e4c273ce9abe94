package operate

import (
	"context"

	"github.com/rotisserie/eris"

	"pistachioford.example/core/document"
	"pistachioford.example/core/revision"
	"pistachioford.example/pistachioford/tables"
)

// snapshot is the document as of one read of its head.
type snapshot struct {
	// head has revision 0 and no sections before the first apply.
	head revision.Head
	// headRow is the version of the row of the head.
	headRow  uint64
	sections []document.Section
	// compiled and index are nil before the first apply.
	compiled *document.Compiled
	index    *document.Index
	// made is the revision that the operation made earlier, or 0.
	made uint64
}

// read returns the newest document. A non-empty operation is looked up too.
func (o *Operator) read(ctx context.Context, operation string) (*snapshot, error) {
	rows, err := o.platform.Get(ctx, revision.HeadKey, revision.OperationKey(operation))
	if err != nil {
		return nil, err
	}
	s := &snapshot{headRow: rows[0].Version}
	if rows[1].Version > 0 && operation != "" {
		made, err := revision.DecodeOperation(rows[1].Value)
		if err != nil {
			return nil, eris.Wrapf(err, "step=read-operation")
		}
		s.made = made.Revision
	}
	if s.headRow == 0 {
		return s, nil
	}
	head, err := revision.DecodeHead(rows[0].Value)
	if err != nil {
		return nil, eris.Wrapf(err, "step=read-head")
	}
	s.head = *head
	return s, o.readSections(ctx, s)
}

// readSections fills in the texts. Their rows never change, so they belong to
// the head although they are read later.
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
	s.compiled, s.index, err = document.Build(s.head.Revision, s.sections)
	return eris.Wrapf(err, "step=compile-active revision=%d", s.head.Revision)
}

// sectionText decodes the row of a section; an empty hash is not checked.
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

// find returns the position of a section in the head, or -1.
func (s *snapshot) find(name string) int {
	for i := range s.head.Sections {
		if s.head.Sections[i].Name == name {
			return i
		}
	}
	return -1
}

// with returns the sections of the document after replacing some.
func (s *snapshot) with(changed []document.Section) []document.Section {
	sections := append([]document.Section(nil), s.sections...)
	for _, c := range changed {
		if i := s.find(c.Name); i >= 0 {
			sections[i] = c
		} else {
			sections = append(sections, c)
		}
	}
	return sections
}
