package operate

import (
	"context"
	"errors"
	"sort"

	"pistachioford.example/core/document"
	"pistachioford.example/core/revision"
	"pistachioford.example/pistachioford/tables"
)

// maxAttempts bounds the commits of one change. With 470 changes a day, ten
// lost races in a row mean that something else is wrong.
const maxAttempts = 10

// Changed is a change that was made.
type Changed struct {
	Operation string           `json:"operation"`
	Revision  uint64           `json:"revision"`
	Sections  []ChangedSection `json:"sections"`
	// Earlier is set when an earlier run of the same operation made it.
	Earlier bool `json:"earlier,omitempty"`
	// Unchanged is set when the document already was as asked for.
	Unchanged bool `json:"unchanged,omitempty"`
	// Attempts counts the commits sent.
	Attempts int `json:"attempts"`
}

// ChangedSection is the new version of a section.
type ChangedSection struct {
	Name    string `json:"name"`
	Version uint64 `json:"version"`
	Team    string `json:"team"`
}

// edit returns the sections to change in a document.
type edit func(s *snapshot) ([]document.Section, error)

// changeRequest is a change with what authorizes it.
type changeRequest struct {
	// operation may be empty; it is the id of an earlier run to resume.
	operation string
	token     string
	edit      edit
}

// changer makes one change.
type changer struct {
	*Operator
	request changeRequest
	result  Changed
	// unknown is the error of a commit that may still take effect, on the head
	// row of version unknownRow.
	unknown    error
	unknownRow uint64
}

// change edits the newest document until the commit succeeds, a rule forbids it
// or its outcome stays unknown. The operation id stays the same, so that the
// change is made at most once.
func (o *Operator) change(ctx context.Context, request changeRequest) (*Changed, error) {
	c := &changer{Operator: o, request: request, result: Changed{Operation: request.operation}}
	if request.operation == "" {
		c.result.Operation = o.newID()
	}
	for attempt := range maxAttempts {
		if attempt > 0 {
			o.sleep(ctx, pause(attempt))
		}
		err := c.try(ctx)
		switch {
		case err == nil:
			return &c.result, nil
		case errors.Is(err, tables.ErrUnknown), errors.Is(err, tables.ErrConflict):
		case c.unknown != nil:
			return nil, &UnknownError{Operation: c.result.Operation, Err: errors.Join(c.unknown, err)}
		case request.operation != "" && ExitCode(err) == ExitPlatform:
			// The earlier run may have made the change.
			return nil, &UnknownError{Operation: c.result.Operation, Err: err}
		default:
			return nil, err
		}
	}
	if c.unknown != nil {
		return nil, &UnknownError{Operation: c.result.Operation, Err: c.unknown}
	}
	return nil, refusef("lost %d races against other edits; nothing was changed, try again", maxAttempts)
}

// try makes one attempt on the newest document.
func (c *changer) try(ctx context.Context) error {
	s, err := c.read(ctx, c.result.Operation)
	if err != nil {
		return err
	}
	if s.made > 0 {
		c.found(ctx, s.made)
		return nil
	}
	if s.headRow != c.unknownRow {
		// The lost commit required the head that is gone, so it cannot take effect.
		c.unknown = nil
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
	if err := c.check(ctx, s, sections); err != nil {
		return err
	}
	return c.send(ctx, s, sections)
}

// send commits changed sections.
func (c *changer) send(ctx context.Context, s *snapshot, sections []document.Section) error {
	commit, made := c.commit(s, sections, c.result.Operation)
	c.result.Attempts++
	_, err := c.platform.Commit(ctx, commit)
	if errors.Is(err, tables.ErrUnknown) {
		c.unknown, c.unknownRow = err, s.headRow
	}
	if err != nil {
		return err
	}
	c.result.Revision, c.result.Sections = made.Revision, made.Sections
	return nil
}

// found fills in the result of an attempt whose response was lost. The revision
// is certain; its record only adds the versions of the sections, so a failure to
// read it is no failure of the change.
func (c *changer) found(ctx context.Context, made uint64) {
	c.result.Revision = made
	c.result.Earlier = c.result.Attempts == 0
	records, err := c.records(ctx, made, made)
	if err != nil {
		return
	}
	for _, r := range records {
		c.result.Sections = r.Sections
	}
}

// dropUnchanged leaves the sections whose text differs from the active one.
func (s *snapshot) dropUnchanged(sections []document.Section) []document.Section {
	var changed []document.Section
	for _, c := range sections {
		i := s.find(c.Name)
		if i < 0 || s.sections[i].Text != stored(c.Text) {
			changed = append(changed, c)
		}
	}
	return changed
}

// check validates the whole document with the changed sections.
func (o *Operator) check(ctx context.Context, s *snapshot, changed []document.Section) error {
	next, index, err := document.Build(s.head.Revision+1, s.with(changed))
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

// commit returns the transaction of a change, and its record.
func (o *Operator) commit(s *snapshot, changed []document.Section, operation string) (tables.Commit, Record) {
	head := revision.Head{Revision: s.head.Revision + 1}
	head.Sections = append(head.Sections, s.head.Sections...)
	record := Record{Revision: head.Revision, Operation: operation, Time: o.now().UTC()}
	commit := tables.Commit{Operation: operation}
	create := func(key string, value []byte) {
		commit.Conditions = append(commit.Conditions, tables.Condition{Key: key})
		commit.Puts = append(commit.Puts, tables.Put{Key: key, Value: value})
	}
	for _, c := range changed {
		row := revision.SectionRow{Text: stored(c.Text)}
		entry := revision.HeadSection{Name: c.Name, Version: 1, Hash: revision.ContentHash([]byte(row.Text)), Team: c.Team}
		if i := s.find(c.Name); i >= 0 {
			entry.Version = s.head.Sections[i].Version + 1
			head.Sections[i] = entry
		} else {
			head.Sections = append(head.Sections, entry)
		}
		record.Sections = append(record.Sections, ChangedSection{Name: c.Name, Version: entry.Version, Team: c.Team})
		create(revision.SectionKey(c.Name, entry.Version), row.Encode())
	}
	sort.Slice(head.Sections, func(i, j int) bool { return head.Sections[i].Name < head.Sections[j].Name })
	made := revision.OperationRow{Revision: head.Revision}
	create(revision.OperationKey(operation), made.Encode())
	create(recordKey(head.Revision), record.encode())
	commit.Conditions = append(commit.Conditions, tables.Condition{Key: revision.HeadKey, Version: s.headRow})
	commit.Puts = append(commit.Puts, tables.Put{Key: revision.HeadKey, Value: head.Encode()})
	return commit, record
}
