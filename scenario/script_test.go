package scenario

import (
	"errors"
	"flag"
	"io"
	"slices"
	"strings"
	"sync"
	"testing"

	"github.com/rogpeppe/go-internal/testscript"
)

var update = flag.Bool("update", false, "rewrite the golden logs in the scripts")

// seed replaces the seeds of the scripts, to find expectations that hold only by
// chance. The golden logs are not compared then.
var seed = flag.Uint64("seed", 0, "seed for all scripts, 0 for their own")

type scriptKey struct{}

// script returns the Script that executes the lines of one file.
func script(ts *testscript.TestScript) *Script { return ts.Value(scriptKey{}).(*Script) }

// command makes a testscript command of a method of Script.
func command(do func(*Script, []string) error) func(*testscript.TestScript, bool, []string) {
	return func(ts *testscript.TestScript, neg bool, args []string) {
		err := do(script(ts), args)
		switch {
		case neg && err == nil:
			ts.Fatalf("unexpected success")
		case !neg && err != nil:
			ts.Fatalf("%v", err)
		}
	}
}

func runCommand(ts *testscript.TestScript, _ bool, args []string) {
	log, err := script(ts).Run(args)
	io.WriteString(ts.Stdout(), log)
	if err != nil {
		ts.Fatalf("%v\n%s", err, log)
	}
}

func expectCommand(ts *testscript.TestScript, _ bool, args []string) {
	sides, err := script(ts).Expect(args)
	if err != nil {
		ts.Fatalf("%v", err)
	}
	ts.Logf("%s", sides)
}

// runScripts runs the scripts of a directory, and calls finished at the end of
// each. README.md describes the commands.
func runScripts(t *testing.T, dir string, finished func(*Script)) {
	testscript.Run(t, testscript.Params{
		Dir:                 dir,
		UpdateScripts:       *update,
		RequireExplicitExec: true,
		Condition:           func(string) (bool, error) { return *seed != 0, nil }, // [seeded]
		Setup: func(env *testscript.Env) error {
			s := NewScript()
			if *seed != 0 {
				s.settings.Seed = *seed
			}
			env.Values[scriptKey{}] = s
			env.Defer(func() { finished(s) })
			return nil
		},
		Cmds: map[string]func(*testscript.TestScript, bool, []string){
			"document": command((*Script).Document),
			"set":      command((*Script).Set),
			"shift":    command((*Script).Shift),
			"load":     command((*Script).Load),
			"at":       command((*Script).At),
			"run":      runCommand,
			"expect":   expectCommand,
			"violated": command((*Script).Violated),
			"measure":  command((*Script).Measure),
			"headroom": command((*Script).Headroom),
		},
	})
}

// TestScripts runs the scripts under testdata, each with the invariant checks
// and its own expectations and golden logs.
func TestScripts(t *testing.T) { runScripts(t, "testdata", func(*Script) {}) }

// TestMeasures prints the measures of section 1.3 of the design page, for the
// engine and the baseline, as a table and as JSON.
func TestMeasures(t *testing.T) {
	if testing.Short() {
		t.Skip("the measures are a report, not a check")
	}
	var mutex sync.Mutex
	var all []Measure
	t.Run("scripts", func(t *testing.T) {
		runScripts(t, "testdata/measures", func(s *Script) {
			mutex.Lock()
			defer mutex.Unlock()
			all = append(all, s.measures...)
		})
	})
	slices.SortFunc(all, func(a, b Measure) int { return strings.Compare(a.Name, b.Name) })
	var out strings.Builder
	if err := errors.Join(WriteTable(&out, all), WriteJSON(&out, all)); err != nil {
		t.Fatal(err)
	}
	t.Logf("\n%s", out.String())
}
