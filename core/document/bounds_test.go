package document

import (
	"fmt"
	"runtime"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// maxCompileBytes is what one hostile document may allocate in total: a
// hundred times its longest text.
const maxCompileBytes = 100 * MaxBytes

// Guards against a text of the allowed length that makes an instance run out of
// memory.
func TestCompileMemoryIsBounded(t *testing.T) {
	repeat := func(unit string) string { return strings.Repeat(unit, (MaxBytes-16)/len(unit)) }
	distinct := func(format string) string {
		var b strings.Builder
		for i := 0; b.Len() < MaxBytes-100; i++ {
			fmt.Fprintf(&b, format, i)
		}
		return b.String()
	}
	texts := []struct{ name, text string }{
		{"dotted key", "a" + repeat(".a")},
		{"half of a dotted key", "a" + strings.Repeat(".a", maxHalf)},
		{"array", "a=[" + repeat("1,") + "]"},
		{"half of an array", "a=[" + strings.Repeat("1,", maxHalf) + "]"},
		{"inline tables", "a=[" + repeat("{a.b=1},") + "]"},
		{"brackets", "a=" + repeat("[")},
		{"tables", repeat("[[target]]\n")},
		{"services", distinct("[[service]]\nname='%d'\n")},
		{"keys", distinct("%d=1\n")},
		{"groups and zones", distinct("[[group]]\nname='%[1]d'\n[[zone]]\nname='%[1]d'\n")},
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

// maxHalf elements stay below the limit of separators.
const maxHalf = MaxBytes/8 - 1
