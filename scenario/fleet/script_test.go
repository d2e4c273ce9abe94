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

// seed replaces the seeds of the scripts, to find expectations that hold only by
// chance. The golden logs are not compared then.
var seed = flag.Uint64("seed", 0, "seed for all scripts, 0 for their own")

type scriptKey struct{}

// readSections reads the example document of a user.
func readSections(user string) ([]document.Section, error) {
	names, err := filepath.Glob(filepath.Join("..", "..", "examples", user, "sections", "*.toml"))
	if err != nil {
		return nil, err
	}
	files, err := operate.ReadSectionFiles(names)
	var all []document.Section
	for i := range files {
		all = append(all, files[i].Section)
	}
	return all, err
}

// command makes a testscript command of a method of Script.
func command(do func(*Script, []string) (string, error)) func(*testscript.TestScript, bool, []string) {
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

func expectCommand(ts *testscript.TestScript, _ bool, args []string) {
	sides, err := ts.Value(scriptKey{}).(*Script).Expect(args)
	if err != nil {
		ts.Fatalf("%v", err)
	}
	ts.Logf("%s", sides)
}

// TestScripts runs the scripts under testdata, each with the invariant checks
// and its own expectations and golden logs. README.md describes the commands.
func TestScripts(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir:                 "testdata",
		UpdateScripts:       *update,
		RequireExplicitExec: true,
		Condition:           func(string) (bool, error) { return *seed != 0, nil }, // [seeded]
		Setup: func(env *testscript.Env) error {
			env.Values[scriptKey{}] = &Script{results: map[string]*world{}, sections: readSections, seed: *seed}
			return nil
		},
		Cmds: map[string]func(*testscript.TestScript, bool, []string){
			"at":       command((*Script).At),
			"run":      command((*Script).Run),
			"expect":   expectCommand,
			"violated": command((*Script).Violated),
		},
	})
}
