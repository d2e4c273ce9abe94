// Package toml decodes TOML and reports errors with file, line and key. It
// decodes with go-toml and records the line of each key.
package toml

import (
	"errors"
	"sort"
	"strconv"
	"strings"

	gotoml "github.com/pelletier/go-toml/v2"
	"github.com/pelletier/go-toml/v2/unstable"
)

// Limits of one text. They bound the memory that a hostile text can claim.
const (
	// MaxBytes is the size of the longest text.
	MaxBytes = 4 << 20
	// maxKeys allows one key per 16 bytes of the longest text.
	maxKeys = MaxBytes / 16
	// maxSeparators limits the dots and commas of a text. It bounds the memory
	// that the parser allocates for one huge expression, up to 500 bytes per
	// separator, before the walker sees the expression. The largest document,
	// of 16,384 targets, has about 70,000.
	maxSeparators = MaxBytes / 8
	// maxDepth limits the nesting of tables, arrays and parts of dotted keys.
	// The deepest settings use 3.
	maxDepth = 6
)

// Parse decodes a text and returns its root table. If the text is not valid
// TOML or exceeds a limit, Parse adds the errors to errs and returns nil. Lines
// count from 1.
func Parse(file, text string, errs *ErrorList) *Table {
	s := &source{file: file, errs: errs, lines: map[string]int{}}
	if len(text) > MaxBytes {
		s.errorf(1, "", "the text has %d bytes, more than %d", len(text), MaxBytes)
		return nil
	}
	if !s.scan([]byte(text)) {
		return nil
	}
	values := map[string]any{}
	if err := gotoml.Unmarshal([]byte(text), &values); err != nil {
		s.syntaxError(err)
		return nil
	}
	return &Table{source: s, line: 1, values: values}
}

// source is the state that all tables of one text share: the name of its file,
// the list that collects its errors and the lines of its keys.
type source struct {
	file string
	errs *ErrorList
	// lines maps the path of a key or of an array element to its line.
	lines map[string]int
}

func (s *source) errorf(line int, key, format string, args ...any) {
	s.errs.Addf(s.file, line, key, format, args...)
}

// syntaxError adds an error of the decoder with its position.
func (s *source) syntaxError(err error) {
	line, key := 1, ""
	var decodeErr *gotoml.DecodeError
	if errors.As(err, &decodeErr) {
		line, _ = decodeErr.Position()
		key = strings.Join(decodeErr.Key(), ".")
	}
	s.errorf(max(line, 1), key, "%s", strings.TrimPrefix(err.Error(), "toml: "))
}

// scan records the line of each key and checks the limits of the text. It
// returns false after it has added an error.
func (s *source) scan(text []byte) bool {
	w := walker{source: s, arrayLengths: map[string]int{}}
	separators := 0
	for i, c := range text {
		switch c {
		case '\n':
			w.newlines = append(w.newlines, i)
		case '.', ',':
			separators++
		}
	}
	if separators > maxSeparators {
		s.errorf(1, "", "the text has more than %d dots and commas", maxSeparators)
		return false
	}
	w.parser.Reset(text)
	for w.parser.NextExpression() {
		if !w.visitExpression(w.parser.Expression()) {
			return false
		}
	}
	if w.parser.Error() == nil {
		return true
	}
	// The decoder reports the same syntax error with its position.
	if err := gotoml.Unmarshal(text, &map[string]any{}); err != nil {
		s.syntaxError(err)
		return false
	}
	s.errorf(1, "", "%s", w.parser.Error())
	return false
}

// walker visits the expressions of one text and records the lines of their
// keys. Its visit methods return false after they have added an error.
type walker struct {
	*source
	parser unstable.Parser
	// newlines are the offsets of the line ends in the text.
	newlines []int
	// arrayLengths counts the elements of each array of tables.
	arrayLengths map[string]int
	// prefix is the path of the current table and depth its number of key
	// parts.
	prefix string
	depth  int
	// keys counts the key parts of the text.
	keys int
}

