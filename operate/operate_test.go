package operate

import (
	"context"
	"errors"
	"fmt"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/gofiber/fiber/v2"
	"github.com/matryer/is"

	"pistachioford.example/core/document"
	"pistachioford.example/core/revision"
	"pistachioford.example/pistachioford/tables"
	"pistachioford.example/pistachioford/tables/standin"
)

var ctx = context.Background()

const networkText = `[section]
name = "network"
team = "network"
[[team]]
name = "network"
token_sha256 = "%s"
[[team]]
name = "stock"
token_sha256 = "%s"
[[region]]
name = "kzn"
[[zone]]
name = "kzn-a"
region = "kzn"
`

const stockText = `[section]
name = "stock"
team = "stock"
[[group]]
name = "stock"
[[target]]
name = "stock-1"
group = "stock"
zone = "kzn-a"
address = "10.0.0.1:80" # first

# The second one.
[[target]]
name = "stock-2"
group = "stock"
zone = "kzn-a"
address = "10.0.0.2:80"
`

// firstDocument returns the files of the document that the tests start with.
func firstDocument() []File {
	network := fmt.Sprintf(networkText, revision.ContentHash([]byte("token-network")), revision.ContentHash([]byte("token-stock")))
	return []File{file("network", network), file("stock", stockText)}
}

func file(name, text string) File {
	return File{Section: document.ParseSection(name+".toml", name, text)}
}

// startOperator returns an operator on a new stand-in that holds the first
// document.
func startOperator(t *testing.T) (*standin.Standin, *Operator) {
	t.Helper()
	s, err := standin.Start(standin.Options{})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = s.Close() })
	o := newOperator(t, s)
	if _, err := o.Apply(ctx, ApplyRequest{Files: firstDocument(), Token: "token-network"}); err != nil {
		t.Fatal(err)
	}
	return s, o
}

// newOperator returns another operator on a stand-in.
func newOperator(t *testing.T, s *standin.Standin) *Operator {
	t.Helper()
	c, err := tables.NewClient(tables.Config{
		URL: s.URL(), ReadsPerSecond: -1, WritesPerSecond: -1, Timeout: 5 * time.Second,
		Sleep: func(context.Context, time.Duration) {},
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(c.Close)
	return withoutDelays(c)
}

// withoutDelays returns an operator that does not wait between attempts.
func withoutDelays(p tables.Platform) *Operator {
	o := New(p)
	o.sleep = func(context.Context, time.Duration) {}
	return o
}

// editStock returns a request that replaces a string in the section stock,
// based on a version.
func editStock(base uint64, old, new string) ApplyRequest {
	return ApplyRequest{
		Files: []File{file("stock", strings.Replace(stockText, old, new, 1))},
		Base:  base, HasBase: true, Token: "token-stock",
	}
}

// Guards against an edit that is made although a rule forbids it.
func TestApplyRefuses(t *testing.T) {
	tests := []struct {
		name   string
		change func(r *ApplyRequest)
		want   string
		code   int
	}{
		{"no token", func(r *ApplyRequest) { r.Token = "" }, "no team token", ExitInvalid},
		{"wrong token", func(r *ApplyRequest) { r.Token = "x" }, "the token does not belong to any team of the document", ExitInvalid},
		{"other team's section", func(r *ApplyRequest) { r.Token = "token-network" }, `section "stock" belongs to team "stock"`, ExitInvalid},
		{"change of team", func(r *ApplyRequest) {
			*r = editStock(1, `team = "stock"`, `team = "network"`)
		}, `the text says team "network", but the section belongs to "stock"`, ExitInvalid},
		{"new section of another team", func(r *ApplyRequest) {
			r.Files = []File{file("more", "[section]\nteam = \"network\"\n")}
			r.Base = 0
		}, `new section "more" names team "network"`, ExitInvalid},
		{"stale version", func(r *ApplyRequest) { r.Base = 7 }, `section "stock" is at version 1, made by revision 1, but the edit started from version 7`, ExitConflict},
		{"no version", func(r *ApplyRequest) { r.HasBase = false }, `pass --base 1`, ExitInvalid},
		{"two sections", func(r *ApplyRequest) { r.Files = firstDocument() }, "2 sections at once", ExitInvalid},
		{"not valid", func(r *ApplyRequest) { *r = editStock(1, "kzn-a", "x") }, `stock.toml:9: target.zone: zone "x" is not defined`, ExitInvalid},
		{"renamed target", func(r *ApplyRequest) { *r = editStock(1, "stock-1", "stock-3") }, "remove it first", ExitInvalid},
		{"shards", func(r *ApplyRequest) {
			network := firstDocument()[0]
			network.Text += "shards = 3\n"
			*r = ApplyRequest{Files: []File{network}, Base: 1, HasBase: true, Token: "token-network"}
		}, `zone "kzn-a" changes from 2 to 3 shards`, ExitInvalid},
		{"new zone", func(r *ApplyRequest) {
			network := firstDocument()[0]
			network.Text += "[[zone]]\nname = \"kzn-b\"\nregion = \"kzn\"\n"
			*r = ApplyRequest{Files: []File{network}, Base: 1, HasBase: true, Token: "token-network"}
		}, `zone "kzn-b" is added`, ExitInvalid},
	}
	_, o := startOperator(t)
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			request := editStock(1, "80", "81")
			test.change(&request)
			_, err := o.Apply(ctx, request)
			is.True(err != nil)
			if !strings.Contains(err.Error(), test.want) {
				t.Fatalf("want %q in %v", test.want, err)
			}
			is.Equal(ExitCode(err), test.code)
			overview, err := o.Overview(ctx)
			is.NoErr(err)
			is.Equal(overview.Revision, uint64(1)) // nothing changed
		})
	}
}

