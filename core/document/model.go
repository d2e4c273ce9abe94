// Package document defines the steering document: its types, its TOML form
// with line numbers in errors, the validation across all sections and the
// compiled form that the engines use.
package document

import "time"

// Identifiers are indexes into the tables of one Compiled document.
type (
	RegionID  uint16
	ZoneID    uint16
	GroupID   uint16
	ServiceID uint16
	TargetID  uint32
	SiteID    uint16
)

// ShardID identifies one shard of an availability zone.
type ShardID struct {
	Zone  ZoneID
	Index uint16
}

// Priority ranks services; a lower value is more urgent.
type Priority uint8

// Priorities of services, the most urgent first.
const (
	Urgent Priority = iota
	Normal
	Background
	// NumPriorities is the number of priorities.
	NumPriorities = 3
)

// Compiled is a validated document in table form. It is immutable and safe for
// concurrent use once built.
type Compiled struct {
	Revision uint64
	Regions  []Region
	Zones    []Zone
	Groups   []Group
	Services []Service
	Targets  []Target
	Links    []Link
	Shifts   []Shift
	Sites    []Site
	// BlocksManifest is the object name of the manifest of client blocks in the
	// object store. It is empty if the document has none.
	BlocksManifest string
	// KeyRetention is how long an idempotency key is remembered.
	KeyRetention time.Duration
	// Quarantine is how long the next holder of a shard waits after the expiry
	// of the previous lease before it takes the shard. It is at least the
	// longest deadline of a service.
	Quarantine time.Duration
	// LookupTTL is how long callers may cache a lookup response.
	LookupTTL time.Duration
}

// Region is a group of availability zones.
type Region struct {
	Name  string
	Zones []ZoneID
}

// Zone is an availability zone.
type Zone struct {
	Name   string
	Region RegionID
	// Shards is the number of parts into which the zone's limits are divided.
	// It cannot change while the document is active.
	Shards uint16
}

// Group is a set of interchangeable upstream targets.
type Group struct {
	Name string
	// Targets lists the targets of each zone, indexed by ZoneID.
	Targets [][]TargetID
	// ShedStatuses are the HTTP statuses by which the group's upstreams say
	// that they did not run a request.
	ShedStatuses []int
}

// Service is a class of requests with its deadline, priority and share.
type Service struct {
	Name string
	// Host and PathPrefix select the requests of the service; an empty Host
	// matches every host.
	Host       string
	PathPrefix string
	Group      GroupID
	Priority   Priority
	// Share is the guaranteed share of the group's slots, 0 to 1.
	Share float64
	// Deadline bounds one request including its retries.
	Deadline time.Duration
	// Idempotent reports whether a request may run more than once.
	Idempotent bool
	// ResponseBytes is the expected size of a response. It is charged to the link
	// on which the response returns.
	ResponseBytes int64
}

// Target is one upstream.
type Target struct {
	Name    string
	Group   GroupID
	Zone    ZoneID
	Address string // IP:port
	// Slots is the number of requests that may run on the target at a time.
	// Each slot is owned by one shard of the zone, see SlotOwner.
	Slots uint16
	// Connections is the connection limit of the target over all instances.
	Connections uint16
	// Draining reports whether the target gets no new requests.
	Draining bool
}

// Link is the network path from one region to another, with the budget of that
// direction.
type Link struct {
	From, To RegionID
	// BytesPerSecond is the bandwidth of the link that steering may use.
	BytesPerSecond int64
	// Delay is the typical one-way delay.
	Delay time.Duration
}

// Shift moves a fraction of a service's requests from one region to another.
// Its cap applies to all requests of the service that move in this direction,
// including those that move because of failures.
type Shift struct {
	Service  ServiceID
	From, To RegionID
	// Fraction is the fraction of the requests in From to move, 0 to 1.
	Fraction float64
	// CapPerSecond is the maximum number of requests per second that may move.
	CapPerSecond float64
	// StartPerSecond is the rate limit at which a shift starts. The limit rises
	// to the cap within Ramp, so that cold caches can fill.
	StartPerSecond float64
	Ramp           time.Duration
}

// Site is a location of clients. Blocks of client addresses map to sites, and a
// site to the zone that serves its clients.
type Site struct {
	Name string
	Zone ZoneID
}

// SlotOwner returns the shard of the target's zone that owns slot k of target
// t. It depends on the hash of the target's name and not on its identifier, so
// that edits of other targets move no slot.
func (c *Compiled) SlotOwner(t TargetID, k uint16) ShardID {
	target := &c.Targets[t]
	shards := uint64(c.Zones[target.Zone].Shards)
	index := (nameHash(target.Name) + uint64(k)) % shards
	return ShardID{Zone: target.Zone, Index: uint16(index)}
}

// LinkBetween returns the link from one region to another, or nil if the
// document declares none.
func (c *Compiled) LinkBetween(from, to RegionID) *Link {
	for i := range c.Links {
		if c.Links[i].From == from && c.Links[i].To == to {
			return &c.Links[i]
		}
	}
	return nil
}

// RegionShards returns the total number of shards of a region's zones.
func (c *Compiled) RegionShards(r RegionID) int {
	total := 0
	for _, z := range c.Regions[r].Zones {
		total += int(c.Zones[z].Shards)
	}
	return total
}
