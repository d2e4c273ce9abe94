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

// markPattern matches the line that show writes before a section, so that
// apply knows which version the edit started from.
var markPattern = regexp.MustCompile(`^# pistachioctl: section [a-z0-9-]+ version ([0-9]{1,18})\r?\n`)

// sectionMark matches the mark of any section of a file.
var sectionMark = regexp.MustCompile(`(?m)^# pistachioctl: section [a-z0-9-]+ version [0-9]{1,18}\r?$`)

// mark returns the line for a version of a section.
func mark(section string, version uint64) string {
	return fmt.Sprintf("# pistachioctl: section %s version %d\n", section, version)
}

// File is a section in a file.
type File struct {
	document.Section
	// Base is the version that the mark in the file names; HasBase is false if
	// there is no mark.
	Base    uint64
	HasBase bool
}

// OpenFiles reads files with one section each. The name of a file without its
// suffix is the name of a section that does not say its own.
func OpenFiles(names []string) ([]File, error) {
	files, err := OpenDocument(names)
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

// OpenDocument reads files with one or more sections each.
func OpenDocument(names []string) ([]File, error) {
	files := make([]File, 0, len(names))
	for _, name := range names {
		text, err := readFile(name)
		if err != nil {
			return nil, err
		}
		for _, part := range splitFile(text) {
			files = append(files, openSection(name, part))
		}
	}
	return files, nil
}

func openSection(name, text string) File {
	base := strings.TrimSuffix(filepath.Base(name), filepath.Ext(name))
	f := File{Section: document.Open(name, base, text)}
	if m := markPattern.FindStringSubmatch(text); m != nil {
		version, err := strconv.ParseUint(m[1], 10, 64)
		f.Base, f.HasBase = version, err == nil
	}
	return f
}

// readFile refuses files that are too long before it reads them.
func readFile(name string) (string, error) {
	info, err := os.Stat(name)
	if err != nil {
		return "", eris.Wrapf(err, "step=open-section")
	}
	if info.Size() > document.MaxBytes {
		return "", refusef("%s has %d bytes, more than %d", name, info.Size(), document.MaxBytes)
	}
	text, err := os.ReadFile(name)
	if err != nil {
		return "", eris.Wrapf(err, "step=read-section")
	}
	return string(text), nil
}

// stored returns the text without the mark, as the platform keeps it.
func stored(text string) string {
	return text[len(markPattern.FindString(text)):]
}

// Remark writes the mark of a new version into the file, if it has one, so that
// the next edit starts from it.
func (f *File) Remark(version uint64) error {
	if !f.HasBase {
		return nil
	}
	text := mark(f.Name, version) + stored(f.Text)
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