// visitExpression records the keys of one top-level expression.
func (w *walker) visitExpression(n *unstable.Node) bool {
	switch n.Kind {
	case unstable.Table, unstable.ArrayTable:
		w.prefix, w.depth = "", 0
		path, depth, ok := w.visitKey(n, "", 0)
		if !ok {
			return false
		}
		if n.Kind == unstable.ArrayTable {
			path = w.addElement(n, path)
		}
		w.prefix, w.depth = path, depth
		return true
	case unstable.KeyValue:
		return w.visitKeyValue(n, w.prefix, w.depth)
	}
	return true
}

// addElement records the next element of an array of tables and returns its
// path.
func (w *walker) addElement(n *unstable.Node, path string) string {
	i := w.arrayLengths[path]
	w.arrayLengths[path]++
	element := elementPath(path, i)
	it := n.Key()
	it.Next()
	w.lines[element] = w.lineOf(it.Node())
	return element
}

// visitKeyValue records a key and the keys inside its value.
func (w *walker) visitKeyValue(n *unstable.Node, prefix string, depth int) bool {
	path, depth, ok := w.visitKey(n, prefix, depth)
	return ok && w.visitValue(n.Value(), path, depth, w.lines[path])
}

// visitValue records the keys inside a value that starts on the given line.
func (w *walker) visitValue(n *unstable.Node, path string, depth, line int) bool {
	if depth > maxDepth {
		w.errorf(line, "", "keys are nested more than %d deep", maxDepth)
		return false
	}
	switch n.Kind {
	case unstable.InlineTable:
		for it := n.Children(); it.Next(); {
			if !w.visitKeyValue(it.Node(), path, depth) {
				return false
			}
		}
	case unstable.Array:
		i := 0
		for it := n.Children(); it.Next(); i++ {
			element := elementPath(path, i)
			if it.Node().Kind == unstable.InlineTable {
				w.lines[element] = w.lineOf(it.Node())
			}
			if !w.visitValue(it.Node(), element, depth+1, line) {
				return false
			}
		}
	}
	return true
}

// visitKey records the parts of a key below a prefix. It returns the path and
// the depth of the key.
func (w *walker) visitKey(n *unstable.Node, prefix string, depth int) (string, int, bool) {
	path := prefix
	for it := n.Key(); it.Next(); {
		line := w.lineOf(it.Node())
		depth++
		w.keys++
		switch {
		case depth > maxDepth:
			w.errorf(line, "", "keys are nested more than %d deep", maxDepth)
			return "", 0, false
		case w.keys > maxKeys:
			w.errorf(line, "", "the text has more than %d keys", maxKeys)
			return "", 0, false
		}
		path = keyPath(path, string(it.Node().Data))
		if length, ok := w.arrayLengths[path]; ok && !it.IsLast() {
			path = elementPath(path, length-1)
		}
		if _, ok := w.lines[path]; !ok {
			w.lines[path] = line
		}
	}
	return path, depth, true
}

// lineOf returns the line of a node.
func (w *walker) lineOf(n *unstable.Node) int {
	return 1 + sort.SearchInts(w.newlines, int(n.Raw.Offset))
}

// keyPath returns the path of a key in a table.
func keyPath(path, key string) string {
	key = displayKey(key)
	if path == "" {
		return key
	}
	return path + "." + key
}

// elementPath returns the path of an element of an array.
func elementPath(path string, i int) string {
	return path + "[" + strconv.Itoa(i) + "]"
}

// displayKey returns a key as errors show it: quoted if it is not a bare key,
// and truncated if it is long.
func displayKey(key string) string {
	const maxDisplayBytes = 64 // bytes; no valid key is longer
	if len(key) > maxDisplayBytes {
		key = key[:maxDisplayBytes] + "..."
	}
	for _, c := range key {
		bare := c == '-' || c == '_' || c >= '0' && c <= '9' || c >= 'A' && c <= 'Z' || c >= 'a' && c <= 'z'
		if !bare {
			return strconv.Quote(key)
		}
	}
	if key == "" {
		return `""`
	}
	return key
}
