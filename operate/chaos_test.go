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

// chaos is a platform whose calls meet generated faults, and beside which other
// commits are made.
type chaos struct {
	tables.Platform
	t *rapid.T
	// delayed are commits that are reported lost and take effect later.
	delayed []tables.Commit
	other   func()
}

func (c *chaos) Get(ctx context.Context, keys ...string) ([]tables.Row, error) {
	c.meanwhile()
	if rapid.IntRange(0, 9).Draw(c.t, "get") == 0 {
		return nil, eris.New("down")
	}
	return c.Platform.Get(ctx, keys...)
}

func (c *chaos) Commit(ctx context.Context, commit tables.Commit) ([]tables.Row, error) {
	c.meanwhile()
	switch rapid.SampledFrom([]string{"ok", "ok", "lost", "dropped", "delayed", "refused"}).Draw(c.t, "commit") {
	case "lost":
		if _, err := c.Platform.Commit(ctx, commit); errors.Is(err, tables.ErrConflict) {
			return nil, err
		}
		return nil, tables.ErrUnknown
	case "dropped":
		return nil, tables.ErrUnknown
	case "delayed":
		c.delayed = append(c.delayed, commit)
		return nil, tables.ErrUnknown
	case "refused":
		return nil, eris.New("status 429")
	}
	return c.Platform.Commit(ctx, commit)
}

// meanwhile lets a delayed commit arrive, or another editor commit.
func (c *chaos) meanwhile() {
	switch rapid.IntRange(0, 3).Draw(c.t, "meanwhile") {
	case 0:
		c.other()
	case 1:
		c.arrive()
	}
}

func (c *chaos) arrive() {
	if len(c.delayed) == 0 {
		return
	}
	// A conflict is one of the two ways in which it may end.
	_, _ = c.Platform.Commit(ctx, c.delayed[0])
	c.delayed = c.delayed[1:]
}

// Guards against changes that are lost, made twice, or reported wrongly under
// any mix of lost, late and refused commits and racing editors.
func TestGeneratedFaults(t *testing.T) {
	s, o := start(t)
	plain := o.platform
	serial := 0 // makes each edit differ
	rapid.Check(t, func(t *rapid.T) {
		racing := New(plain)
		c := &chaos{Platform: plain, t: t, other: func() {
			serial++
			if _, err := racing.Apply(ctx, generated(racing, "other", serial)); err != nil {
				t.Fatalf("other editor: %v", err)
			}
		}}
		o := quick(c)
		results := map[string]error{}
		for range rapid.IntRange(5, 15).Draw(t, "edits") {
			serial++
			request := generated(racing, "mine", serial)
			request.Operation = fmt.Sprint("operation-", serial)
			_, results[request.Operation] = o.Apply(ctx, request)
			for len(c.delayed) > 0 && rapid.Bool().Draw(t, "late") {
				c.arrive()
			}
		}
		for len(c.delayed) > 0 {
			c.arrive()
		}
		judge(t, racing, results)
	})
	if s.Counts().Writes == 0 {
		t.Fatal("no commit was sent")
	}
}

// generated returns an edit of a section at its newest version.
func generated(o *Operator, section string, serial int) ApplyRequest {
	overview, err := o.Overview(ctx)
	if err != nil {
		panic(err) // the stand-in has no faults of its own here
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

// judge compares what was reported with what was made.
func judge(t *rapid.T, o *Operator, results map[string]error) {
	records, err := o.History(ctx, maxRecords)
	if err != nil {
		t.Fatal(err)
	}
	made := map[string]int{}
	versions := map[string]uint64{}
	for i := len(records) - 1; i >= 0; i-- {
		r := records[i]
		made[r.Operation]++
		for _, s := range r.Sections {
			if before, ok := versions[s.Name]; ok && s.Version != before+1 {
				t.Fatalf("revision %d makes version %d of section %s after version %d", r.Revision, s.Version, s.Name, before)
			}
			versions[s.Name] = s.Version
		}
	}
	for operation, err := range results {
		var unknown *UnknownError
		switch n := made[operation]; {
		case err == nil && n != 1:
			t.Fatalf("%s was reported as made and was made %d times", operation, n)
		case errors.As(err, &unknown) && n > 1:
			t.Fatalf("%s was made %d times", operation, n)
		case err != nil && unknown == nil && n != 0:
			t.Fatalf("%s was made, and reported as not made: %v", operation, err)
		}
	}
}
