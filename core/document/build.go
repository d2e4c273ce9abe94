package document

import (
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"path/filepath"
	"regexp"
	"sort"
	"time"

	"pistachioford.example/core/toml"
)

// MaxBytes limits the total size of the texts of all sections.
const MaxBytes = toml.MaxBytes

// Defaults and upper bounds of the keys of [document].
const (
	defaultKeyRetention = time.Hour
	defaultQuarantine   = 30 * time.Second
	defaultLookupTTL    = 10 * time.Second
	maxKeyRetention     = 24 * time.Hour
	maxQuarantine       = time.Hour
	maxLookupTTL        = 5 * time.Minute
)

// manifestPattern matches the object name of a manifest, see blocks.ObjectName.
// The name is empty before the first upload.
var manifestPattern = regexp.MustCompile(`^(blocks/[0-9a-f]{64})?$`)

var errTokenHash = errors.New("must be a SHA-256 hash of 64 hexadecimal digits, not the token itself")

// Compile decodes the sections, validates them as one document and returns its
// compiled form, or all errors as Errors. The order of the sections does not
// matter. It is safe to call from any goroutine.
func Compile(revision uint64, sections []Section) (*Compiled, error) {
	compiled, _, err := CompileWithIndex(revision, sections)
	return compiled, err
}

// CompileWithIndex compiles a document like Compile and also returns its Index
// for operators' tools.
func CompileWithIndex(revision uint64, sections []Section) (*Compiled, *Index, error) {
	b := &builder{compiled: Compiled{Revision: revision}}
	if b.parseSections(sections) {
		b.decode()
		b.finish()
	}
	if err := b.errs.Err(); err != nil {
		return nil, nil, err
	}
	b.addDefaultShifts()
	return &b.compiled, &b.index, nil
}

// parsedSection is a section with the root table of its decoded text.
type parsedSection struct {
	*Section
	root *toml.Table
}

// builder holds the state of one compilation: the errors, the decoded sections
// and the results. It collects the names of all definitions before it decodes
// the tables that refer to them, and continues after an error in a table, so
// that all errors are reported at once.
type builder struct {
	errs     toml.ErrorList
	sections []parsedSection
	compiled Compiled
	index    Index

	teams, regions, zones, groups, services, targets, sites nameTable
	// document and blocks are the tables [document] and [blocks], which only
	// one section may have. They are nil if no section has them.
	document, blocks *definition
}

// parseSections decodes the text of each section. It returns false if a section
// cannot be decoded, since every reference to its definitions would then be
// reported as undefined.
func (b *builder) parseSections(sections []Section) bool {
	ordered := append([]Section(nil), sections...)
	sort.SliceStable(ordered, func(i, j int) bool { return ordered[i].Name < ordered[j].Name })
	size, ok := 0, true
	for i := range ordered {
		s := &ordered[i]
		size += len(s.Text)
		switch {
		case size > MaxBytes:
			b.errs.Addf(s.file(), 1, "", "the sections together have more than %d bytes", MaxBytes)
			return false
		case i > 0 && s.Name == ordered[i-1].Name:
			b.errs.Addf(s.file(), 1, "section", "section %q exists twice: %s and %s", s.Name, ordered[i-1].file(), s.file())
			ok = false
			continue
		}
		root := toml.Parse(s.file(), s.Text, &b.errs)
		if root == nil {
			ok = false
			continue
		}
		b.sections = append(b.sections, parsedSection{Section: s, root: root})
	}
	return ok
}

// decode fills the tables. It collects the names first, since any section may
// refer to them.
func (b *builder) decode() {
	b.teams = b.collectDefinitions("team", maxTeams)
	b.regions = b.collectDefinitions("region", maxRegions)
	b.zones = b.collectDefinitions("zone", maxZones)
	b.groups = b.collectDefinitions("group", maxGroups)
	b.services = b.collectDefinitions("service", maxServices)
	b.targets = b.collectDefinitions("target", maxTargets)
	b.sites = b.collectDefinitions("site", maxSites)
	b.document = b.uniqueTable("document")
	b.blocks = b.uniqueTable("blocks")

	b.decodeTeams()
	b.decodeSectionHeaders()
	b.decodeRegions()
	b.decodeZones()
	b.decodeGroups()
	b.decodeTargets()
	b.decodeServices()
	b.decodeSites()
	b.decodeLinks()
	b.decodeShifts()
	b.decodeDocument()
	b.decodeBlocks()
}

// uniqueTable returns a table that at most one section may have, or nil if none
// has it. It also reads the key in the sections that lack it, so that errors
// list it among the known keys.
func (b *builder) uniqueTable(key string) *definition {
	var found *definition
	for _, s := range b.sections {
		if !s.root.Has(key) {
			s.root.Table(key)
			continue
		}
		d := definition{section: s.Section, table: s.root.Table(key)}
		if found != nil {
			d.reportDuplicate("", "["+key+"]", *found)
			continue
		}
		found = &d
	}
	return found
}

