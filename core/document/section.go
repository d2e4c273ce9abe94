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
	// File is the file name that errors show. Errors show Name if it is empty.
	File string
	// Text is the TOML text.
	Text string
}

// file returns the file name that errors show.
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

// Index holds the teams and the origins of definitions for operators' tools.
// Instances do not need it.
type Index struct {
	Teams []Team
	// Targets are the origins of the targets, indexed by TargetID.
	Targets []Origin
	// Blocks is the source of the client blocks; it is nil if the document has
	// none.
	Blocks *BlocksSource
}

// Team owns sections.
type Team struct {
	Name string
	// TokenHash is the SHA-256 hash of the team's token.
	TokenHash [sha256.Size]byte
}

// Origin is the position of a definition in the sections.
type Origin struct {
	Name    string
	Section string
	// File is the file name that errors show.
	File string
	Line int
}

// BlocksSource is the source of the client blocks.
type BlocksSource struct {
	// File is the CSV file (prefix,site), relative to the section's file. It
	// may be empty.
	File string
	// Manifest is the object name of the manifest in the object store. It is
	// empty before the first upload.
	Manifest string
	// Origin is the position of the table [blocks].
	Origin Origin
}

// ParseSection returns the section of a TOML file with the name and team of its
// table [section]. Without a valid name there, the section has the default
// name. ParseSection reports no errors: a text that is not valid TOML has the
// default name and no team, and Compile reports its errors.
func ParseSection(file, defaultName, text string) Section {
	s := Section{Name: defaultName, File: file, Text: text}
	root := toml.Parse(file, text, &toml.ErrorList{})
	if root == nil {
		return s
	}
	header := root.Table("section")
	if declared := readName(header, "name", defaultName); declared != "" {
		s.Name = declared
	}
	s.Team = readName(header, "team", "")
	return s
}
