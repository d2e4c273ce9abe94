package document

import (
	"regexp"
	"sort"
	"strconv"

	"pistachioford.example/core/toml"
)

// Limits of the number of definitions. The tables of a Compiled grow with
// products such as services × regions², so each factor is bounded. The limits
// are a multiple of the scale expected in two years: 4 regions, 9 zones, 77
// sites.
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

// namePattern matches a name. It allows no dot, since an idempotency key has
// the form <zone>.<shard>.<uuid>.
var namePattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?$`)

const nameRule = "must be 1 to 63 of a-z, 0-9 and inner hyphens"

// definition is one table of a section. The name is empty if the table has none
// or if it is invalid.
type definition struct {
	name    string
	section *Section
	table   *toml.Table
}

// reportDuplicate adds an error which says that other already defines the same
// thing.
func (d *definition) reportDuplicate(key, what string, other definition) {
	d.table.Errorf(key, "%s is defined by section %s and by section %s (%s:%d)",
		what, d.section.Name, other.section.Name, other.table.File(), other.table.Line())
}

// origin returns the section, file and line of the table.
func (d *definition) origin() Origin {
	return Origin{Name: d.name, Section: d.section.Name, File: d.section.file(), Line: d.table.Line()}
}

// nameTable holds the definitions of one kind, ordered by name, so that
// identifiers do not depend on which section defines what.
type nameTable struct {
	kind        string
	definitions []definition
	// ids maps a name to its index in definitions.
	ids map[string]int
}

// collectDefinitions reads the definitions of one kind from all sections. It
// adds an error for a name that is defined twice, and stops with an error at
// more than maxCount definitions.
func (b *builder) collectDefinitions(kind string, maxCount int) nameTable {
	n := nameTable{kind: kind}
	first := map[string]definition{}
	for _, s := range b.sections {
		for _, t := range s.root.Tables(kind) {
			d := definition{name: readName(t, "name"), section: s.Section, table: t}
			other, duplicate := first[d.name]
			switch {
			case len(n.definitions) == maxCount:
				t.Errorf("name", "the document has more than %d [[%s]] tables", maxCount, kind)
				return n
			case d.name == "":
			case duplicate:
				d.reportDuplicate("name", kind+" "+strconv.Quote(d.name), other)
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

// resolve reads a name from a table and returns its identifier. It reports
// false after it has added an error.
func (n *nameTable) resolve(t *toml.Table, key string) (int, bool) {
	refName := readName(t, key)
	if refName == "" {
		return 0, false
	}
	id, ok := n.ids[refName]
	if !ok {
		t.Errorf(key, "%s %q is not defined", n.kind, refName)
	}
	return id, ok
}

// readName reads a name from a table. It returns an empty string after it has
// added an error.
func readName(t *toml.Table, key string, def ...string) string {
	return t.MatchingString(key, namePattern, nameRule, def...)
}
