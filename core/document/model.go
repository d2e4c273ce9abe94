// Package document defines the steering document: its types, its TOML form
// with line numbers in errors, the validation of the whole and the compiled
// form that the engines use.
package document

import "time"

// Identifiers index the tables of one Compiled document.
type (
	RegionID  uint16
	ZoneID    uint16
	GroupID   uint16
	ServiceID uint16
	TargetID  uint32
	SiteID    uint16
)

// ShardID names one shard of an availability zone.
type ShardID struct {
	Zone  ZoneID
	Index uint16
}

// Priority ranks work; a lower value is more urgent.
type Priority uint8

// The three priorities.
const (
	Urgent Priority = iota
	Normal
	Background
	// Priorities is the number of priorities.
	Priorities = 3
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
	// Blocks names the manifest of client blocks in the object store; empty if
	// the document has none.
	Blocks string
	// KeyRetention is how long an idempotency key is remembered.
	KeyRetention time.Duration
	// Quarantine is how long the next holder of a lapsed shard waits after the
	// expiry; it is at least the longest deadline of a service.
	Quarantine time.Duration
	// LookupTTL is how long callers may use a look-up answer.
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
	// Shards is the fixed number of parts into which the zone's limits are
	// divided.
	Shards uint16
}

// Group is a set of interchangeable upstream targets.
type Group struct {
	Name string
	// Targets are indexed by zone.
	Targets [][]TargetID
	// ShedStatuses are the HTTP statuses by which the group's upstreams say
	// that a request did not run.
	ShedStatuses []int
}

// Service is one kind of work.
type Service struct {
	Name string
	// Host and PathPrefix select the requests of the service; an empty Host
	// matches all.
	Host       string
	PathPrefix string
	Group      GroupID
	Priority   Priority
	// Share is the guaranteed share of the group's slots, 0 to 1.
	Share float64
	// Deadline bounds one request including its retries.
	Deadline time.Duration
	// Idempotent requests may be repeated.
	Idempotent bool
	// AnswerBytes is the expected size of an answer, charged to the link back.
	AnswerBytes int64
}

// Target is one upstream.
type Target struct {
	Name        string
	Group       GroupID
	Zone        ZoneID
	Address     string // IP:port
	Slots       uint16
	Connections uint16
	// Draining targets get no new work.
	Draining bool
}

// Link is the budget of one direction between two regions.
type Link struct {
	From, To RegionID
	// BytesPerSecond is the part of the link that steering may use.
	BytesPerSecond int64
	// Delay is the usual one-way delay.
	Delay time.Duration
}

// Shift moves a part of a service's work from one region to another, and caps
// all work of the service that moves that way, also after failures.
type Shift struct {
	Service  ServiceID
	From, To RegionID
	// Fraction of the work in From that is to move, 0 to 1.
	Fraction float64
	// CapPerSecond is the most requests a second that may move.
	CapPerSecond float64
	// StartPerSecond is the rate at which a move starts; it rises to the cap
	// within Ramp, so that cold caches can fill.
	StartPerSecond float64
	Ramp           time.Duration
}

// Site is where a block of clients is sent.
type Site struct {
	Name string
	Zone ZoneID
}

// Owner returns the shard that owns slot k of target t, which lies in a zone
// with the given number of shards. The hash is that of the target's name, so
// that edits of other targets move no slot.
func (c *Compiled) Owner(t TargetID, k uint16) ShardID {
	target := &c.Targets[t]
	shards := uint64(c.Zones[target.Zone].Shards)
	index := (nameHash(target.Name) + uint64(k)) % shards
	return ShardID{Zone: target.Zone, Index: uint16(index)}
}

// LinkBetween returns the link from one region to another, or nil.
func (c *Compiled) LinkBetween(from, to RegionID) *Link {
	for i := range c.Links {
		if c.Links[i].From == from && c.Links[i].To == to {
			return &c.Links[i]
		}
	}
	return nil
}

// RegionShards returns the number of shards of a region's zones.
func (c *Compiled) RegionShards(r RegionID) int {
	total := 0
	for _, z := range c.Regions[r].Zones {
		total += int(c.Zones[z].Shards)
	}
	return total
}
