package document

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
