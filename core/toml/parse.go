// Package toml reads TOML whose errors name the file, the line and the key. It
// decodes with go-toml and adds the line of each key.
package toml

import (
	"errors"
	"sort"
	"strconv"
	"strings"

	gotoml "github.com/pelletier/go-toml/v2"
	"github.com/pelletier/go-toml/v2/unstable"
)

// Bounds of one text. They bound the memory that a hostile text can claim.
const (
	// MaxBytes is the longest text.
	MaxBytes = 4 << 20
	// maxKeys is a key per 16 bytes of the longest text.
	maxKeys = MaxBytes / 16
	// maxSeparators bounds what the parser allocates for one huge expression,
	// up to 500 bytes per separator, before the walker sees it. The largest
	// document, of 16,384 targets, has about 70,000.
	maxSeparators = MaxBytes / 8
	// maxDepth is the number of nested tables, arrays and key parts. The
	// deepest settings use 3.
	maxDepth = 6
)

// Parse decodes a text. It notes errors in the list and returns nil if the
// text is no valid TOML. The lines of the result count from 1.
func Parse(file, text string, errs *List) *Table {
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

// source is what the tables of one text share.
type source struct {
	file string
	errs *List
	// lines maps the path of a key to its line.
	lines map[string]int
}

func (s *source) errorf(line int, key, format string, args ...any) {
	s.errs.Addf(s.file, line, key, format, args...)
}

// syntaxError notes an error of the decoder with its position.
func (s *source) syntaxError(err error) {
	line, key := 1, ""
	var decode *gotoml.DecodeError
	if errors.As(err, &decode) {
		line, _ = decode.Position()
		key = strings.Join(decode.Key(), ".")
	}
	s.errorf(max(line, 1), key, "%s", strings.TrimPrefix(err.Error(), "toml: "))
}

// scan notes the line of each key. It returns false after noting an error.
func (s *source) scan(text []byte) bool {
	w := walker{source: s, lengths: map[string]int{}}
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
		if !w.expression(w.parser.Expression()) {
			return false
		}
	}
	if w.parser.Error() == nil {
		return true
	}
	// The decoder reports the same fault with its position.
	if err := gotoml.Unmarshal(text, &map[string]any{}); err != nil {
		s.syntaxError(err)
		return false
	}
	s.errorf(1, "", "%s", w.parser.Error())
	return false
}

// walker follows the expressions of one text.
type walker struct {
	*source
	parser   unstable.Parser
	newlines []int
	// lengths counts the elements of each array of tables.
	lengths map[string]int
	// prefix is the path of the current table and depth its number of keys.
	prefix string
	depth  int
	keys   int
}

// expression notes the keys of one top-level expression.
func (w *walker) expression(n *unstable.Node) bool {
	switch n.Kind {
	case unstable.Table, unstable.ArrayTable:
		w.prefix, w.depth = "", 0
		path, depth, ok := w.key(n, "", 0)
		if !ok {
			return false
		}
		if n.Kind == unstable.ArrayTable {
			path = w.element(n, path)
		}
		w.prefix, w.depth = path, depth
		return true
	case unstable.KeyValue:
		return w.keyValue(n, w.prefix, w.depth)
	}
	return true
}

// element opens the next element of an array of tables.
func (w *walker) element(n *unstable.Node, path string) string {
	i := w.lengths[path]
	w.lengths[path]++
	element := index(path, i)
	it := n.Key()
	it.Next()
	w.lines[element] = w.line(it.Node())
	return element
}

// keyValue notes a key and the keys inside its value.
func (w *walker) keyValue(n *unstable.Node, prefix string, depth int) bool {
	path, depth, ok := w.key(n, prefix, depth)
	return ok && w.value(n.Value(), path, depth, w.lines[path])
}

// value notes the keys inside a value that starts on the given line.
func (w *walker) value(n *unstable.Node, path string, depth, line int) bool {
	if depth > maxDepth {
		w.errorf(line, "", "keys are nested more than %d deep", maxDepth)
		return false
	}
	switch n.Kind {
	case unstable.InlineTable:
		for it := n.Children(); it.Next(); {
			if !w.keyValue(it.Node(), path, depth) {
				return false
			}
		}
	case unstable.Array:
		i := 0
		for it := n.Children(); it.Next(); i++ {
			element := index(path, i)
			if it.Node().Kind == unstable.InlineTable {
				w.lines[element] = w.line(it.Node())
			}
			if !w.value(it.Node(), element, depth+1, line) {
				return false
			}
		}
	}
	return true
}

// key notes the parts of a key below a prefix and returns its path and depth.
func (w *walker) key(n *unstable.Node, prefix string, depth int) (string, int, bool) {
	path := prefix
	for it := n.Key(); it.Next(); {
		line := w.line(it.Node())
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
		path = join(path, string(it.Node().Data))
		if length, ok := w.lengths[path]; ok && !it.IsLast() {
			path = index(path, length-1)
		}
		if _, ok := w.lines[path]; !ok {
			w.lines[path] = line
		}
	}
	return path, depth, true
}

// line returns the line of a node.
func (w *walker) line(n *unstable.Node) int {
	return 1 + sort.SearchInts(w.newlines, int(n.Raw.Offset))
}

// join returns the path of a key in a table.
func join(path, key string) string {
	key = display(key)
	if path == "" {
		return key
	}
	return path + "." + key
}

// index returns the path of an element of an array.
func index(path string, i int) string {
	return path + "[" + strconv.Itoa(i) + "]"
}

// display returns a key as errors show it: quoted if it is no bare key, and
// cut if it is long.
func display(key string) string {
	const longest = 64 // bytes; no valid key is longer
	if len(key) > longest {
		key = key[:longest] + "..."
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
