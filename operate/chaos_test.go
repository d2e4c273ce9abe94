package operate

import (
	"context"
	"errors"
	"fmt"
	"testing"

	"github.com/rotisserie/eris"
	"pgregory.net/rapid"

	"pistachioford.example/pistachioford/tables"
)

// faultyPlatform is a platform whose calls fail in generated ways, and on which
// other edits are committed between the calls.
type faultyPlatform struct {
	tables.Platform
	t *rapid.T
	// delayed are commits that were reported as unknown and take effect later.
	delayed   []tables.Commit
	otherEdit func()
}

func (p *faultyPlatform) Get(ctx context.Context, keys ...string) ([]tables.Row, error) {
	p.interleave()
	if rapid.IntRange(0, 9).Draw(p.t, "get") == 0 {
		return nil, eris.New("down")
	}
	return p.Platform.Get(ctx, keys...)
}

func (p *faultyPlatform) Commit(ctx context.Context, commit tables.Commit) ([]tables.Row, error) {
	p.interleave()
	switch rapid.SampledFrom([]string{"ok", "ok", "lost", "dropped", "delayed", "refused"}).Draw(p.t, "commit") {
	case "lost":
		if _, err := p.Platform.Commit(ctx, commit); errors.Is(err, tables.ErrConflict) {
			return nil, err
		}
		return nil, tables.ErrUnknown
	case "dropped":
		return nil, tables.ErrUnknown
	case "delayed":
		p.delayed = append(p.delayed, commit)
		return nil, tables.ErrUnknown
	case "refused":
		return nil, eris.New("status 429")
	}
	return p.Platform.Commit(ctx, commit)
}

// interleave executes a delayed commit, commits an edit of another operator, or
// does nothing.
func (p *faultyPlatform) interleave() {
	switch rapid.IntRange(0, 3).Draw(p.t, "meanwhile") {
	case 0:
		p.otherEdit()
	case 1:
		p.deliverDelayed()
	}
}

func (p *faultyPlatform) deliverDelayed() {
	if len(p.delayed) == 0 {
		return
	}
	// The commit may fail with a conflict if the head has changed since.
	_, _ = p.Platform.Commit(ctx, p.delayed[0])
	p.delayed = p.delayed[1:]
}

// Guards against changes that are lost, made twice, or reported wrongly under
// any mix of lost, delayed and refused commits and concurrent edits.
func TestGeneratedFaults(t *testing.T) {
	s, o := startOperator(t)
	plain := o.platform
	serial := 0 // makes each edit differ
	rapid.Check(t, func(t *rapid.T) {
		other := New(plain)
		faulty := &faultyPlatform{Platform: plain, t: t, otherEdit: func() {
			serial++
			if _, err := other.Apply(ctx, generateEdit(other, "other", serial)); err != nil {
				t.Fatalf("other editor: %v", err)
			}
		}}
		o := withoutDelays(faulty)
		results := map[string]error{}
		for range rapid.IntRange(5, 15).Draw(t, "edits") {
			serial++
			request := generateEdit(other, "mine", serial)
			request.Operation = fmt.Sprint("operation-", serial)
			_, results[request.Operation] = o.Apply(ctx, request)
			for len(faulty.delayed) > 0 && rapid.Bool().Draw(t, "late") {
				faulty.deliverDelayed()
			}
		}
		for len(faulty.delayed) > 0 {
			faulty.deliverDelayed()
		}
		checkResults(t, other, results)
	})
	if s.Counts().Writes == 0 {
		t.Fatal("no commit was sent")
	}
}

// generateEdit returns an edit of a section at its newest version.
func generateEdit(o *Operator, section string, serial int) ApplyRequest {
	overview, err := o.Overview(ctx)
	if err != nil {
		panic(err) // the stand-in injects no faults in this test
	}
	request := ApplyRequest{HasBase: true, Token: "token-stock"}
	for _, h := range overview.Sections {
		if h.Name == section {
			request.Base = h.Version
		}
	}
	text := fmt.Sprintf("[section]\nteam = \"stock\"\n[[group]]\nname = \"%s-%d\"\n", section, serial)
	request.Files = []File{file(section, text)}
	return request
}

// checkResults compares the reported results with the history.
func checkResults(t *rapid.T, o *Operator, results map[string]error) {
	records, err := o.History(ctx, maxRecords)
	if err != nil {
		t.Fatal(err)
	}
	revisions := map[string]int{}
	versions := map[string]uint64{}
	for i := len(records) - 1; i >= 0; i-- {
		r := records[i]
		revisions[r.Operation]++
		for _, s := range r.Sections {
			if before, ok := versions[s.Name]; ok && s.Version != before+1 {
				t.Fatalf("revision %d makes version %d of section %s after version %d", r.Revision, s.Version, s.Name, before)
			}
			versions[s.Name] = s.Version
		}
	}
	for operation, err := range results {
		var unknown *UnknownError
		switch n := revisions[operation]; {
		case err == nil && n != 1:
			t.Fatalf("operation %s was reported as made, but was made %d times", operation, n)
		case errors.As(err, &unknown) && n > 1:
			t.Fatalf("operation %s has an unknown outcome and was made %d times", operation, n)
		case err != nil && unknown == nil && n != 0:
			t.Fatalf("operation %s was made, but reported as not made: %v", operation, err)
		}
	}
}
