package document

import (
	"regexp"
	"sort"
	"strconv"

	"pistachioford.example/core/toml"
)

// Bounds of the number of definitions. The tables of a Compiled grow with
// products such as services × regions², so each factor is bounded. They are a
// multiple of the scale of two years ahead: 4 regions, 9 zones, 77 sites.
const (
	maxTeams    = 256
	maxRegions  = 16
	maxZones    = 64
	maxGroups   = 256
	maxServices = 256
	maxTargets  = 16384
	maxSites    = 4096
	maxLinks    = maxRegions * maxRegions
	maxShifts   = maxServices * maxRegions * maxRegions
)

// namePattern has no dot, since an idempotency key is <zone>.<shard>.<uuid>.
var namePattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?$`)

const nameRule = "must be 1 to 63 of a-z, 0-9 and inner hyphens"

// definition is one table that defines a name.
type definition struct {
	name    string
	section *Section
	table   *toml.Table
}

// repeats notes that another table defines the same.
func (d *definition) repeats(key, what string, other definition) {
	d.table.Errorf(key, "%s is defined by section %s and by section %s (%s:%d)",
		what, d.section.Name, other.section.Name, other.table.File(), other.table.Line())
}

// origin tells where the table is.
func (d *definition) origin() Origin {
	return Origin{Name: d.name, Section: d.section.Name, File: d.section.file(), Line: d.table.Line()}
}

// names are the definitions of one kind, ordered by name, so that identifiers
// do not depend on which section defines what.
type names struct {
	kind        string
	definitions []definition
	ids         map[string]int
}

// collect takes the definitions of one kind out of all sections.
func (b *builder) collect(kind string, most int) names {
	n := names{kind: kind}
	first := map[string]definition{}
	for _, s := range b.sections {
		for _, t := range s.root.Tables(kind) {
			d := definition{name: name(t, "name"), section: s.Section, table: t}
			other, duplicate := first[d.name]
			switch {
			case len(n.definitions) == most:
				t.Errorf("name", "the document has more than %d of %s", most, kind)
				return n
			case d.name == "":
			case duplicate:
				d.repeats("name", kind+" "+strconv.Quote(d.name), other)
			default:
				first[d.name] = d
			}
			n.definitions = append(n.definitions, d)
		}
	}
	sort.SliceStable(n.definitions, func(i, j int) bool { return n.definitions[i].name < n.definitions[j].name })
	n.ids = make(map[string]int, len(n.definitions))
	for i, d := range n.definitions {
		if _, ok := n.ids[d.name]; !ok && d.name != "" {
			n.ids[d.name] = i
		}
	}
	return n
}

// reference takes a name out of a table and returns its identifier. It is
// false after noting an error.
func (n *names) reference(t *toml.Table, key string) (int, bool) {
	referred := name(t, key)
	if referred == "" {
		return 0, false
	}
	id, ok := n.ids[referred]
	if !ok {
		t.Errorf(key, "%s %q is not defined", n.kind, referred)
	}
	return id, ok
}

// name takes a name out of a table; it is empty after an error.
func name(t *toml.Table, key string, def ...string) string {
	return t.Matching(key, namePattern, nameRule, def...)
}
