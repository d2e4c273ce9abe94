package fleet

import (
	"flag"
	"io"
	"path/filepath"
	"testing"

	"github.com/rogpeppe/go-internal/testscript"

	"pistachioford.example/core/document"
	"pistachioford.example/pistachioford/operate"
)

var update = flag.Bool("update", false, "rewrite the golden logs in the scripts")

// seed replaces the seeds of the scripts, to look for results that hold by
// chance; the golden logs are not compared then.
var seed = flag.Uint64("seed", 0, "seed for all scripts, 0 for their own")

type scriptKey struct{}

// sections reads the example document of a user.
func sections(user string) ([]document.Section, error) {
	names, err := filepath.Glob(filepath.Join("..", "..", "examples", user, "sections", "*.toml"))
	if err != nil {
		return nil, err
	}
	files, err := operate.OpenFiles(names)
	var all []document.Section
	for i := range files {
		all = append(all, files[i].Section)
	}
	return all, err
}

func line(do func(*Script, []string) (string, error)) func(*testscript.TestScript, bool, []string) {
	return func(ts *testscript.TestScript, neg bool, args []string) {
		out, err := do(ts.Value(scriptKey{}).(*Script), args)
		io.WriteString(ts.Stdout(), out)
		switch {
		case neg && err == nil:
			ts.Fatalf("unexpected success")
		case !neg && err != nil:
			ts.Fatalf("%v\n%s", err, out)
		}
	}
}

func expectLine(ts *testscript.TestScript, _ bool, args []string) {
	sides, err := ts.Value(scriptKey{}).(*Script).Expect(args)
	if err != nil {
		ts.Fatalf("%v", err)
	}
	ts.Logf("%s", sides)
}

// TestScripts runs the scenarios; see README.md for the language.
func TestScripts(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir:                 "testdata",
		UpdateScripts:       *update,
		RequireExplicitExec: true,
		Condition:           func(string) (bool, error) { return *seed != 0, nil }, // [seeded]
		Setup: func(env *testscript.Env) error {
			env.Values[scriptKey{}] = &Script{results: map[string]*world{}, sections: sections, seed: *seed}
			return nil
		},
		Cmds: map[string]func(*testscript.TestScript, bool, []string){
			"at":       line((*Script).At),
			"run":      line((*Script).Run),
			"expect":   expectLine,
			"violated": line((*Script).Violated),
		},
	})
}
