package operate

import (
	"context"
	"errors"
	"sort"

	"pistachioford.example/core/document"
	"pistachioford.example/core/revision"
	"pistachioford.example/pistachioford/tables"
)

// maxAttempts bounds the attempts of one change. At 470 changes a day, ten
// attempts in a row that lose to other edits indicate a different fault.
const maxAttempts = 10

// ChangeResult is the result of a change.
type ChangeResult struct {
	Operation string           `json:"operation"`
	Revision  uint64           `json:"revision"`
	Sections  []ChangedSection `json:"sections"`
	// MadeEarlier is set when an earlier run with the same operation id made the
	// change.
	MadeEarlier bool `json:"earlier,omitempty"`
	// Unchanged is set when the active document already was as requested.
	Unchanged bool `json:"unchanged,omitempty"`
	// Attempts is the number of commits sent.
	Attempts int `json:"attempts"`
}

// ChangedSection names the new version of a changed section.
type ChangedSection struct {
	Name    string `json:"name"`
	Version uint64 `json:"version"`
	Team    string `json:"team"`
}

// editFunc returns the sections of a document to create or replace, as they are
// after the edit.
type editFunc func(s *snapshot) ([]document.Section, error)

// changeRequest is an edit of the document and the token that authorizes it.
type changeRequest struct {
	// operation is the id of an earlier run to resume; it is empty for a new
	// change.
	operation string
	token     string
	edit      editFunc
}

// changer makes one change, in one or more attempts.
type changer struct {
	*Operator
	request changeRequest
	result  ChangeResult
	// unknownErr is the error of a commit that may still take effect. That commit
	// requires version unknownHeadRow of the head row.
	unknownErr     error
	unknownHeadRow uint64
}

// change edits the newest document until a commit succeeds, a rule forbids the
// change, or its outcome stays unknown. All attempts use one operation id, so
// that the change is made at most once.
func (o *Operator) change(ctx context.Context, request changeRequest) (*ChangeResult, error) {
	c := &changer{Operator: o, request: request, result: ChangeResult{Operation: request.operation}}
	if request.operation == "" {
		c.result.Operation = o.newID()
	}
	for attempt := range maxAttempts {
		if attempt > 0 {
			o.sleep(ctx, retryDelay(attempt))
		}
		err := c.attempt(ctx)
		switch {
		case err == nil:
			return &c.result, nil
		case errors.Is(err, tables.ErrUnknown), errors.Is(err, tables.ErrConflict):
		case c.unknownErr != nil:
			return nil, &UnknownError{Operation: c.result.Operation, Err: errors.Join(c.unknownErr, err)}
		case request.operation != "" && ExitCode(err) == ExitPlatform:
			// The earlier run may have made the change.
			return nil, &UnknownError{Operation: c.result.Operation, Err: err}
		default:
			return nil, err
		}
	}
	if c.unknownErr != nil {
		return nil, &UnknownError{Operation: c.result.Operation, Err: c.unknownErr}
	}
	return nil, refusef("other edits were committed first in all %d attempts; nothing was changed, try again", maxAttempts)
}

// attempt reads the newest document, edits it and commits the result.
func (c *changer) attempt(ctx context.Context) error {
	s, err := c.readSnapshot(ctx, c.result.Operation)
	if err != nil {
		return err
	}
	if s.operationRevision > 0 {
		c.completeFromHistory(ctx, s.operationRevision)
		return nil
	}
	if s.headRowVersion != c.unknownHeadRow {
		// The earlier commit required a head that has been replaced, so it can
		// no longer take effect.
		c.unknownErr = nil
	}
	sections, err := c.request.edit(s)
	if err != nil {
		return err
	}
	sections = s.dropUnchanged(sections)
	if len(sections) == 0 {
		c.result.Revision, c.result.Unchanged = s.head.Revision, true
		return nil
	}
	if err := s.authorize(c.request.token, sections); err != nil {
		return err
	}
	if err := c.validate(ctx, s, sections); err != nil {
		return err
	}
	return c.send(ctx, s, sections)
}

