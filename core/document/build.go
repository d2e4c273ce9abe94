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

// MaxBytes bounds the text of all sections together.
const MaxBytes = toml.MaxBytes

// Defaults and bounds of the settings of the whole document.
const (
	defaultKeyRetention = time.Hour
	defaultQuarantine   = 30 * time.Second
	defaultLookupTTL    = 10 * time.Second
	maxKeyRetention     = 24 * time.Hour
	maxQuarantine       = time.Hour
	maxLookupTTL        = 5 * time.Minute
)

// manifestPattern matches the name of a manifest in the object store, see
// blocks.ObjectName. It is empty before the first upload.
var manifestPattern = regexp.MustCompile(`^(blocks/[0-9a-f]{64})?$`)

var errTokenHash = errors.New("must be a SHA-256 hash of 64 hexadecimal digits, not the token itself")

// Compile decodes the sections, validates them as one document and returns its
// compiled form, or all errors as Errors. The order of the sections does not
// matter. It is safe to call from any goroutine.
func Compile(revision uint64, sections []Section) (*Compiled, error) {
	compiled, _, err := Build(revision, sections)
	return compiled, err
}

// Build is Compile for operators' tools, which also need the Index.
func Build(revision uint64, sections []Section) (*Compiled, *Index, error) {
	b := &builder{compiled: Compiled{Revision: revision}}
	if b.open(sections) {
		b.decode()
		b.finish()
	}
	if err := b.errs.Err(); err != nil {
		return nil, nil, err
	}
	b.fillShifts()
	return &b.compiled, &b.index, nil
}

// opened is a section whose text is decoded.
type opened struct {
	*Section
	root *toml.Table
}

// builder builds one document.
type builder struct {
	errs     toml.List
	sections []opened
	compiled Compiled
	index    Index

	teams, regions, zones, groups, services, targets, sites names
	// document and blocks are the tables that only one section may have.
	document, blocks *definition
}

// open decodes the text of each section. It returns false if one of them is no
// TOML, since every reference into it would be reported as missing.
func (b *builder) open(sections []Section) bool {
	ordered := append([]Section(nil), sections...)
	sort.SliceStable(ordered, func(i, j int) bool { return ordered[i].Name < ordered[j].Name })
	size, ok := 0, true
	for i := range ordered {
		s := &ordered[i]
		size += len(s.Text)
		switch {
		case size > MaxBytes:
			b.errs.Addf(s.file(), 1, "", "the sections have more than %d bytes together", MaxBytes)
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
		b.sections = append(b.sections, opened{Section: s, root: root})
	}
	return ok
}

// decode fills the tables; names first, since any section may refer to them.
func (b *builder) decode() {
	b.teams = b.collect("team", maxTeams)
	b.regions = b.collect("region", maxRegions)
	b.zones = b.collect("zone", maxZones)
	b.groups = b.collect("group", maxGroups)
	b.services = b.collect("service", maxServices)
	b.targets = b.collect("target", maxTargets)
	b.sites = b.collect("site", maxSites)
	b.document = b.single("document")
	b.blocks = b.single("blocks")

	b.decodeTeams()
	b.decodeHeads()
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

// single returns the table that at most one section may have.
func (b *builder) single(key string) *definition {
	var found *definition
	for _, s := range b.sections {
		if !s.root.Has(key) {
			s.root.Table(key)
			continue
		}
		d := definition{section: s.Section, table: s.root.Table(key)}
		if found != nil {
			d.repeats("", "["+key+"]", *found)
			continue
		}
		found = &d
	}
	return found
}

// decodeHeads checks the section and team that a text says it is of.
func (b *builder) decodeHeads() {
	for _, s := range b.sections {
		t := s.root.Table("section")
		said := name(t, "name", s.Name)
		switch {
		case !namePattern.MatchString(s.Name):
			t.Errorf("name", "the name of the section, %.64q, %s", s.Name, nameRule)
		case said != "" && said != s.Name:
			t.Errorf("name", "the text says section %q, but the section is %q", said, s.Name)
		}
		said = name(t, "team", s.Team)
		_, defined := b.teams.ids[s.Team]
		switch {
		case said != "" && said != s.Team:
			t.Errorf("team", "the text says team %q, but the section belongs to %q", said, s.Team)
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

// tokenHash parses the hash of a token. The error does not show the text, which
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
	longest := time.Duration(0)
	for i := range c.Services {
		longest = max(longest, c.Services[i].Deadline)
	}
	c.Quarantine = max(c.Quarantine, longest)
	if b.document == nil {
		return
	}
	t := b.document.table
	c.KeyRetention = t.Duration("key_retention", time.Minute, maxKeyRetention, c.KeyRetention)
	c.Quarantine = t.Duration("quarantine", time.Second, maxQuarantine, c.Quarantine)
	c.LookupTTL = t.Duration("lookup_ttl", time.Second, maxLookupTTL, c.LookupTTL)
	if c.Quarantine != 0 && c.Quarantine < longest {
		t.Errorf("quarantine", "%s is shorter than the longest deadline, %s", c.Quarantine, longest)
	}
}

func (b *builder) decodeBlocks() {
	if b.blocks == nil {
		return
	}
	t := b.blocks.table
	blocks := Blocks{
		File:     t.String("file", ""),
		Manifest: t.Matching("manifest", manifestPattern, "must be blocks/ and a hash of 64 hexadecimal digits", ""),
		Origin:   b.blocks.origin(),
	}
	if blocks.File != "" && !filepath.IsLocal(blocks.File) {
		t.Errorf("file", "%.64q must be a file in the directory of the section's file or below", blocks.File)
	}
	if blocks.File == "" && blocks.Manifest == "" {
		t.Errorf("", "must have a file, a manifest or both")
	}
	b.index.Blocks = &blocks
	b.compiled.Blocks = blocks.Manifest
}

// finish reports what nobody took, and what is missing from the whole.
func (b *builder) finish() {
	if len(b.zones.definitions) == 0 && len(b.sections) > 0 {
		b.sections[0].root.Errorf("zone", "the document defines no zone")
	}
	for _, kind := range []names{b.teams, b.regions, b.zones, b.groups, b.services, b.targets, b.sites} {
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

// fillShifts adds the default cap for each pair of regions of each service, so
// that work moved by a failure is capped too.
func (b *builder) fillShifts() {
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

// key identifies a shift in a document.
func (s Shift) key() [3]uint16 { return [3]uint16{uint16(s.Service), uint16(s.From), uint16(s.To)} }

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
