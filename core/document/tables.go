package document

import (
	"fmt"
	"regexp"
	"strings"
	"time"

	"pistachioford.example/core/toml"
)

// Defaults and bounds of the keys of the tables.
const (
	defaultShards = 2
	maxShards     = 64

	defaultSlots       = 3
	maxSlots           = 1024
	defaultConnections = 400
	maxConnections     = 65535

	minDeadline          = 10 * time.Millisecond
	maxDeadline          = 10 * time.Minute
	defaultResponseBytes = 64 << 10
	maxResponseBytes     = 1 << 30

	maxBudget = 1 << 40 // bytes/s
	maxDelay  = 10 * time.Second

	defaultShiftCap   = 200 // requests/s
	defaultShiftStart = 20  // requests/s
	defaultShiftRamp  = 60 * time.Second
	maxShiftCap       = 1e6 // requests/s
	maxShiftRamp      = time.Hour

	maxPathBytes = 1024
)

// defaultShares are the default guaranteed shares by priority.
var defaultShares = [NumPriorities]float64{Urgent: 0.5, Normal: 0.3, Background: 0.1}

// priorityNames are the names of the priorities in the document.
var priorityNames = [NumPriorities]string{Urgent: "urgent", Normal: "normal", Background: "background"}

// String returns the name of the priority in the document.
func (p Priority) String() string {
	if int(p) < len(priorityNames) {
		return priorityNames[p]
	}
	return fmt.Sprintf("priority %d", uint8(p))
}

var (
	hostPattern = regexp.MustCompile(`^([a-z0-9]([a-z0-9.-]{0,251}[a-z0-9])?)?$`)
	pathPattern = regexp.MustCompile(`^/[!-~]*$`)
)

func (b *builder) decodeRegions() {
	for _, d := range b.regions.definitions {
		b.compiled.Regions = append(b.compiled.Regions, Region{Name: d.name})
	}
}

func (b *builder) decodeZones() {
	for id, d := range b.zones.definitions {
		region, ok := b.regions.resolve(d.table, "region")
		zone := Zone{
			Name:   d.name,
			Region: RegionID(region),
			Shards: uint16(d.table.Int("shards", 1, maxShards, defaultShards)),
		}
		b.compiled.Zones = append(b.compiled.Zones, zone)
		if ok {
			r := &b.compiled.Regions[region]
			r.Zones = append(r.Zones, ZoneID(id))
		}
	}
	for i, d := range b.regions.definitions {
		if len(b.compiled.Regions[i].Zones) == 0 {
			d.table.Errorf("name", "region %q has no zone", d.name)
		}
	}
}

func (b *builder) decodeGroups() {
	for _, d := range b.groups.definitions {
		b.compiled.Groups = append(b.compiled.Groups, Group{
			Name:         d.name,
			Targets:      make([][]TargetID, len(b.zones.definitions)),
			ShedStatuses: d.table.Ints("shed_statuses", 400, 599, nil),
		})
	}
}

func (b *builder) decodeTargets() {
	byAddress := map[string]definition{}
	for id, d := range b.targets.definitions {
		group, hasGroup := b.groups.resolve(d.table, "group")
		zone, hasZone := b.zones.resolve(d.table, "zone")
		target := Target{
			Name:        d.name,
			Group:       GroupID(group),
			Zone:        ZoneID(zone),
			Address:     d.table.Address("address"),
			Slots:       uint16(d.table.Int("slots", 1, maxSlots, defaultSlots)),
			Connections: uint16(d.table.Int("connections", 1, maxConnections, defaultConnections)),
			Draining:    d.table.Bool("draining", false),
		}
		if target.Connections != 0 && target.Connections < target.Slots {
			d.table.Errorf("connections", "%d is less than the %d slots", target.Connections, target.Slots)
		}
		if other, ok := byAddress[target.Address]; ok && target.Address != "" {
			// Two targets with one address would double the slots of the upstream.
			d.reportDuplicate("address", "address "+target.Address, other)
		}
		byAddress[target.Address] = d
		b.compiled.Targets = append(b.compiled.Targets, target)
		b.index.Targets = append(b.index.Targets, d.origin())
		if hasGroup && hasZone {
			targets := b.compiled.Groups[group].Targets
			targets[zone] = append(targets[zone], TargetID(id))
		}
	}
}

func (b *builder) decodeServices() {
	byPath := map[string]definition{}
	shares := make([]shareSum, len(b.groups.definitions))
	for _, d := range b.services.definitions {
		t := d.table
		group, ok := b.groups.resolve(t, "group")
		priority := readPriority(t, "priority")
		service := Service{
			Name:          d.name,
			Host:          t.MatchingString("host", hostPattern, "must be a host name in lower case without a port", ""),
			PathPrefix:    readPathPrefix(t, "path_prefix"),
			Group:         GroupID(group),
			Priority:      priority,
			Share:         t.Fraction("share", defaultShares[priority]),
			Deadline:      t.Duration("deadline", minDeadline, maxDeadline),
			Idempotent:    t.Bool("idempotent"),
			ResponseBytes: t.Bytes("response_size", 0, maxResponseBytes, defaultResponseBytes),
		}
		path := service.Host + service.PathPrefix
		if other, ok := byPath[path]; ok && service.PathPrefix != "" {
			d.reportDuplicate("path_prefix", "host and path "+path, other)
		}
		byPath[path] = d
		if ok && !b.hasTargets(group) {
			t.Errorf("group", "service %q has no targets: group %q is empty", d.name, b.groups.definitions[group].name)
		}
		if ok {
			shares[group].add(&service)
		}
		b.compiled.Services = append(b.compiled.Services, service)
	}
	for i := range shares {
		shares[i].check(&b.groups.definitions[i])
	}
}

