package toml

import (
	"fmt"
	"sort"
	"strings"
)

// maxErrors limits the errors of an ErrorList. Further errors cost memory and
// are of little use to a reader; they are only counted.
const maxErrors = 100

// Error is one error in a text, with its position.
type Error struct {
	File    string `json:"file"`
	Line    int    `json:"line"`
	Key     string `json:"key,omitempty"` // empty if the error concerns no key
	Message string `json:"message"`
}

// Error returns FILE:LINE: key: message, without the key if it is empty.
func (e Error) Error() string {
	if e.Key == "" {
		return fmt.Sprintf("%s:%d: %s", e.File, e.Line, e.Message)
	}
	return fmt.Sprintf("%s:%d: %s: %s", e.File, e.Line, e.Key, e.Message)
}

// ErrorList collects errors. The zero value is empty and ready to use.
type ErrorList struct {
	errors  []Error
	dropped int
}

// Addf adds an error. Beyond the limit of 100 it only counts the error.
func (l *ErrorList) Addf(file string, line int, key, format string, args ...any) {
	if len(l.errors) == maxErrors {
		l.dropped++
		return
	}
	l.errors = append(l.errors, Error{File: file, Line: line, Key: key, Message: fmt.Sprintf(format, args...)})
}

// Err returns the errors as Errors, ordered by file and line, or nil if there
// are none. The last one gives the number of errors beyond the limit, if any.
func (l *ErrorList) Err() error {
	if len(l.errors) == 0 {
		return nil
	}
	errs := append(Errors(nil), l.errors...)
	sort.SliceStable(errs, func(i, j int) bool {
		if errs[i].File != errs[j].File {
			return errs[i].File < errs[j].File
		}
		return errs[i].Line < errs[j].Line
	})
	if l.dropped > 0 {
		last := errs[len(errs)-1]
		errs = append(errs, Error{File: last.File, Line: last.Line, Message: fmt.Sprintf("%d more errors", l.dropped)})
	}
	return errs
}

// Errors are the errors of one or more texts.
type Errors []Error

// Error returns one line per error.
func (e Errors) Error() string {
	lines := make([]string, len(e))
	for i := range e {
		lines[i] = e[i].Error()
	}
	return strings.Join(lines, "\n")
}
