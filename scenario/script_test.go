package scenario

import (
	"flag"
	"io"
	"testing"

	"github.com/rogpeppe/go-internal/testscript"
)

var update = flag.Bool("update", false, "rewrite the golden logs in the scripts")

type scriptKey struct{}

// script returns the scenario that the lines of one file build.
func script(ts *testscript.TestScript) *Script { return ts.Value(scriptKey{}).(*Script) }

func line(do func(*Script, []string) error) func(*testscript.TestScript, bool, []string) {
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

func runLine(ts *testscript.TestScript, _ bool, args []string) {
	log, err := script(ts).Run(args)
	io.WriteString(ts.Stdout(), log)
	if err != nil {
		ts.Fatalf("%v\n%s", err, log)
	}
}

func expectLine(ts *testscript.TestScript, _ bool, args []string) {
	sides, err := script(ts).Expect(args)
	if err != nil {
		ts.Fatalf("%v", err)
	}
	ts.Logf("%s", sides)
}

// TestScripts runs each scenario of testdata; see README.md for the language.
func TestScripts(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir:                 "testdata",
		UpdateScripts:       *update,
		RequireExplicitExec: true,
		Setup: func(env *testscript.Env) error {
			env.Values[scriptKey{}] = NewScript()
			return nil
		},
		Cmds: map[string]func(*testscript.TestScript, bool, []string){
			"document": line((*Script).Document),
			"set":      line((*Script).Set),
			"shift":    line((*Script).Shift),
			"load":     line((*Script).Load),
			"at":       line((*Script).At),
			"run":      runLine,
			"expect":   expectLine,
			"violated": line((*Script).Violated),
		},
	})
}