// send commits the changed sections.
func (c *changer) send(ctx context.Context, s *snapshot, sections []document.Section) error {
	commit, record := c.buildCommit(s, sections, c.result.Operation)
	c.result.Attempts++
	_, err := c.platform.Commit(ctx, commit)
	if errors.Is(err, tables.ErrUnknown) {
		c.unknownErr, c.unknownHeadRow = err, s.headRowVersion
	}
	if err != nil {
		return err
	}
	c.result.Revision, c.result.Sections = record.Revision, record.Sections
	return nil
}

// completeFromHistory fills in the result after an attempt whose response was
// lost, or an earlier run, made the change. The revision is certain; its record
// only adds the versions of the sections, so a failure to read it is no failure
// of the change.
func (c *changer) completeFromHistory(ctx context.Context, earlierRevision uint64) {
	c.result.Revision = earlierRevision
	c.result.MadeEarlier = c.result.Attempts == 0
	records, err := c.records(ctx, earlierRevision, earlierRevision)
	if err != nil {
		return
	}
	for _, r := range records {
		c.result.Sections = r.Sections
	}
}

// dropUnchanged returns the sections whose text differs from the active one.
func (s *snapshot) dropUnchanged(sections []document.Section) []document.Section {
	var changed []document.Section
	for _, c := range sections {
		i := s.sectionIndex(c.Name)
		if i < 0 || s.sections[i].Text != withoutMarker(c.Text) {
			changed = append(changed, c)
		}
	}
	return changed
}

// validate checks the whole document with the changed sections.
func (o *Operator) validate(ctx context.Context, s *snapshot, changed []document.Section) error {
	next, index, err := document.CompileWithIndex(s.head.Revision+1, s.withSections(changed))
	if err != nil {
		return err
	}
	if s.compiled != nil {
		if err := s.compiled.CheckTransition(next); err != nil {
			return err
		}
	}
	return o.checkManifest(ctx, s.compiled, next, index)
}

// buildCommit returns the transaction that makes a change, and the history
// record of the change.
func (o *Operator) buildCommit(s *snapshot, changed []document.Section, operation string) (tables.Commit, Record) {
	head := revision.Head{Revision: s.head.Revision + 1}
	head.Sections = append(head.Sections, s.head.Sections...)
	record := Record{Revision: head.Revision, Operation: operation, Time: o.now().UTC()}
	commit := tables.Commit{Operation: operation}
	create := func(key string, value []byte) {
		commit.Conditions = append(commit.Conditions, tables.Condition{Key: key})
		commit.Puts = append(commit.Puts, tables.Put{Key: key, Value: value})
	}
	for _, c := range changed {
		row := revision.SectionRow{Text: withoutMarker(c.Text)}
		entry := revision.HeadSection{Name: c.Name, Version: 1, Hash: revision.ContentHash([]byte(row.Text)), Team: c.Team}
		if i := s.sectionIndex(c.Name); i >= 0 {
			entry.Version = s.head.Sections[i].Version + 1
			head.Sections[i] = entry
		} else {
			head.Sections = append(head.Sections, entry)
		}
		record.Sections = append(record.Sections, ChangedSection{Name: c.Name, Version: entry.Version, Team: c.Team})
		create(revision.SectionKey(c.Name, entry.Version), row.Encode())
	}
	sort.Slice(head.Sections, func(i, j int) bool { return head.Sections[i].Name < head.Sections[j].Name })
	operationRow := revision.OperationRow{Revision: head.Revision}
	create(revision.OperationKey(operation), operationRow.Encode())
	create(recordKey(head.Revision), record.encode())
	commit.Conditions = append(commit.Conditions, tables.Condition{Key: revision.HeadKey, Version: s.headRowVersion})
	commit.Puts = append(commit.Puts, tables.Put{Key: revision.HeadKey, Value: head.Encode()})
	return commit, record
}
