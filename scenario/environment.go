package scenario

import (
	"fmt"
	"time"

	"pistachioford.example/core/document"
)

// Environment is the document of one example user, together with the delays and
// service times that its traffic meets.
type Environment struct {
	Document    *document.Compiled
	ZoneDelay   time.Duration // one way between zones of a region
	RegionDelay time.Duration // one way between regions
	ClientDelay time.Duration // one way between callers and their region
	// ServiceTimes holds the mean service time of an upstream, by group.
	ServiceTimes []time.Duration
}

func (env *Environment) delay(from, to int) time.Duration {
	a, b := &env.Document.Zones[from], &env.Document.Zones[to]
	switch {
	case from == to:
		return sameZoneDelay
	case a.Region == b.Region:
		return env.ZoneDelay
	default:
		return env.RegionDelay
	}
}

// groupPlan is the short form of a group with its targets and services.
type groupPlan struct {
	name        string
	targets     int
	serviceTime time.Duration
	services    []servicePlan
}

// servicePlan is the short form of a service.
type servicePlan struct {
	name          string
	priority      document.Priority
	deadline      time.Duration
	idempotent    bool
	responseBytes int64
}

const (
	readDeadline   = 2 * time.Second
	orderDeadline  = 5 * time.Second
	uploadDeadline = 30 * time.Second
)

// defaultShares holds the guaranteed shares of services, by priority.
var defaultShares = [document.NumPriorities]float64{0.5, 0.3, 0.1}

// NewEnvironment returns the environment of the example user with that name, or
// nil if there is none.
func NewEnvironment(name string) *Environment {
	switch name {
	case "kolebe":
		return kolebe()
	case "ceiba":
		return ceiba()
	}
	return nil
}

// kolebe returns the environment of the charcoal wholesaler in section 1.1 of
// the design page.
func kolebe() *Environment {
	env := &Environment{ZoneDelay: 3 * time.Millisecond, RegionDelay: 35 * time.Millisecond, ClientDelay: time.Millisecond}
	env.buildDocument([]string{"gauteng", "kzn", "wcape"}, 400_000_000, []groupPlan{
		{"stock", 20, 20 * time.Millisecond, []servicePlan{
			{"stock-check", document.Urgent, readDeadline, true, 2 << 10},
			{"stock-read", document.Normal, readDeadline, true, 8 << 10},
			{"stock-export", document.Background, readDeadline, true, 32 << 10},
		}},
		{"orders", 12, 50 * time.Millisecond, []servicePlan{{"order", document.Urgent, orderDeadline, false, 2 << 10}}},
		{"documents", 12, 200 * time.Millisecond, []servicePlan{{"upload", document.Background, uploadDeadline, false, 512}}},
		{"pricing", 12, 30 * time.Millisecond, []servicePlan{{"price-read", document.Normal, readDeadline, true, 4 << 10}}},
	})
	return env
}

// ceiba returns the environment of the comment moderation service in section
// 1.1 of the design page.
func ceiba() *Environment {
	env := &Environment{ZoneDelay: 5 * time.Millisecond, RegionDelay: 12 * time.Millisecond, ClientDelay: 8 * time.Millisecond}
	env.buildDocument([]string{"sjo", "lib", "lim"}, 30_000_000, []groupPlan{
		{"queues", 20, 30 * time.Millisecond, []servicePlan{
			{"flag-peek", document.Urgent, readDeadline, true, 2 << 10},
			{"queue-read", document.Normal, readDeadline, true, 8 << 10},
			{"history-read", document.Background, readDeadline, true, 16 << 10},
		}},
		{"decisions", 12, 50 * time.Millisecond, []servicePlan{{"decide", document.Normal, orderDeadline, false, 1 << 10}}},
		{"evidence", 12, 200 * time.Millisecond, []servicePlan{{"evidence", document.Background, uploadDeadline, false, 512}}},
		{"flagged", 12, 40 * time.Millisecond, []servicePlan{{"flagged-pull", document.Urgent, readDeadline, true, 16 << 10}}},
	})
	return env
}

// buildDocument creates the document: two zones in each region, the targets of
// each group spread over all zones in turn, and the same link budget and shift
// cap between all pairs of regions.
func (env *Environment) buildDocument(regions []string, bytesPerSecond int64, groups []groupPlan) {
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
		env.ServiceTimes = append(env.ServiceTimes, g.serviceTime)
		addGroup(doc, g)
	}
	addRegionPairs(doc, bytesPerSecond, env.RegionDelay)
	env.Document = doc
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
			Name: s.name, Group: id, Priority: s.priority, Share: defaultShares[s.priority],
			Deadline: s.deadline, Idempotent: s.idempotent, ResponseBytes: s.responseBytes,
		})
	}
}

func addRegionPairs(doc *document.Compiled, bytesPerSecond int64, delay time.Duration) {
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

func (env *Environment) service(name string) (document.ServiceID, bool) {
	for i := range env.Document.Services {
		if env.Document.Services[i].Name == name {
			return document.ServiceID(i), true
		}
	}
	return 0, false
}

// zones returns the zones selected by the name of a zone or region, or by "all".
func (env *Environment) zones(name string) []document.ZoneID {
	var ids []document.ZoneID
	for i := range env.Document.Zones {
		zone := &env.Document.Zones[i]
		if name == "all" || zone.Name == name || env.Document.Regions[zone.Region].Name == name {
			ids = append(ids, document.ZoneID(i))
		}
	}
	return ids
}
