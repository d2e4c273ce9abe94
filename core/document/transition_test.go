package document

import (
	"strings"
	"testing"

	"github.com/matryer/is"
)

// Guards against accepting an edit after which two shards own the same slot or
// the same part of a budget, and against refusing harmless edits.
func TestCheckTransition(t *testing.T) {
	tests := []struct{ name, old, new, want string }{
		{"other edit", `deadline = "2s"`, `deadline = "3s"`, ""},
		{"drain", `address = "10.0.0.1:8080"`, "address = \"10.0.0.1:8080\"\ndraining = true", ""},
		{"new address", `10.0.0.1:8080`, "10.0.0.3:8080", ""},
		{"shards", "shards = 3", "shards = 4", `zone "gauteng-a" changes from 3 to 4 shards`},
		{"zone added", "[[link]]", "[[zone]]\nname = \"kzn-b\"\nregion = \"kzn\"\n[[link]]", `zone "kzn-b" is added`},
		{"zone renamed", "kzn-a", "kzn-b", `zone "kzn-a" is removed`},
		{"region added", "[[region]]\nname = \"kzn\"\n", "[[region]]\nname = \"kzn\"\n[[region]]\nname = \"kzz\"\n[[zone]]\nname=\"kzz-a\"\nregion = \"kzz\"\n", `zone "kzz-a" is added`},
		{"target renamed", `name = "stock-1"`, `name = "stock-9"`, `target "stock-1" at 10.0.0.1:8080 becomes target "stock-9"`},
		{"target moved", "zone = \"kzn-a\"\naddress", "zone = \"gauteng-a\"\naddress", `in zone "gauteng-a"; remove it first`},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			old, err := Compile(1, sampleSections())
			is.NoErr(err)
			sections := sampleSections()
			for i := range sections {
				sections[i].Text = strings.ReplaceAll(sections[i].Text, test.old, test.new)
			}
			next, err := Compile(2, sections)
			is.NoErr(err)
			err = old.CheckTransition(next)
			if test.want == "" {
				is.NoErr(err)
				return
			}
			is.True(err != nil && strings.Contains(err.Error(), test.want))
		})
	}
}
