package operate

import (
	"fmt"
	"os"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"

	"github.com/rotisserie/eris"

	"pistachioford.example/core/document"
)

// leadingMarkerPattern matches the version marker: the line that show writes
// before a section, so that apply knows which version the edit started from.
var leadingMarkerPattern = regexp.MustCompile(`^# pistachioctl: section [a-z0-9-]+ version ([0-9]{1,18})\r?\n`)

// markerPattern matches the version marker of each section in a file.
var markerPattern = regexp.MustCompile(`(?m)^# pistachioctl: section [a-z0-9-]+ version [0-9]{1,18}\r?$`)

// versionMarker returns the version marker for a version of a section.
func versionMarker(section string, version uint64) string {
	return fmt.Sprintf("# pistachioctl: section %s version %d\n", section, version)
}

// File is a section read from a file.
type File struct {
	document.Section
	// Base is the version in the version marker; HasBase is false if the file has
	// no marker.
	Base    uint64
	HasBase bool
}

// ReadSectionFiles reads files with one section each. A section that does not
// state its name is named after the file, without the suffix.
func ReadSectionFiles(names []string) ([]File, error) {
	files, err := ReadDocumentFiles(names)
	if err != nil {
		return nil, err
	}
	for i := 1; i < len(files); i++ {
		if files[i].File == files[i-1].File {
			return nil, refusef("%s holds several sections; give each a file of its own", files[i].File)
		}
	}
	return files, nil
}

// ReadDocumentFiles reads files with one or more sections each.
func ReadDocumentFiles(names []string) ([]File, error) {
	files := make([]File, 0, len(names))
	for _, name := range names {
		text, err := readFile(name)
		if err != nil {
			return nil, err
		}
		for _, part := range splitFile(text) {
			files = append(files, parseFile(name, part))
		}
	}
	return files, nil
}

// parseFile returns the section of a file with the version in its marker.
func parseFile(name, text string) File {
	base := strings.TrimSuffix(filepath.Base(name), filepath.Ext(name))
	f := File{Section: document.ParseSection(name, base, text)}
	if m := leadingMarkerPattern.FindStringSubmatch(text); m != nil {
		version, err := strconv.ParseUint(m[1], 10, 64)
		f.Base, f.HasBase = version, err == nil
	}
	return f
}

// readFile reads a file after checking that its size is within the limit of a
// document.
func readFile(name string) (string, error) {
	info, err := os.Stat(name)
	if err != nil {
		return "", eris.Wrapf(err, "step=open-section")
	}
	if info.Size() > document.MaxBytes {
		return "", refusef("file %s has %d bytes; the maximum is %d", name, info.Size(), document.MaxBytes)
	}
	text, err := os.ReadFile(name)
	if err != nil {
		return "", eris.Wrapf(err, "step=read-section")
	}
	return string(text), nil
}

// withoutMarker returns the text without its version marker, as the platform
// stores it.
func withoutMarker(text string) string {
	return text[len(leadingMarkerPattern.FindString(text)):]
}

// UpdateMarker writes the marker of a new version into the file, if it has a
// marker, so that the next edit starts from that version.
func (f *File) UpdateMarker(version uint64) error {
	if !f.HasBase {
		return nil
	}
	text := versionMarker(f.Name, version) + withoutMarker(f.Text)
	return os.WriteFile(f.File, []byte(text), 0o644)
}

// sectionsOf returns the sections of files.
func sectionsOf(files []File) []document.Section {
	sections := make([]document.Section, len(files))
	for i := range files {
		sections[i] = files[i].Section
	}
	return sections
}