// Guards against a change that is made twice or reported as failed when the
// response to its commit is lost.
func TestLostResponse(t *testing.T) {
	for _, lost := range []int{1, 2, 3, 5} { // the client sends a commit up to three times
		t.Run(fmt.Sprint(lost), func(t *testing.T) {
			is := is.New(t)
			s, o := startOperator(t)
			s.SetFaults(standin.Faults{LoseResponses: lost})
			changed, err := o.Apply(ctx, editStock(1, "80", "81"))
			is.NoErr(err)
			is.Equal(changed.Revision, uint64(2))
			is.Equal(changed.Sections, []ChangedSection{{"stock", 2, "stock"}})
			records, err := o.History(ctx, 10)
			is.NoErr(err)
			is.Equal(len(records), 2)
		})
	}
}

// Guards against an unknown outcome that is reported as a failure, after which
// an operator would repeat a change that was made.
func TestUnknownOutcome(t *testing.T) {
	is := is.New(t)
	s, o := startOperator(t)
	lossy := &lostResponses{Platform: o.platform, afterCommit: func() { s.SetFaults(standin.Faults{Down: true}) }}
	o.platform = lossy
	request := editStock(1, "80", "81")
	_, err := o.Apply(ctx, request)
	var unknown *UnknownError
	is.True(errors.As(err, &unknown))
	is.Equal(ExitCode(err), ExitUnknown)
	is.True(strings.Contains(err.Error(), "--operation "+unknown.Operation))

	s.SetFaults(standin.Faults{})
	request.Operation = unknown.Operation
	changed, err := newOperator(t, s).Apply(ctx, request)
	is.NoErr(err)
	is.True(changed.MadeEarlier)
	is.Equal(changed.Revision, uint64(2))
}

// lostResponses is a platform whose commits take effect, but lose their
// response.
type lostResponses struct {
	tables.Platform
	afterCommit func()
}

func (p *lostResponses) Commit(ctx context.Context, c tables.Commit) ([]tables.Row, error) {
	if _, err := p.Platform.Commit(ctx, c); err != nil {
		return nil, err
	}
	p.afterCommit()
	return nil, tables.ErrUnknown
}

