package scenario

import (
	"fmt"
	"time"

	"pistachioford.example/core/document"
)

// Platform is the document and the surroundings of one user.
type Platform struct {
	Document    *document.Compiled
	ZoneDelay   time.Duration // one way between zones of a region
	RegionDelay time.Duration // one way between regions
	ClientDelay time.Duration // one way between callers and their region
	// Work is the mean time that an upstream takes, by group.
	Work []time.Duration
}

func (p *Platform) delay(from, to int) time.Duration {
	a, b := &p.Document.Zones[from], &p.Document.Zones[to]
	switch {
	case from == to:
		return sameZoneDelay
	case a.Region == b.Region:
		return p.ZoneDelay
	default:
		return p.RegionDelay
	}
}

// groupPlan and servicePlan describe a document in short form.
type groupPlan struct {
	name     string
	targets  int
	work     time.Duration
	services []servicePlan
}

type servicePlan struct {
	name       string
	priority   document.Priority
	deadline   time.Duration
	idempotent bool
	answer     int64
}

const (
	readDeadline   = 2 * time.Second
	orderDeadline  = 5 * time.Second
	uploadDeadline = 30 * time.Second
)

// guaranteed holds the default shares by priority.
var guaranteed = [document.Priorities]float64{0.5, 0.3, 0.1}

// NewPlatform returns the platform of a user by name, nil if there is none.
func NewPlatform(name string) *Platform {
	switch name {
	case "kolebe":
		return kolebe()
	case "ceiba":
		return ceiba()
	}
	return nil
}

// kolebe is the charcoal wholesale of section 1.1 of the design page.
func kolebe() *Platform {
	p := &Platform{ZoneDelay: 3 * time.Millisecond, RegionDelay: 35 * time.Millisecond, ClientDelay: time.Millisecond}
	p.build([]string{"gauteng", "kzn", "wcape"}, 400_000_000, []groupPlan{
		{"stock", 20, 20 * time.Millisecond, []servicePlan{
			{"stock-check", document.Urgent, readDeadline, true, 2 << 10},
			{"stock-read", document.Normal, readDeadline, true, 8 << 10},
			{"stock-export", document.Background, readDeadline, true, 32 << 10},
		}},
		{"orders", 12, 50 * time.Millisecond, []servicePlan{{"order", document.Urgent, orderDeadline, false, 2 << 10}}},
		{"documents", 12, 200 * time.Millisecond, []servicePlan{{"upload", document.Background, uploadDeadline, false, 512}}},
		{"pricing", 12, 30 * time.Millisecond, []servicePlan{{"price-read", document.Normal, readDeadline, true, 4 << 10}}},
	})
	return p
}

// ceiba is the comment moderation of section 1.1 of the design page.
func ceiba() *Platform {
	p := &Platform{ZoneDelay: 5 * time.Millisecond, RegionDelay: 12 * time.Millisecond, ClientDelay: 8 * time.Millisecond}
	p.build([]string{"sjo", "lib", "lim"}, 30_000_000, []groupPlan{
		{"queues", 20, 30 * time.Millisecond, []servicePlan{
			{"flag-peek", document.Urgent, readDeadline, true, 2 << 10},
			{"queue-read", document.Normal, readDeadline, true, 8 << 10},
			{"history-read", document.Background, readDeadline, true, 16 << 10},
		}},
		{"decisions", 12, 50 * time.Millisecond, []servicePlan{{"decide", document.Normal, orderDeadline, false, 1 << 10}}},
		{"evidence", 12, 200 * time.Millisecond, []servicePlan{{"evidence", document.Background, uploadDeadline, false, 512}}},
		{"flagged", 12, 40 * time.Millisecond, []servicePlan{{"flagged-pull", document.Urgent, readDeadline, true, 16 << 10}}},
	})
	return p
}

// build fills the document: two zones in each region, targets in turn over all
// zones, and the default shift cap between all pairs of regions.
func (p *Platform) build(regions []string, bytesPerSecond int64, groups []groupPlan) {
	doc := &document.Compiled{
		Revision:     1,
		KeyRetention: time.Hour,
		Quarantine:   uploadDeadline,
		LookupTTL:    10 * time.Second,
	}
	for r, name := range regions {
		region := document.Region{Name: name}
		for _, suffix := range []string{"a", "b"} {
			region.Zones = append(region.Zones, document.ZoneID(len(doc.Zones)))
			zone := document.Zone{Name: name + "-" + suffix, Region: document.RegionID(r), Shards: 2}
			doc.Zones = append(doc.Zones, zone)
		}
		doc.Regions = append(doc.Regions, region)
	}
	for _, g := range groups {
		p.Work = append(p.Work, g.work)
		addGroup(doc, g)
	}
	addPairs(doc, bytesPerSecond, p.RegionDelay)
	p.Document = doc
}

func addGroup(doc *document.Compiled, plan groupPlan) {
	id := document.GroupID(len(doc.Groups))
	group := document.Group{Name: plan.name, Targets: make([][]document.TargetID, len(doc.Zones)), ShedStatuses: []int{503}}
	for i := range plan.targets {
		zone := i % len(doc.Zones)
		target := document.Target{
			Name: fmt.Sprintf("%s-%s-%d", plan.name, doc.Zones[zone].Name, i/len(doc.Zones)), Group: id,
			Zone: document.ZoneID(zone), Address: fmt.Sprintf("10.%d.%d.%d:80", id, zone, i), Slots: 3, Connections: 400,
		}
		group.Targets[zone] = append(group.Targets[zone], document.TargetID(len(doc.Targets)))
		doc.Targets = append(doc.Targets, target)
	}
	doc.Groups = append(doc.Groups, group)
	for _, s := range plan.services {
		doc.Services = append(doc.Services, document.Service{
			Name: s.name, Group: id, Priority: s.priority, Share: guaranteed[s.priority],
			Deadline: s.deadline, Idempotent: s.idempotent, AnswerBytes: s.answer,
		})
	}
}

func addPairs(doc *document.Compiled, bytesPerSecond int64, delay time.Duration) {
	for from := range doc.Regions {
		for to := range doc.Regions {
			if from == to {
				continue
			}
			a, b := document.RegionID(from), document.RegionID(to)
			doc.Links = append(doc.Links, document.Link{From: a, To: b, BytesPerSecond: bytesPerSecond, Delay: delay})
			for s := range doc.Services {
				doc.Shifts = append(doc.Shifts, document.Shift{
					Service: document.ServiceID(s), From: a, To: b,
					CapPerSecond: 200, StartPerSecond: 20, Ramp: time.Minute,
				})
			}
		}
	}
}

func (p *Platform) service(name string) (document.ServiceID, bool) {
	for i := range p.Document.Services {
		if p.Document.Services[i].Name == name {
			return document.ServiceID(i), true
		}
	}
	return 0, false
}

// zones returns the zones that a name selects: a zone, a region, or "all".
func (p *Platform) zones(name string) []document.ZoneID {
	var ids []document.ZoneID
	for i := range p.Document.Zones {
		zone := &p.Document.Zones[i]
		if name == "all" || zone.Name == name || p.Document.Regions[zone.Region].Name == name {
			ids = append(ids, document.ZoneID(i))
		}
	}
	return ids
}
