package operate

import (
	"context"
	"regexp"
	"strings"

	"pistachioford.example/core/document"
)

// DrainRequest asks for a target to be drained, or to be put back into service.
type DrainRequest struct {
	Target    string
	Draining  bool
	Token     string
	Operation string
}

// Drain edits the section that defines the target. Each attempt starts from the
// newest version, so it never conflicts with another edit.
func (o *Operator) Drain(ctx context.Context, request DrainRequest) (*ChangeResult, error) {
	return o.change(ctx, changeRequest{
		operation: request.Operation,
		token:     request.Token,
		edit: func(s *snapshot) ([]document.Section, error) {
			return s.setDraining(request.Target, request.Draining)
		},
	})
}

// setDraining returns the section of the target with its key draining set.
func (s *snapshot) setDraining(target string, draining bool) ([]document.Section, error) {
	origin, err := s.findTarget(target)
	if err != nil {
		return nil, err
	}
	section := s.sections[s.sectionIndex(origin.Section)]
	value := "false"
	if draining {
		value = "true"
	}
	section.Text, err = setKey(section.Text, origin.Line, "target", "draining", value)
	if err != nil {
		return nil, err
	}
	// setKey edits lines, so its effect is checked in the compiled document.
	next, _, err := document.CompileWithIndex(s.head.Revision+1, s.withSections([]document.Section{section}))
	if err != nil {
		return nil, err
	}
	for i := range next.Targets {
		if next.Targets[i].Name == target && next.Targets[i].Draining == draining {
			return []document.Section{section}, nil
		}
	}
	return nil, refusef("cannot edit target %q in section %q; set draining = %s by hand", target, origin.Section, value)
}

// findTarget returns the origin of the definition of a target.
func (s *snapshot) findTarget(name string) (document.Origin, error) {
	if s.index == nil {
		return document.Origin{}, refusef("there is no document yet")
	}
	for _, t := range s.index.Targets {
		if t.Name == name {
			return t, nil
		}
	}
	return document.Origin{}, refusef("the document has no target %q", name)
}

// setKey sets a key of the table whose header, [table] or [[table]], is on the
// given line. It keeps the rest of the text as it is.
func setKey(text string, line int, table, key, value string) (string, error) {
	lines := strings.SplitAfter(text, "\n")
	header := regexp.MustCompile(`^\s*\[{1,2}\s*` + regexp.QuoteMeta(table) + `\s*\]{1,2}`)
	if line < 1 || line > len(lines) || !header.MatchString(lines[line-1]) {
		return "", refusef("table %s on line %d has no header of its own; set %s = %s by hand", table, line, key, value)
	}
	assignment := regexp.MustCompile(`^(\s*` + regexp.QuoteMeta(key) + `\s*=\s*)([^#\s]+)`)
	last := line - 1 // the last line of the table that is neither empty nor a comment
	for i := line; i < len(lines) && !strings.HasPrefix(strings.TrimSpace(lines[i]), "["); i++ {
		if assignment.MatchString(lines[i]) {
			lines[i] = assignment.ReplaceAllString(lines[i], "${1}"+strings.ReplaceAll(value, "$", "$$"))
			return strings.Join(lines, ""), nil
		}
		if trimmed := strings.TrimSpace(lines[i]); trimmed != "" && trimmed[0] != '#' {
			last = i
		}
	}
	if !strings.HasSuffix(lines[last], "\n") {
		lines[last] += "\n"
	}
	lines[last] += key + " = " + value + "\n"
	return strings.Join(lines, ""), nil
}