// Guards against a lost commit that is still reported as unknown after the head
// has changed, which proves that it can no longer take effect.
func TestLostCommitIsRuledOut(t *testing.T) {
	is := is.New(t)
	s, o := startOperator(t)
	o.platform = &lostCommits{Platform: o.platform, otherEdit: func() {
		_, err := newOperator(t, s).Apply(ctx, editStock(1, "80", "82"))
		is.NoErr(err)
	}}
	_, err := o.Apply(ctx, editStock(1, "80", "81"))
	is.Equal(ExitCode(err), ExitConflict)
	is.True(strings.Contains(err.Error(), `made by revision 2`))
}

// lostCommits is a platform that loses each commit before it takes effect,
// while another edit is made.
type lostCommits struct {
	tables.Platform
	otherEdit func()
}

func (p *lostCommits) Commit(context.Context, tables.Commit) ([]tables.Row, error) {
	p.otherEdit()
	return nil, tables.ErrUnknown
}

// Guards against a resumed change that is reported as not made because the
// platform is still down: the earlier run may have made it.
func TestResumeWhilePlatformIsDown(t *testing.T) {
	is := is.New(t)
	s, o := startOperator(t)
	s.SetFaults(standin.Faults{Down: true})
	request := editStock(1, "80", "81")
	_, err := o.Apply(ctx, request)
	is.Equal(ExitCode(err), ExitPlatform)
	request.Operation = "earlier"
	_, err = o.Apply(ctx, request)
	is.Equal(ExitCode(err), ExitUnknown)
}

// Guards against lost or repeated changes when editors change different
// sections concurrently and responses are lost.
func TestRacingEditors(t *testing.T) {
	const editors, edits = 4, 8
	is := is.New(t)
	s, _ := startOperator(t)
	s.SetFaults(standin.Faults{LoseResponses: 10})
	var group sync.WaitGroup
	for e := range editors {
		o := newOperator(t, s)
		o.sleep = sleep // without delays an editor could lose to others in all ten attempts
		group.Go(func() {
			name := fmt.Sprintf("extra-%d", e)
			for version := range edits {
				text := fmt.Sprintf("[section]\nname = %q\nteam = \"stock\"\n[[group]]\nname = \"%s-%d\"\n", name, name, version)
				_, err := o.Apply(ctx, ApplyRequest{
					Files: []File{file(name, text)}, Base: uint64(version), HasBase: true, Token: "token-stock",
				})
				if err != nil {
					t.Errorf("editor %d, edit %d: %v", e, version, err)
					return
				}
			}
		})
	}
	group.Wait()
	o := newOperator(t, s)
	overview, err := o.Overview(ctx)
	is.NoErr(err)
	is.Equal(overview.Revision, uint64(1+editors*edits)) // each edit made one revision
	for _, section := range overview.Sections {
		if strings.HasPrefix(section.Name, "extra-") {
			is.Equal(section.Version, uint64(edits))
		}
	}
	records, err := o.History(ctx, 100)
	is.NoErr(err)
	is.Equal(len(records), 1+editors*edits)
}

// Guards against two concurrent edits of one section that both succeed from the
// same version.
func TestSameSection(t *testing.T) {
	is := is.New(t)
	s, _ := startOperator(t)
	errs := make([]error, 4)
	var group sync.WaitGroup
	for i := range errs {
		o := newOperator(t, s)
		group.Go(func() {
			_, errs[i] = o.Apply(ctx, editStock(1, "80", fmt.Sprint(81+i)))
		})
	}
	group.Wait()
	codes := map[int]int{}
	for _, err := range errs {
		codes[ExitCode(err)]++
	}
	is.Equal(codes, map[int]int{ExitOK: 1, ExitConflict: 3})
}

