package operate

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// Guards against errors in a file with several sections that give a line of the
// section instead of the line of the file, and against an apply that would
// write such a file back as one section.
func TestWholeDocumentFile(t *testing.T) {
	is := is.New(t)
	name := filepath.Join(t.TempDir(), "document.toml")
	text := "# pistachioctl: section a version 0\n[section]\nname = \"a\"\nteam = \"a\"\n" +
		"# pistachioctl: section b version 0\n[section]\nname = \"b\"\nteam = \"a\"\n[[zone]]\nwrong = 1\n"
	is.NoErr(os.WriteFile(name, []byte(text), 0o600))
	files, err := ReadDocumentFiles([]string{name})
	is.NoErr(err)
	is.Equal(len(files), 2)
	_, err = Check(files)
	is.True(strings.Contains(err.Error(), name+":10: zone.wrong"))
	_, err = ReadSectionFiles([]string{name})
	is.True(err != nil)
}
