package traffic

import (
	"fmt"
	"time"

	"pistachioford.example/core/document"
)

// Services of the test document.
const (
	readUrgent document.ServiceID = iota
	readNormal
	readBackground
	order
	upload
)

// testDocument returns a document of region A with zones 0 and 1 and region B
// with zone 2. Each zone has the given number of targets of each group, with 3
// slots.
func testDocument(targets int) *document.Compiled {
	c := &document.Compiled{
		Revision: 1, KeyRetention: time.Hour,
		Regions: []document.Region{{Name: "A", Zones: []document.ZoneID{0, 1}}, {Name: "B", Zones: []document.ZoneID{2}}},
		Zones:   []document.Zone{{Name: "a1", Region: 0, Shards: 2}, {Name: "a2", Region: 0, Shards: 1}, {Name: "b1", Region: 1, Shards: 1}},
		Groups:  []document.Group{{Name: "reads"}, {Name: "writes"}},
		Links: []document.Link{
			{From: 0, To: 1, BytesPerSecond: 1e8, Delay: time.Millisecond},
			{From: 1, To: 0, BytesPerSecond: 1e8, Delay: time.Millisecond},
		},
		Services: []document.Service{
			{Name: "urgent", Priority: document.Urgent, Share: 0.5, Idempotent: true},
			{Name: "normal", Priority: document.Normal, Share: 0.3, Idempotent: true},
			{Name: "background", Priority: document.Background, Share: 0.1, Idempotent: true},
			{Name: "order", Group: 1, Priority: document.Normal, Share: 0.5},
			{Name: "upload", Group: 1, Priority: document.Background, Share: 0.3},
		},
	}
	for s := range c.Services {
		c.Services[s].Deadline, c.Services[s].ResponseBytes = time.Second, 1000
		for from := range document.RegionID(2) {
			c.Shifts = append(c.Shifts, document.Shift{
				Service: document.ServiceID(s), From: from, To: 1 - from, CapPerSecond: 400, StartPerSecond: 400,
			})
		}
	}
	for g := range c.Groups {
		c.Groups[g].Targets = make([][]document.TargetID, len(c.Zones))
		for z := range c.Zones {
			for i := range targets {
				id := document.TargetID(len(c.Targets))
				name := fmt.Sprintf("%s-%d-%d", c.Groups[g].Name, z, i)
				c.Targets = append(c.Targets, document.Target{
					Name: name, Group: document.GroupID(g), Zone: document.ZoneID(z), Address: name + ":80", Slots: 3,
				})
				c.Groups[g].Targets[z] = append(c.Groups[g].Targets[z], id)
			}
		}
	}
	return c
}

// shardsOf returns the given shards of a zone, held since long before the start
// of a test.
func shardsOf(zone document.ZoneID, indexes ...uint16) []HeldShard {
	var held []HeldShard
	for _, i := range indexes {
		held = append(held, HeldShard{Shard: document.ShardID{Zone: zone, Index: i}, OwnedSince: time.Unix(1_600_000_000, 0)})
	}
	return held
}

// startNodes starts one node for each shard of the test document.
func startNodes(w *world) {
	w.addNode(0).setShards(shardsOf(0, 0))
	w.addNode(0).setShards(shardsOf(0, 1))
	w.addNode(1).setShards(shardsOf(1, 0))
	w.addNode(2).setShards(shardsOf(2, 0))
	w.updatePeers()
}

// keyAt returns a key with the prefix of a shard and a UUIDv7 of the given
// time.
func keyAt(zone string, shard int, at time.Time, serial int) string {
	ms := at.UnixMilli()
	return fmt.Sprintf("%s.%d.%08x-%04x-7%03x-8000-%012x", zone, shard, ms>>16, ms&0xffff, serial&0xfff, serial)
}