// Guards against a drain that does not mark its target, or changes anything
// else.
func TestDrain(t *testing.T) {
	is := is.New(t)
	_, o := startOperator(t)
	tests := []struct {
		target   string
		draining bool
		from, to string
	}{
		{"stock-1", true, "# first\n", "# first\ndraining = true\n"},
		{"stock-2", true, "10.0.0.2:80\"\n", "10.0.0.2:80\"\ndraining = true\n"},
		{"stock-1", false, "draining = true", "draining = false"},
	}
	want := stockText
	for i, test := range tests {
		request := DrainRequest{Target: test.target, Draining: test.draining, Token: "token-stock"}
		changed, err := o.Drain(ctx, request)
		is.NoErr(err)
		is.Equal(changed.Revision, uint64(i+2))
		want = strings.Replace(want, test.from, test.to, 1)
		shown, err := o.Show(ctx, "stock", 0)
		is.NoErr(err)
		is.Equal(shown.Text, want)
		again, err := o.Drain(ctx, request)
		is.NoErr(err)
		is.True(again.Unchanged)
	}
	_, err := o.Drain(ctx, DrainRequest{Target: "stock-9", Token: "token-stock"})
	is.Equal(ExitCode(err), ExitInvalid)
	_, err = o.Drain(ctx, DrainRequest{Target: "stock-1", Draining: true, Token: "token-network"})
	is.Equal(ExitCode(err), ExitInvalid)
}

// Guards against a line-based edit that corrupts a text in a form that it does
// not support.
func TestSetKey(t *testing.T) {
	for _, text := range []string{"target = [{name = 'a'}]\n", "", "[[group]]\nname = 'a'\n"} {
		_, err := setKey(text, 1, "target", "draining", "true")
		is.New(t).Equal(ExitCode(err), ExitInvalid)
	}
	got, err := setKey("[[target]]\nname = 'a'", 1, "target", "draining", "true")
	is.New(t).NoErr(err)
	is.New(t).Equal(got, "[[target]]\nname = 'a'\ndraining = true\n")
}

// Guards against an instance that is shown as active although it is not.
func TestStatus(t *testing.T) {
	is := is.New(t)
	_, o := startOperator(t)
	zoneB, zoneCut := peerReport{Zone: "b"}, peerReport{Zone: "cut", Unreachable: true}
	zoneA := peerReport{Zone: "a"}
	reports := []statusReport{
		{Instance: "active", Zone: "a", Revision: 1, Peers: []peerReport{zoneB, zoneCut}},
		{Instance: "stale", Zone: "a", Peers: []peerReport{zoneB, zoneCut}},
		{Instance: "other", Zone: "b", Revision: 1, Peers: []peerReport{zoneA, zoneCut}},
		{Instance: "leaving", Zone: "b", Leaving: true},
		{Instance: "cut", Zone: "cut", Revision: 1, Peers: []peerReport{{Zone: "a", Unreachable: true}}},
	}
	for _, r := range reports {
		is.NoErr(o.platform.Register(ctx, tables.Instance{
			ID: r.Instance, Zone: r.Zone, Role: tables.RoleEntry, OperatorsAddress: serveStatus(t, r),
		}))
	}
	is.NoErr(o.platform.Register(ctx, tables.Instance{ID: "silent", Zone: "z", Role: tables.RoleEntry, OperatorsAddress: "127.0.0.1:1"}))
	is.NoErr(o.platform.Register(ctx, tables.Instance{ID: "upstream", Zone: "z", Role: tables.RoleUpstream}))
	status, err := o.Status(ctx, nil)
	is.NoErr(err)
	got := map[string]State{}
	for _, i := range status.Instances {
		got[i.Instance] = i.State
	}
	is.Equal(got, map[string]State{
		"active": Active, "stale": Stale, "other": Active, "leaving": Leaving, "cut": Partitioned, "silent": NoResponse,
	})
	is.Equal(status.Newest, uint64(1))
	is.True(!status.Healthy())
}

// serveStatus serves a status report and returns the address of the operators'
// port.
func serveStatus(t *testing.T, r statusReport) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	app := fiber.New(fiber.Config{DisableStartupMessage: true})
	app.Get("/v1/status", func(c *fiber.Ctx) error { return c.JSON(r) })
	go func() { _ = app.Listener(listener) }()
	t.Cleanup(func() { _ = app.Shutdown() })
	return listener.Addr().String()
}
