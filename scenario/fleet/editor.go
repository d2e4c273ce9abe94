package fleet

import (
	"context"
	"errors"
	"fmt"
	"iter"
	"time"

	"pistachioford.example/core/document"
	"pistachioford.example/core/revision"
	"pistachioford.example/pistachioford/operate"
)

// resumeInterval is the time after which an editor resumes an operation whose
// outcome is unknown.
const resumeInterval = 2 * time.Second

// outcome is the outcome that an editor was told. It is empty while the outcome
// is unknown.
type outcome string

const (
	accepted outcome = "accepted"
	refused  outcome = "refused"
)

// edit is one change of one section. It appends a marker, by which the change is
// recognized in all later texts of the section.
type edit struct {
	number  int
	section string
	marker  string
	outcome outcome
	endedAt time.Duration
	// revision is the revision that the accepted change created.
	revision uint64
}

// startEdit runs the operation behind pistachioctl apply in a coroutine, which
// continues when the response of the platform arrives in virtual time.
func (w *world) startEdit(section string) {
	e := &edit{number: len(w.edits) + 1, section: section}
	e.marker = fmt.Sprintf("# change %d\n", e.number)
	w.edits = append(w.edits, e)
	next, stop := iter.Pull(func(yield func(func(resume func())) bool) {
		e.run(w, &platformClient{store: w.store, edit: e, await: yield})
	})
	w.stopEditors = append(w.stopEditors, stop)
	var step func()
	step = func() {
		if start, ok := next(); ok {
			start(step)
		}
	}
	step()
}

// run makes the change and resumes the operation until its outcome is known.
func (e *edit) run(w *world, client *platformClient) {
	request, ok := e.request(w)
	if !ok {
		e.finish(w, refused, "no such section")
		return
	}
	// A context that has ended keeps the operator from sleeping in real time.
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	operator := operate.New(client)
	commitUncertain := false // a commit may have taken effect
	for {
		result, err := operator.Apply(ctx, request)
		var unknown *operate.UnknownError
		switch {
		case client.runEnded:
			return
		case err == nil:
			e.revision = result.Revision
			e.finish(w, accepted, fmt.Sprintf("is revision %d", e.revision))
			return
		case errors.As(err, &unknown) && w.settings.fault != faultOutcome:
			commitUncertain = true
		case commitUncertain && operate.ExitCode(err) == operate.ExitPlatform:
		default:
			e.finish(w, refused, "refused, "+refusal(err))
			return
		}
		w.logf("change %d of %s: outcome unknown", e.number, e.section)
		if !client.await(func(resume func()) { w.After(resumeInterval, resume) }) {
			return
		}
	}
}

// request returns the request that applies the edit to the section as it is now
// in the store.
func (e *edit) request(w *world) (operate.ApplyRequest, bool) {
	head, err := revision.DecodeHead(w.store.rows[revision.HeadKey].Value)
	if err != nil {
		return operate.ApplyRequest{}, false
	}
	for _, s := range head.Sections {
		if s.Name != e.section {
			continue
		}
		row, err := revision.DecodeSection(w.store.rows[revision.SectionKey(s.Name, s.Version)].Value)
		return operate.ApplyRequest{
			Files:     []operate.File{{Section: document.Section{Name: s.Name, Team: s.Team, Text: row.Text + e.marker}}},
			Base:      s.Version,
			HasBase:   true,
			Token:     "example-" + w.settings.user + "-" + s.Team,
			Operation: fmt.Sprintf("operation-%d", e.number),
		}, err == nil
	}
	return operate.ApplyRequest{}, false
}

// finish records the outcome of the edit.
func (e *edit) finish(w *world, outcome outcome, text string) {
	e.outcome, e.endedAt = outcome, w.since()
	w.logf("change %d of %s: %s", e.number, e.section, text)
	w.checker.onOutcome(e)
}

// refusal returns the reason of a refusal as text for the log.
func refusal(err error) string {
	var conflict *operate.ConflictError
	if errors.As(err, &conflict) {
		return fmt.Sprintf("conflict with revision %d", conflict.Revision)
	}
	if operate.ExitCode(err) == operate.ExitPlatform {
		return "platform does not answer"
	}
	return err.Error()
}
