package document

import (
	"errors"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

const networkText = `[section]
name = "network"
team = "platform"

[document]
key_retention = "2h"

[[team]]
name = "platform"
token_sha256 = "9f86d081884c7d659a2feaa0c55ad015a3bf4f1b2b0b822cd15d6c15b0f00a08"
[[team]]
name = "stock"
token_sha256 = "9f86d081884c7d659a2feaa0c55ad015a3bf4f1b2b0b822cd15d6c15b0f00a08"

[[region]]
name = "kzn"
[[region]]
name = "gauteng"

[[zone]]
name = "kzn-a"
region = "kzn"
[[zone]]
name = "gauteng-a"
region = "gauteng"
shards = 3

[[link]]
from = "gauteng"
to = "kzn"
budget = "400MB/s"
delay = "35ms"

[[site]]
name = "durban"
zone = "kzn-a"

[blocks]
file = "clients.csv"
`

const stockText = `[section]
name = "stock"
team = "stock"

[[group]]
name = "stock"
shed_statuses = [503]

[[target]]
name = "stock-1"
group = "stock"
zone = "kzn-a"
address = "10.0.0.1:8080"
[[target]]
name = "stock-2"
group = "stock"
zone = "gauteng-a"
address = "10.0.0.2:8080"
slots = 5
draining = true

[[service]]
name = "lookup"
path_prefix = "/stock"
group = "stock"
priority = "normal"
deadline = "2s"
idempotent = true
response_size = "16KiB"

[[shift]]
service = "lookup"
from = "gauteng"
to = "kzn"
fraction = "25%"
cap = "100/s"
`

func sampleSections() []Section {
	return []Section{
		{Name: "network", Team: "platform", File: "network.toml", Text: networkText},
		{Name: "stock", Team: "stock", File: "stock.toml", Text: stockText},
	}
}

// Guards against values that are lost or swapped between the text and the
// tables, and against tables that depend on the order of the sections.
func TestCompile(t *testing.T) {
	is := is.New(t)
	sections := sampleSections()
	c, index, err := CompileWithIndex(7, sections)
	is.NoErr(err)
	is.Equal(c.Revision, uint64(7))
	is.Equal(c.Regions, []Region{{"gauteng", []ZoneID{0}}, {"kzn", []ZoneID{1}}})
	is.Equal(c.Zones, []Zone{{"gauteng-a", 0, 3}, {"kzn-a", 1, 2}})
	is.Equal(c.Groups, []Group{{"stock", [][]TargetID{{1}, {0}}, []int{503}}})
	is.Equal(c.Targets[1], Target{
		Name: "stock-2", Zone: 0, Address: "10.0.0.2:8080", Slots: 5, Connections: 400, Draining: true,
	})
	is.Equal(c.Services, []Service{{
		Name: "lookup", PathPrefix: "/stock", Priority: Normal, Share: 0.3,
		Deadline: 2 * time.Second, Idempotent: true, ResponseBytes: 16 << 10,
	}})
	is.Equal(c.Links, []Link{{From: 0, To: 1, BytesPerSecond: 400e6, Delay: 35 * time.Millisecond}})
	is.Equal(c.Shifts, []Shift{
		{From: 0, To: 1, Fraction: 0.25, CapPerSecond: 100, StartPerSecond: 20, Ramp: time.Minute},
		{From: 1, To: 0, CapPerSecond: 200, StartPerSecond: 20, Ramp: time.Minute},
	})
	is.Equal(c.Sites, []Site{{"durban", 1}})
	is.Equal(c.KeyRetention, 2*time.Hour)
	is.Equal(c.Quarantine, 30*time.Second)
	is.Equal(c.LookupTTL, 10*time.Second)
	is.Equal(index.Targets[0], Origin{"stock-1", "stock", "stock.toml", 9})
	is.Equal(index.Blocks.File, "clients.csv")

	sections[0], sections[1] = sections[1], sections[0]
	swapped, err := Compile(7, sections)
	is.NoErr(err)
	is.Equal(swapped, c)
}

// Guards against an invalid document that is accepted, or whose error names the
// wrong line or key.
func TestCompileErrors(t *testing.T) {
	tests := []struct{ name, old, new, want string }{
		{"unknown key", "shards = 3", "shard = 3", "network.toml:26: zone.shard: unknown key; the keys here are name, region, shards"},
		{"unknown table", "[[site]]", "[[sites]]", "network.toml:34: sites: unknown key"},
		{"syntax", "shards = 3", "shards = ", "network.toml:26: "},
		{"key twice", "shards = 3", "shards = 3\nshards = 3", "network.toml:27: "},
		{"missing region", `region = "kzn"`, `region = "kz"`, `network.toml:22: zone.region: region "kz" is not defined`},
		{"region without zone", `region = "kzn"`, `region = "gauteng"`, `network.toml:16: region.name: region "kzn" has no zone`},
		{"missing zone", `zone = "gauteng-a"`, `zone = "b"`, `stock.toml:17: target.zone: zone "b" is not defined`},
		{"missing group", "group = \"stock\"\npriority", "group = \"x\"\npriority", `stock.toml:25: service.group: group "x" is not defined`},
		{"missing service", `service = "lookup"`, `service = "x"`, `stock.toml:32: shift.service: service "x" is not defined`},
		{"missing name", "name = \"lookup\"\n", "", "stock.toml:22: service.name: missing; it must be a string"},
		{"empty name", `name = "lookup"`, `name = ""`, "stock.toml:23: service.name: \"\" must be 1 to 63 of"},
		{"dot in zone", `name = "gauteng-a"`, `name = "gauteng.a"`, "network.toml:24: zone.name: \"gauteng.a\" must be"},
		{"shards", "shards = 3", "shards = 0", "network.toml:26: zone.shards: 0 is outside of 1 to 64"},
		{"type", "shards = 3", `shards = "3"`, "network.toml:26: zone.shards: must be an integer"},
		{"duration without unit", `deadline = "2s"`, `deadline = "2"`, `stock.toml:27: service.deadline: "2" is not a duration with a unit, such as "30s"`},
		{"duration as number", `deadline = "2s"`, `deadline = 2`, `stock.toml:27: service.deadline: must be a duration with a unit`},
		{"duration range", `deadline = "2s"`, `deadline = "2h"`, `stock.toml:27: service.deadline: "2h" is outside of 10ms to 10m0s`},
		{"no deadline", "deadline = \"2s\"\n", "", "stock.toml:22: service.deadline: missing"},
		{"no idempotent", "idempotent = true\n", "", "stock.toml:22: service.idempotent: missing; it must be true or false"},
		{"size unit", `"16KiB"`, `"16K"`, `stock.toml:29: service.response_size: "16K" is not a size with a unit`},
		{"budget unit", `"400MB/s"`, `"400MB"`, `network.toml:31: link.budget: "400MB" is not a rate with a unit`},
		{"budget range", `"400MB/s"`, `"0B/s"`, `network.toml:31: link.budget: "0B/s" is outside of 1 to`},
		{"percent unit", `"25%"`, `"0.25"`, `stock.toml:35: shift.fraction: "0.25" is not a percentage`},
		{"percent range", `"25%"`, `"125%"`, `stock.toml:35: shift.fraction: "125%" is outside of 0% to 100%`},
		{"rate unit", `"100/s"`, `"100"`, `stock.toml:36: shift.cap: "100" is not a number per second`},
		{"start above cap", `cap = "100/s"`, "cap = \"100/s\"\nstart = \"101/s\"", "stock.toml:37: shift.start: 101/s is above the cap of 100/s"},
		{"priority", `"normal"`, `"low"`, `stock.toml:26: service.priority: "low" must be urgent, normal or background`},
		{"address", `"10.0.0.1:8080"`, `"example.com:80"`, `stock.toml:13: target.address: "example.com:80" is not the address of a host`},
		{"port 0", `"10.0.0.1:8080"`, `"10.0.0.1:0"`, "stock.toml:13: target.address: "},
		{"any address", `"10.0.0.1:8080"`, `"[::]:80"`, "stock.toml:13: target.address: "},
		{"address twice", `"10.0.0.2:8080"`, `"10.0.0.1:8080"`, "stock.toml:18: target.address: address 10.0.0.1:8080 is defined by section stock and by section stock (stock.toml:9)"},
		{"name twice", `name = "stock-2"`, `name = "stock-1"`, `stock.toml:15: target.name: target "stock-1" is defined by section stock and by section stock (stock.toml:9)`},
		{"name in two sections", `[[group]]`, "[[site]]\nname = \"durban\"\nzone = \"kzn-a\"\n[[group]]", `stock.toml:6: site.name: site "durban" is defined by section stock and by section network (network.toml:34)`},
		{"single table twice", `[[group]]`, "[document]\n[[group]]", "stock.toml:5: document: [document] is defined by section stock and by section network (network.toml:5)"},
		{"no targets", "zone = \"kzn-a\"\naddress", "zone = \"nowhere\"\naddress", "stock.toml:12: target.zone"},
		{"empty group", `[[service]]`, "[[group]]\nname = \"empty\"\n[[service]]\nname = \"other\"\npath_prefix = \"/o\"\ngroup = \"empty\"\npriority = \"urgent\"\ndeadline = \"1s\"\nidempotent = true\n[[service]]", `stock.toml:27: service.group: service "other" has no targets: group "empty" is empty`},
		{"shares", `[[service]]`, "[[service]]\nname = \"other\"\npath_prefix = \"/o\"\ngroup = \"stock\"\npriority = \"urgent\"\ndeadline = \"1s\"\nidempotent = true\nshare = \"70.1%\"\n[[service]]", `stock.toml:6: group.name: the guaranteed shares of group "stock" are 100.1%, above 100% (lookup 30%, other 70.1%)`},
		{"link to itself", `to = "kzn"` + "\nbudget", `to = "gauteng"` + "\nbudget", "network.toml:30: link.to: must be another region"},
		{"fractions", `cap = "100/s"`, "cap = \"100/s\"\n[[shift]]\nservice = \"lookup\"\nfrom = \"gauteng\"\nto = \"kzn\"", "stock.toml:37: shift: the shift of this service and these regions is defined by"},
		{"quarantine", `key_retention = "2h"`, `quarantine = "1s"`, "network.toml:6: document.quarantine: 1s is shorter than the longest deadline, 2s"},
		{"team hash", `token_sha256 = "9f`, `token_sha256 = "xx`, "network.toml:10: team.token_sha256: "},
		{"other team", `team = "stock"`, `team = "platform"`, `stock.toml:3: section.team: the text says team "platform", but the section belongs to "stock"`},
		{"deep keys", "shards = 3", "a.b.c.d.e.f.g = 3", "network.toml:26: keys are nested more than 6 deep"},
		{"blocks elsewhere", `"clients.csv"`, `"../clients.csv"`, "network.toml:39: blocks.file: \"../clients.csv\" must be a file in the directory"},
		{"manifest", `file = "clients.csv"`, `manifest = "x"`, "network.toml:39: blocks.manifest: \"x\" must be blocks/ and a hash"},
		{"empty blocks", `file = "clients.csv"`, "", "network.toml:38: blocks: must have a file, a manifest or both"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			sections := sampleSections()
			for i := range sections {
				sections[i].Text = strings.Replace(sections[i].Text, test.old, test.new, 1)
				if sections[i].Text != sampleSections()[i].Text {
					break
				}
			}
			_, err := Compile(1, sections)
			is.True(err != nil) // the edit must make the document invalid
			if !strings.HasPrefix(err.Error(), test.want) && !strings.Contains(err.Error(), "\n"+test.want) {
				t.Fatalf("want %q in\n%v", test.want, err)
			}
		})
	}
}

