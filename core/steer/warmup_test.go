package steer

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against targets of a zone that was taken back that stay cold for as long
// as an older document has it.
func TestWarmupFollowsTheDocument(t *testing.T) {
	for name, c := range map[string]struct {
		warmup                    time.Duration
		coldAfter2s, coldAfter12s bool
	}{
		"raised":  {15 * time.Second, true, true},
		"lowered": {time.Second, false, false},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			e := testEngine(t, "i", "a1")
			addTargets(e, "s", 1, "a1")
			e.Evacuate(start, "a1", true)
			e.Evacuate(start.Add(time.Second), "a1", false)
			doc := testDocument(t, 2)
			service := doc.Services["s"]
			service.Warmup = c.warmup
			doc.Services["s"] = service
			is.True(e.SetDocument(doc))
			target := e.targets["s-a1-0"]
			is.Equal(target.isCold(start.Add(3*time.Second)), c.coldAfter2s)
			is.Equal(target.isCold(start.Add(13*time.Second)), c.coldAfter12s)
		})
	}
}