func (b *builder) hasTargets(group int) bool {
	for _, targets := range b.compiled.Groups[group].Targets {
		if len(targets) > 0 {
			return true
		}
	}
	return false
}

// shareSum adds up the guaranteed shares of the services of a group.
type shareSum struct {
	sum float64
	// services describes each service and its share for the error.
	services []string
}

func (s *shareSum) add(service *Service) {
	s.sum += service.Share
	s.services = append(s.services, fmt.Sprintf("%s %.4g%%", service.Name, 100*service.Share))
}

// check adds an error if the guaranteed shares exceed 100%.
func (s *shareSum) check(group *definition) {
	if aboveOne(s.sum) {
		group.table.Errorf("name", "the guaranteed shares of group %q are %.4g%%, above 100%% (%s)",
			group.name, 100*s.sum, strings.Join(s.services, ", "))
	}
}

func (b *builder) decodeSites() {
	for _, d := range b.sites.definitions {
		zone, _ := b.zones.resolve(d.table, "zone")
		b.compiled.Sites = append(b.compiled.Sites, Site{Name: d.name, Zone: ZoneID(zone)})
	}
}

func (b *builder) decodeLinks() {
	seen := map[[2]RegionID]definition{}
	for _, d := range b.unnamedTables("link", maxLinks) {
		from, to, ok := b.regionPair(d.table)
		link := Link{
			From: from, To: to,
			BytesPerSecond: d.table.BytesPerSecond("budget", 1, maxBudget),
			Delay:          d.table.Duration("delay", 0, maxDelay),
		}
		d.table.Finish()
		key := [2]RegionID{from, to}
		if other, duplicate := seen[key]; ok && duplicate {
			d.reportDuplicate("", "the link of these regions", other)
		}
		if ok {
			seen[key] = d
		}
		b.compiled.Links = append(b.compiled.Links, link)
	}
}

func (b *builder) decodeShifts() {
	seen := map[[3]uint16]definition{}
	fractionSums := map[[2]uint16]float64{}
	for _, d := range b.unnamedTables("shift", maxShifts) {
		t := d.table
		service, hasService := b.services.resolve(t, "service")
		from, to, ok := b.regionPair(t)
		shift := Shift{
			Service: ServiceID(service), From: from, To: to,
			Fraction:     t.Fraction("fraction", 0),
			CapPerSecond: t.PerSecond("cap", 0, maxShiftCap, defaultShiftCap),
			Ramp:         t.Duration("ramp", 0, maxShiftRamp, defaultShiftRamp),
		}
		shift.StartPerSecond = t.PerSecond("start", 0, maxShiftCap, min(defaultShiftStart, shift.CapPerSecond))
		t.Finish()
		if shift.StartPerSecond > shift.CapPerSecond {
			t.Errorf("start", "%g/s is above the cap of %g/s", shift.StartPerSecond, shift.CapPerSecond)
		}
		b.compiled.Shifts = append(b.compiled.Shifts, shift)
		if !ok || !hasService {
			continue
		}
		if other, duplicate := seen[shift.key()]; duplicate {
			d.reportDuplicate("", "the shift of this service and these regions", other)
		}
		seen[shift.key()] = d
		source := [2]uint16{uint16(service), uint16(from)}
		fractionSums[source] += shift.Fraction
		if aboveOne(fractionSums[source]) {
			t.Errorf("fraction", "the shifts of the service out of the region add up to %.4g%%, above 100%%", 100*fractionSums[source])
		}
	}
}

// unnamedTables returns the tables of a kind without names from all sections.
func (b *builder) unnamedTables(kind string, maxCount int) []definition {
	var all []definition
	for _, s := range b.sections {
		for _, t := range s.root.Tables(kind) {
			if len(all) == maxCount {
				t.Errorf("", "the document has more than %d [[%s]] tables", maxCount, kind)
				return all
			}
			all = append(all, definition{section: s.Section, table: t})
		}
	}
	return all
}

// regionPair reads the regions from and to of a table, which must differ. It
// reports false after it has added an error.
func (b *builder) regionPair(t *toml.Table) (from, to RegionID, ok bool) {
	fromID, hasFrom := b.regions.resolve(t, "from")
	toID, hasTo := b.regions.resolve(t, "to")
	if !hasFrom || !hasTo {
		return 0, 0, false
	}
	if fromID == toID {
		t.Errorf("to", "must be another region than from")
		return 0, 0, false
	}
	return RegionID(fromID), RegionID(toID), true
}

// readPriority reads a priority from a table.
func readPriority(t *toml.Table, key string) Priority {
	return toml.Value(t, key, "urgent, normal or background", func(text string) (Priority, error) {
		for p, known := range priorityNames {
			if known == text {
				return Priority(p), nil
			}
		}
		return 0, fmt.Errorf("%.64q must be urgent, normal or background", text)
	})
}

// readPathPrefix reads the prefix of a URL path from a table. It returns an
// empty string after it has added an error.
func readPathPrefix(t *toml.Table, key string) string {
	path := t.MatchingString(key, pathPattern, "must start with / and have no spaces")
	if len(path) > maxPathBytes || strings.ContainsAny(path, "?#") {
		t.Errorf(key, "must have at most %d bytes, no ? and no #", maxPathBytes)
		return ""
	}
	return path
}
