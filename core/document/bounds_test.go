package document

import (
	"fmt"
	"runtime"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// maxCompileBytes limits what the compilation of one hostile document may
// allocate in total: 100 times the longest text.
const maxCompileBytes = 100 * MaxBytes

// Guards against a text within the size limit whose compilation makes an
// instance run out of memory.
func TestCompileMemoryIsBounded(t *testing.T) {
	repeatToMaxBytes := func(unit string) string { return strings.Repeat(unit, (MaxBytes-16)/len(unit)) }
	repeatNumbered := func(format string) string {
		var b strings.Builder
		for i := 0; b.Len() < MaxBytes-100; i++ {
			fmt.Fprintf(&b, format, i)
		}
		return b.String()
	}
	texts := []struct{ name, text string }{
		{"dotted key", "a" + repeatToMaxBytes(".a")},
		{"dotted key below the separator limit", "a" + strings.Repeat(".a", belowSeparatorLimit)},
		{"array", "a=[" + repeatToMaxBytes("1,") + "]"},
		{"array below the separator limit", "a=[" + strings.Repeat("1,", belowSeparatorLimit) + "]"},
		{"inline tables", "a=[" + repeatToMaxBytes("{a.b=1},") + "]"},
		{"brackets", "a=" + repeatToMaxBytes("[")},
		{"tables", repeatToMaxBytes("[[target]]\n")},
		{"services", repeatNumbered("[[service]]\nname='%d'\n")},
		{"keys", repeatNumbered("%d=1\n")},
		{"groups and zones", repeatNumbered("[[group]]\nname='%[1]d'\n[[zone]]\nname='%[1]d'\n")},
	}
	for _, test := range texts {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			var before, after runtime.MemStats
			runtime.ReadMemStats(&before)
			_, err := Compile(1, []Section{{Name: "a", Text: test.text}})
			runtime.ReadMemStats(&after)
			is.True(err != nil)
			is.True(after.TotalAlloc-before.TotalAlloc < maxCompileBytes)
		})
	}
}

// belowSeparatorLimit is a number of separators just below the limit of package
// toml.
const belowSeparatorLimit = MaxBytes/8 - 1
