package operate

import (
	"errors"
	"fmt"
	"strings"

	"pistachioford.example/core/document"
)

// ConflictError reports that somebody else changed a section since the editor
// read it. Nothing was changed.
type ConflictError struct {
	Section string
	// Base is the version that the editor read, Current the active version.
	Base, Current uint64
	// Revision is the revision that made the current version; 0 if it is older
	// than the records that were searched.
	Revision uint64
}

// Error describes the conflict and how to resolve it.
func (e *ConflictError) Error() string {
	by := "an older revision"
	if e.Revision > 0 {
		by = fmt.Sprintf("revision %d", e.Revision)
	}
	return fmt.Sprintf("conflict: section %q is at version %d, made by %s, but the edit started from version %d; "+
		"run pistachioctl show %s, merge the edit into it and apply that", e.Section, e.Current, by, e.Base, e.Section)
}

// UnknownError reports that a change may or may not have been made.
type UnknownError struct {
	Operation string
	Err       error
}

// Error gives the cause and how to find out whether the change was made.
func (e *UnknownError) Error() string {
	return fmt.Sprintf("outcome unknown: %v; run the same command again with --operation %s, which never applies it twice", e.Err, e.Operation)
}

// Unwrap returns the cause.
func (e *UnknownError) Unwrap() error { return e.Err }

// InvalidDocumentError lists all problems of documents of the platform. None of
// them contains a key.
type InvalidDocumentError struct{ Problems []string }

// Error returns the problems, one a line.
func (e *InvalidDocumentError) Error() string { return strings.Join(e.Problems, "\n") }

// RefusedError reports a change that a rule forbids.
type RefusedError struct{ Reason string }

// Error returns the reason with the prefix "refused: ".
func (e *RefusedError) Error() string { return "refused: " + e.Reason }

func refusef(format string, args ...any) error {
	return &RefusedError{Reason: fmt.Sprintf(format, args...)}
}

// Exit codes of pistachioctl.
const (
	ExitOK       = 0
	ExitInvalid  = 1 // the document is invalid, or a rule forbids the change
	ExitUsage    = 2 // the command line is invalid
	ExitConflict = 3 // somebody else changed the section
	ExitUnknown  = 4 // the change may or may not have been made
	ExitPlatform = 5 // the platform, a file or another dependency failed
	ExitStale    = 6 // an instance is neither active nor leaving, or there is none
)

// ExitCode returns the exit code for an error.
func ExitCode(err error) int {
	var (
		invalid    document.Errors
		steering   *InvalidDocumentError
		transition *document.TransitionError
		refused    *RefusedError
		conflict   *ConflictError
		unknown    *UnknownError
	)
	switch {
	case err == nil:
		return ExitOK
	case errors.As(err, &conflict):
		return ExitConflict
	case errors.As(err, &unknown):
		return ExitUnknown
	case errors.As(err, &invalid), errors.As(err, &steering), errors.As(err, &transition), errors.As(err, &refused):
		return ExitInvalid
	}
	return ExitPlatform
}