// decodeSectionHeaders checks that the name and team in the table [section] of
// each text are those of the Section.
func (b *builder) decodeSectionHeaders() {
	for _, s := range b.sections {
		t := s.root.Table("section")
		declared := readName(t, "name", s.Name)
		switch {
		case !namePattern.MatchString(s.Name):
			t.Errorf("name", "the name of the section, %.64q, %s", s.Name, nameRule)
		case declared != "" && declared != s.Name:
			t.Errorf("name", "the text says section %q, but the section is %q", declared, s.Name)
		}
		declared = readName(t, "team", s.Team)
		_, defined := b.teams.ids[s.Team]
		switch {
		case declared != "" && declared != s.Team:
			t.Errorf("team", "the text says team %q, but the section belongs to %q", declared, s.Team)
		case s.Team != "" && !defined && len(b.teams.ids) > 0:
			t.Errorf("team", "team %q is not defined", s.Team)
		}
		t.Finish()
	}
}

func (b *builder) decodeTeams() {
	for _, d := range b.teams.definitions {
		team := Team{Name: d.name}
		team.TokenHash = toml.Value(d.table, "token_sha256", "a SHA-256 hash", tokenHash)
		b.index.Teams = append(b.index.Teams, team)
	}
}

// tokenHash parses the hash of a token. Its error does not show the text, which
// may be the token itself by mistake.
func tokenHash(text string) (hash [sha256.Size]byte, err error) {
	if len(text) != hex.EncodedLen(len(hash)) {
		return hash, errTokenHash
	}
	if _, err := hex.Decode(hash[:], []byte(text)); err != nil {
		return hash, errTokenHash
	}
	return hash, nil
}

func (b *builder) decodeDocument() {
	c := &b.compiled
	c.KeyRetention, c.Quarantine, c.LookupTTL = defaultKeyRetention, defaultQuarantine, defaultLookupTTL
	longestDeadline := time.Duration(0)
	for i := range c.Services {
		longestDeadline = max(longestDeadline, c.Services[i].Deadline)
	}
	c.Quarantine = max(c.Quarantine, longestDeadline)
	if b.document == nil {
		return
	}
	t := b.document.table
	c.KeyRetention = t.Duration("key_retention", time.Minute, maxKeyRetention, c.KeyRetention)
	c.Quarantine = t.Duration("quarantine", time.Second, maxQuarantine, c.Quarantine)
	c.LookupTTL = t.Duration("lookup_ttl", time.Second, maxLookupTTL, c.LookupTTL)
	if c.Quarantine != 0 && c.Quarantine < longestDeadline {
		t.Errorf("quarantine", "%s is shorter than the longest deadline, %s", c.Quarantine, longestDeadline)
	}
}

func (b *builder) decodeBlocks() {
	if b.blocks == nil {
		return
	}
	t := b.blocks.table
	blocks := BlocksSource{
		File:     t.String("file", ""),
		Manifest: t.MatchingString("manifest", manifestPattern, "must be blocks/ and a hash of 64 hexadecimal digits", ""),
		Origin:   b.blocks.origin(),
	}
	if blocks.File != "" && !filepath.IsLocal(blocks.File) {
		t.Errorf("file", "%.64q must be a file in the directory of the section's file or below", blocks.File)
	}
	if blocks.File == "" && blocks.Manifest == "" {
		t.Errorf("", "must have a file, a manifest or both")
	}
	b.index.Blocks = &blocks
	b.compiled.BlocksManifest = blocks.Manifest
}

// finish reports a document without zones, and the unknown keys of all tables
// that were not finished when they were decoded.
func (b *builder) finish() {
	if len(b.zones.definitions) == 0 && len(b.sections) > 0 {
		b.sections[0].root.Errorf("zone", "the document defines no zone")
	}
	for _, kind := range []nameTable{b.teams, b.regions, b.zones, b.groups, b.services, b.targets, b.sites} {
		for _, d := range kind.definitions {
			d.table.Finish()
		}
	}
	for _, d := range []*definition{b.document, b.blocks} {
		if d != nil {
			d.table.Finish()
		}
	}
	for _, s := range b.sections {
		s.root.Finish()
	}
}

// addDefaultShifts adds a shift with the default cap for each service and pair
// of regions that has none, so that requests moved by a failure are capped too.
func (b *builder) addDefaultShifts() {
	c := &b.compiled
	declared := make(map[[3]uint16]bool, len(c.Shifts))
	for _, s := range c.Shifts {
		declared[s.key()] = true
	}
	for service := range c.Services {
		for from := range c.Regions {
			for to := range c.Regions {
				s := Shift{
					Service: ServiceID(service), From: RegionID(from), To: RegionID(to),
					CapPerSecond: defaultShiftCap, StartPerSecond: defaultShiftStart, Ramp: defaultShiftRamp,
				}
				if from != to && !declared[s.key()] {
					c.Shifts = append(c.Shifts, s)
				}
			}
		}
	}
	sort.Slice(c.Shifts, func(i, j int) bool { return less(c.Shifts[i].key(), c.Shifts[j].key()) })
}

// key returns the service and the regions that identify a shift in a document.
func (s Shift) key() [3]uint16 { return [3]uint16{uint16(s.Service), uint16(s.From), uint16(s.To)} }

// less reports whether the shift key a sorts before b.
func less(a, b [3]uint16) bool {
	for i := range a {
		if a[i] != b[i] {
			return a[i] < b[i]
		}
	}
	return false
}

// aboveOne reports whether a sum of fractions exceeds 1 by more than the
// rounding of the sum.
func aboveOne(sum float64) bool { return sum > 1+1e-9 }
