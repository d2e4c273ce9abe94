package operate

import (
	"context"

	"pistachioford.example/core/document"
)

// ApplyRequest asks for sections to be created or replaced.
type ApplyRequest struct {
	// Files holds one section, or all sections of the first document.
	Files []File
	// Base overrides the version that the version marker in the file states.
	Base    uint64
	HasBase bool
	Token   string
	// Operation is the id of an earlier run with an unknown outcome that this one
	// resumes; empty for a new change.
	Operation string
}

// Apply makes the section in a file the active one. The active section must
// still be at the version that the edit started from.
func (o *Operator) Apply(ctx context.Context, request ApplyRequest) (*ChangeResult, error) {
	return o.change(ctx, changeRequest{
		operation: request.Operation,
		token:     request.Token,
		edit: func(s *snapshot) ([]document.Section, error) {
			return o.sectionsToApply(ctx, s, request)
		},
	})
}

// sectionsToApply returns the sections of the request, after checking that none
// was changed since the edit started.
func (o *Operator) sectionsToApply(ctx context.Context, s *snapshot, request ApplyRequest) ([]document.Section, error) {
	sections := sectionsOf(request.Files)
	if s.headRowVersion == 0 {
		return sections, nil
	}
	if len(sections) != 1 {
		return nil, refusef("%d sections at once; only the first document is applied as a whole, later changes one section at a time", len(sections))
	}
	section, file := &sections[0], &request.Files[0]
	base, hasBase := file.Base, file.HasBase
	if request.HasBase {
		base, hasBase = request.Base, true
	}
	i := s.sectionIndex(section.Name)
	current := uint64(0)
	if i >= 0 {
		current = s.head.Sections[i].Version
		section.Team = s.head.Sections[i].Team
	}
	switch {
	case i >= 0 && s.sections[i].Text == withoutMarker(section.Text):
		return sections, nil
	case !hasBase && i >= 0:
		return nil, refusef("section %q exists at version %d and the file does not say which version it was made from; "+
			"start from pistachioctl show %s, or pass --base %d to replace that version", section.Name, current, section.Name, current)
	case base != current:
		return nil, o.newConflictError(ctx, s, section.Name, base, current)
	}
	return sections, nil
}

// newConflictError returns a ConflictError with the revision that made the
// current version of the section.
func (o *Operator) newConflictError(ctx context.Context, s *snapshot, section string, base, current uint64) error {
	changedIn, err := o.findRevision(ctx, s.head.Revision, section, current)
	if err != nil {
		return err
	}
	return &ConflictError{Section: section, Base: base, Current: current, Revision: changedIn}
}
