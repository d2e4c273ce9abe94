package operate

import (
	"context"

	"github.com/rogpeppe/go-internal/diff"

	"pistachioford.example/core/revision"
)

// Overview lists the sections of the newest document without their texts.
type Overview struct {
	Revision uint64                 `json:"revision"`
	Sections []revision.HeadSection `json:"sections"`
}

// Overview returns the revision and the sections of the newest document.
func (o *Operator) Overview(ctx context.Context) (*Overview, error) {
	s, err := o.readSnapshot(ctx, "")
	if err != nil {
		return nil, err
	}
	return &Overview{Revision: s.head.Revision, Sections: s.head.Sections}, nil
}

// SectionVersion is one version of a section.
type SectionVersion struct {
	Section string `json:"section"`
	Version uint64 `json:"version"`
	Text    string `json:"text"`
}

// WithMarker returns the text after its version marker, in the form that apply
// reads.
func (s *SectionVersion) WithMarker() string { return versionMarker(s.Section, s.Version) + s.Text }

// Show returns a version of a section; version 0 selects the active one.
func (o *Operator) Show(ctx context.Context, section string, version uint64) (*SectionVersion, error) {
	s, err := o.readSnapshot(ctx, "")
	if err != nil {
		return nil, err
	}
	i := s.sectionIndex(section)
	if i < 0 {
		return nil, refusef("the document has no section %q; pistachioctl show lists them", section)
	}
	current := s.head.Sections[i].Version
	if version == 0 || version == current {
		return &SectionVersion{Section: section, Version: current, Text: s.sections[i].Text}, nil
	}
	rows, err := o.platform.Get(ctx, revision.SectionKey(section, version))
	if err != nil {
		return nil, err
	}
	if rows[0].Version == 0 {
		return nil, refusef("section %q has no version %d; its newest is %d", section, version, current)
	}
	text, err := sectionText(rows[0], "")
	if err != nil {
		return nil, err
	}
	return &SectionVersion{Section: section, Version: version, Text: text}, nil
}

// Diff describes what applying a file would change.
type Diff struct {
	Section string `json:"section"`
	File    string `json:"file"`
	// Version is the active version; 0 if the section is new.
	Version uint64 `json:"version"`
	// Text is a unified diff, empty if nothing would change.
	Text string `json:"diff"`
}

// Diff compares files with the active document.
func (o *Operator) Diff(ctx context.Context, files []File) ([]Diff, error) {
	s, err := o.readSnapshot(ctx, "")
	if err != nil {
		return nil, err
	}
	diffs := make([]Diff, 0, len(files))
	for _, f := range files {
		d := Diff{Section: f.Name, File: f.File}
		old := ""
		if i := s.sectionIndex(f.Name); i >= 0 {
			d.Version, old = s.head.Sections[i].Version, s.sections[i].Text
		}
		d.Text = string(diff.Diff("active/"+f.Name, []byte(old), f.File, []byte(withoutMarker(f.Text))))
		diffs = append(diffs, d)
	}
	return diffs, nil
}
