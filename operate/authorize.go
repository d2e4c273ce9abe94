package operate

import (
	"crypto/sha256"
	"crypto/subtle"

	"pistachioford.example/core/document"
)

// authorize checks that the token belongs to the team that owns each changed
// section. The active document defines the owner of a section; a new section
// belongs to the team that it names.
func (s *snapshot) authorize(token string, changed []document.Section) error {
	if s.index == nil {
		return authorizeFirst(token, changed)
	}
	team, err := teamOf(token, s.index)
	if err != nil {
		return err
	}
	for _, c := range changed {
		if i := s.sectionIndex(c.Name); i >= 0 {
			if owner := s.head.Sections[i].Team; owner != team {
				return refusef("section %q belongs to team %q, and the token is that of team %q", c.Name, owner, team)
			}
			continue
		}
		if c.Team != team {
			return refusef("new section %q names team %q, and the token is that of team %q", c.Name, c.Team, team)
		}
	}
	return nil
}

// authorizeFirst accepts the first document from any team that it defines,
// since no active document yet defines who may create it.
func authorizeFirst(token string, sections []document.Section) error {
	_, index, err := document.CompileWithIndex(1, sections)
	if err != nil {
		return err
	}
	for _, s := range sections {
		if s.Team == "" {
			return refusef("section %q names no team; add team to its table [section]", s.Name)
		}
	}
	_, err = teamOf(token, index)
	return err
}

// teamOf returns the team that a token belongs to.
func teamOf(token string, index *document.Index) (string, error) {
	if token == "" {
		return "", refusef("no team token; set PISTACHIOCTL_TOKEN or name a file with --token-file")
	}
	hash := sha256.Sum256([]byte(token))
	found := ""
	for _, t := range index.Teams {
		if subtle.ConstantTimeCompare(hash[:], t.TokenHash[:]) == 1 {
			found = t.Name
		}
	}
	if found == "" {
		return "", refusef("the token does not belong to any team of the document")
	}
	return found, nil
}
