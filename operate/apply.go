package operate

import (
	"context"

	"pistachioford.example/core/document"
)

// ApplyRequest asks for new texts of sections.
type ApplyRequest struct {
	// Files is one section, or all sections of the first document.
	Files []File
	// Base overrides the version that the mark in the file names.
	Base    uint64
	HasBase bool
	Token   string
	// Operation resumes an earlier run with an unknown outcome.
	Operation string
}

// Apply makes the section in a file the active one. The section must still be
// at the version that the edit started from.
func (o *Operator) Apply(ctx context.Context, request ApplyRequest) (*Changed, error) {
	return o.change(ctx, changeRequest{
		operation: request.Operation,
		token:     request.Token,
		edit: func(s *snapshot) ([]document.Section, error) {
			return o.applied(ctx, s, request)
		},
	})
}

// applied returns the sections of the request as sections of the document.
func (o *Operator) applied(ctx context.Context, s *snapshot, request ApplyRequest) ([]document.Section, error) {
	sections := sectionsOf(request.Files)
	if s.headRow == 0 {
		return sections, nil
	}
	if len(sections) != 1 {
		return nil, refusef("%d sections at once; only the first document is applied as a whole, then one section at a time", len(sections))
	}
	section, file := &sections[0], &request.Files[0]
	base, hasBase := file.Base, file.HasBase
	if request.HasBase {
		base, hasBase = request.Base, true
	}
	i := s.find(section.Name)
	current := uint64(0)
	if i >= 0 {
		current = s.head.Sections[i].Version
		section.Team = s.head.Sections[i].Team
	}
	switch {
	case i >= 0 && s.sections[i].Text == stored(section.Text):
		return sections, nil
	case !hasBase && i >= 0:
		return nil, refusef("section %q exists at version %d and the file does not say which version it was made from; "+
			"start from pistachioctl show %s, or pass --base %d to replace that version", section.Name, current, section.Name, current)
	case base != current:
		return nil, o.conflict(ctx, s, section.Name, base, current)
	}
	return sections, nil
}

// conflict describes who changed a section.
func (o *Operator) conflict(ctx context.Context, s *snapshot, section string, base, current uint64) error {
	made, err := o.madeBy(ctx, s.head.Revision, section, current)
	if err != nil {
		return err
	}
	return &ConflictError{Section: section, Base: base, Current: current, Revision: made}
}
