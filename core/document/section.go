package document

import (
	"crypto/sha256"

	"pistachioford.example/core/toml"
)

// Section is the text of one TOML file, owned by one team. A document is the
// union of its sections.
type Section struct {
	// Name identifies the section; it is unique in a document.
	Name string
	// Team is the team that may edit the section.
	Team string
	// File is the name shown in errors; empty means Name.
	File string
	// Text is the TOML text.
	Text string
}

// file returns the name that errors show.
func (s *Section) file() string {
	if s.File != "" {
		return s.File
	}
	return s.Name
}

// Errors are all errors of a document, ordered by file and line.
type Errors = toml.Errors

// Error is one error of a document.
type Error = toml.Error

// Index tells operators' tools where things are defined. Instances do not need
// it.
type Index struct {
	Teams   []Team
	Targets []Origin
	// Blocks is the source of the client blocks; it is nil if the document has
	// none.
	Blocks *Blocks
}

// Team owns sections.
type Team struct {
	Name string
	// TokenHash is the SHA-256 hash of the team's token.
	TokenHash [sha256.Size]byte
}

// Origin is the place of a definition.
type Origin struct {
	Name    string
	Section string
	// File is the name that errors show.
	File string
	Line int
}

// Blocks tells where the client blocks come from.
type Blocks struct {
	// File is the CSV file (prefix,site), relative to the section's file. It
	// may be empty.
	File string
	// Manifest is the name of the manifest in the object store. It is empty
	// before the first upload.
	Manifest string
	// Origin is the table [blocks].
	Origin Origin
}

// Open returns the section of a TOML file. Its name and team are those that the
// table [section] says; without a name it is the given one. A text that is no
// TOML has no team, and Compile reports its errors.
func Open(file, defaultName, text string) Section {
	s := Section{Name: defaultName, File: file, Text: text}
	root := toml.Parse(file, text, &toml.List{})
	if root == nil {
		return s
	}
	head := root.Table("section")
	if said := name(head, "name", defaultName); said != "" {
		s.Name = said
	}
	s.Team = name(head, "team", "")
	return s
}
