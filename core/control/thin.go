package control

import (
	"strings"
	"time"

	"pistachioford.example/core/document"
	"pistachioford.example/core/lease"
	"pistachioford.example/core/member"
	"pistachioford.example/core/revision"
)

// thin activates the document of the platform and takes free shards. It will be
// replaced by the packages revision and lease.
type thin struct {
	active   uint64
	head     *revision.Head
	compiled *document.Compiled
	polled   time.Time
	held     []HeldShard
	rows     []Row
}

func (e *Engine) zoneID(name string) (document.ZoneID, bool) {
	if e.thin.compiled == nil {
		return 0, false
	}
	for i := range e.thin.compiled.Zones {
		if e.thin.compiled.Zones[i].Name == name {
			return document.ZoneID(i), true
		}
	}
	return 0, false
}

func (t *thin) tick(e *Engine, now time.Time) {
	if now.Sub(t.polled) < time.Second {
		return
	}
	t.polled = now
	if id, ok := e.calls.read(forPoll, now); ok {
		e.do(Read{ID: id, Keys: []string{revision.HeadKey}})
	}
	zone, ok := e.zoneID(e.config.Zone)
	if !ok || len(t.held) > 0 {
		return
	}
	if id, ok := e.calls.read(forRows, now); ok {
		e.do(Read{ID: id, Keys: e.rowKeys(t.compiled.Zones[zone].Shards)})
	}
}

func (t *thin) answered(e *Engine, now time.Time, c call, a PlatformAnswered) {
	if a.Err != nil {
		return
	}
	switch c.purpose {
	case forPoll:
		head, err := revision.DecodeHead(a.Rows[0].Value)
		if a.Rows[0].Version == 0 || err != nil || head.Revision <= t.active {
			return
		}
		id, ok := e.calls.read(forSections, now)
		if !ok {
			return
		}
		t.head = head
		keys := []string{}
		for _, s := range head.Sections {
			keys = append(keys, revision.SectionKey(s.Name, s.Version))
		}
		e.do(Read{ID: id, Keys: keys})
	case forSections:
		t.activate(e, a.Rows)
	case forRows:
		t.rows = a.Rows
		for i, row := range a.Rows {
			if row.Version != 0 {
				continue
			}
			if id, ok := e.calls.write(uint16(i), now); ok {
				value := lease.Row{Holder: string(e.config.ID), Address: e.config.Address, Epoch: 1,
					ExpiryMillis: now.Add(10 * time.Second).UnixMilli()}
				e.do(Write{ID: id, Key: row.Key, Value: value.Encode()})
			}
			return
		}
	case forWrite:
		if a.Conflict {
			return
		}
		zone, _ := e.zoneID(e.config.Zone)
		shard := document.ShardID{Zone: zone, Index: c.shard}
		t.held = append(t.held, HeldShard{Shard: shard, Epoch: 1, TakenAt: now})
		e.do(HoldShards{Held: t.held, Until: now.Add(time.Hour)})
		e.members.SetShards([]member.Shard{{Index: c.shard, Epoch: 1}})
	}
}

func (t *thin) activate(e *Engine, rows []Row) {
	sections := []document.Section{}
	for i, s := range t.head.Sections {
		row, err := revision.DecodeSection(rows[i].Value)
		if err != nil || revision.ContentHash([]byte(row.Text)) != s.Hash {
			e.log("section refused", Field{"section", s.Name}, Field{"reason", "hash"})
			return
		}
		sections = append(sections, document.Section{Name: s.Name, Team: s.Team, Text: row.Text})
	}
	compiled, err := e.config.Compile(t.head.Revision, sections)
	if err != nil {
		message := strings.ReplaceAll(err.Error(), "\n", "; ")
		e.log("document refused", Field{"error", message})
		return
	}
	t.active = t.head.Revision
	t.compiled = compiled
	e.do(ActivateDocument{Document: compiled})
}