// Guards against section names that are invalid as row keys, texts that name
// another section, and two sections with the same name.
func TestSectionNames(t *testing.T) {
	tests := []struct{ first, second, text, want string }{
		{"My File", "b", "", `My File:1: section.name: the name of the section, "My File", must be`},
		{"a", "b", "[section]\nname = \"c\"\n", `a:2: section.name: the text says section "c", but the section is "a"`},
		{"a", "a", "", `a:1: section: section "a" exists twice: a and a`},
	}
	for _, test := range tests {
		_, err := Compile(1, []Section{{Name: test.first, Text: test.text}, {Name: test.second}})
		is.New(t).True(err != nil && strings.Contains(err.Error(), test.want))
	}
	is.New(t).Equal(ParseSection("x/My File.toml", "My File", "[section]\nname = \"c\"\nteam = \"d\"\n"),
		Section{Name: "c", Team: "d", File: "x/My File.toml", Text: "[section]\nname = \"c\"\nteam = \"d\"\n"})
}

// Guards against reporting only the first error of a document, and against an
// unbounded list of errors.
func TestCompileListsAllErrors(t *testing.T) {
	is := is.New(t)
	text := strings.Repeat("[[zone]]\nname = 1\nregion = \"x\"\n", 10)
	_, err := Compile(1, []Section{{Name: "a", Text: text}})
	var errs Errors
	is.True(errors.As(err, &errs))
	is.Equal(len(errs), 20)
	_, err = Compile(1, []Section{{Name: "a", Text: strings.Repeat(text, 100)}})
	is.True(errors.As(err, &errs))
	is.True(len(errs) <= 101)
}

// FuzzCompile guards against texts that crash or hang an instance or that take
// an unbounded amount of memory. The seeds cover each table.
func FuzzCompile(f *testing.F) {
	f.Add(networkText, stockText)
	f.Add(networkText, swapLines(stockText, rand.New(rand.NewPCG(1, 1))))
	f.Add("a"+strings.Repeat(".a", 10000), strings.Repeat("[", 20000))
	f.Add("[[zone]]\n[zone.x]\n[[zone.x.y]]", "zone = [{name = 'x'}, 3]")
	f.Fuzz(func(t *testing.T, first, second string) {
		c, err := Compile(1, []Section{{Name: "a", Text: first}, {Name: "b", Text: second}})
		if (c == nil) == (err == nil) {
			t.Fatal("either a document or an error must be returned")
		}
		if c != nil && len(c.Zones) == 0 {
			t.Fatal("a document without zones was accepted")
		}
	})
}

// swapLines swaps two lines of a text.
func swapLines(text string, r *rand.Rand) string {
	lines := strings.Split(text, "\n")
	i, j := r.IntN(len(lines)), r.IntN(len(lines))
	lines[i], lines[j] = lines[j], lines[i]
	return strings.Join(lines, "\n")
}
