package entry

import (
	"cmp"
	"math/rand/v2"
	"net/netip"
	"slices"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/gofiber/fiber/v2"

	"pistachioford.example/core/control"
	"pistachioford.example/core/document"
)

// LookupPath is the path of the lookup on the callers' port.
const LookupPath = "/v1/entries"

// defaultLookupTTL is used while no document is active.
const defaultLookupTTL = 10 * time.Second

// LookupAnswer is the JSON body of a lookup.
type LookupAnswer struct {
	Entries    []LookupEntry `json:"entries"`
	TTLSeconds int           `json:"ttl_seconds"`
	KeyPrefix  string        `json:"key_prefix"`
	Site       string        `json:"site"`
	Revision   uint64        `json:"revision"`
}

// LookupEntry is one entry instance.
type LookupEntry struct {
	Address string `json:"address"`
	Zone    string `json:"zone"`
	Region  string `json:"region"`
}

// Lookup answers which entry instances a caller should use.
type Lookup struct {
	self Self
	view *atomic.Pointer[View]
}

// NewLookup returns a Lookup that reads the published view.
func NewLookup(self Self, view *atomic.Pointer[View]) *Lookup {
	return &Lookup{self: self, view: view}
}

// Serve is the handler of LookupPath.
func (l *Lookup) Serve(c *fiber.Ctx) error {
	client := clientOf(c.Context())
	if text := c.Query("client"); text != "" {
		parsed, err := netip.ParseAddr(text)
		if err != nil {
			return c.Status(fiber.StatusBadRequest).SendString("client: not an IP address\n")
		}
		client = parsed.Unmap()
	}
	view := l.view.Load()
	if view.Leaving {
		c.Context().SetConnectionClose()
	}
	return c.JSON(l.Answer(view, client))
}

// candidate is an instance with its rank; a lower rank is nearer.
type candidate struct {
	entry  LookupEntry
	shards []document.ShardID
	rank   time.Duration
}

// Answer lists the live instances, nearest holders of shards first. It may be
// called from any goroutine.
func (l *Lookup) Answer(view *View, client netip.Addr) LookupAnswer {
	zone, site := l.place(view, client)
	answer := LookupAnswer{Entries: []LookupEntry{}, TTLSeconds: int(defaultLookupTTL / time.Second), Site: site}
	doc := view.Document
	if doc != nil {
		answer.Revision = doc.Revision
		answer.TTLSeconds = int(doc.LookupTTL / time.Second)
	}
	candidates := l.candidates(view, zone)
	// Callers that all ask one instance are spread over those that are as near.
	rand.Shuffle(len(candidates), func(i, j int) { candidates[i], candidates[j] = candidates[j], candidates[i] })
	slices.SortStableFunc(candidates, func(a, b candidate) int { return cmp.Compare(a.rank, b.rank) })
	for i := range candidates {
		answer.Entries = append(answer.Entries, candidates[i].entry)
	}
	if shard, found := view.keyShard(candidates, time.Now()); found && doc != nil {
		answer.KeyPrefix = prefixOf(doc, shard)
	}
	return answer
}

// place returns the zone from which distances count, and the client's site.
func (l *Lookup) place(view *View, client netip.Addr) (zone, site string) {
	if view.Document == nil || view.Sites == nil {
		return l.self.Zone, ""
	}
	id, ok := view.Sites.Locate(client)
	if !ok || int(id) >= len(view.Document.Sites) {
		return l.self.Zone, ""
	}
	s := &view.Document.Sites[id]
	return view.Document.Zones[s.Zone].Name, s.Name
}

func (l *Lookup) candidates(view *View, zone string) []candidate {
	found := make([]candidate, 0, len(view.Peers)+1)
	if !view.Leaving {
		found = append(found, l.own(view, zone))
	}
	for i := range view.Peers {
		if peer := &view.Peers[i]; !peer.Leaving && !peer.Unreachable && peer.Caller != "" {
			found = append(found, candidate{
				entry:  LookupEntry{Address: peer.Caller, Zone: peer.Zone, Region: peer.Region},
				shards: peer.Shards,
				rank:   rank(view.Document, zone, peer.Zone, len(peer.Shards) > 0),
			})
		}
	}
	return found
}

func (l *Lookup) own(view *View, zone string) candidate {
	return candidate{
		entry:  LookupEntry{Address: l.self.Callers, Zone: l.self.Zone, Region: l.self.Region},
		shards: heldShards(view.Held),
		rank:   rank(view.Document, zone, l.self.Zone, len(view.Held) > 0),
	}
}

func heldShards(held []control.HeldShard) []document.ShardID {
	shards := make([]document.ShardID, len(held))
	for i := range held {
		shards[i] = held[i].Shard
	}
	return shards
}

// Distances that order the entries where the document states no delay.
const (
	otherZone   = time.Millisecond
	otherRegion = time.Second
	// withoutShard puts instances that can only forward after all holders.
	withoutShard = time.Minute
)

// rank is the distance from a zone to an instance.
func rank(doc *document.Compiled, from, to string, holder bool) time.Duration {
	distance := time.Duration(0)
	if from != to {
		distance = delay(doc, from, to)
	}
	if !holder {
		distance += withoutShard
	}
	return distance
}

func delay(doc *document.Compiled, from, to string) time.Duration {
	if doc == nil {
		return otherRegion
	}
	a, knownA := zoneByName(doc, from)
	b, knownB := zoneByName(doc, to)
	if !knownA || !knownB {
		return otherRegion
	}
	regionA, regionB := doc.Zones[a].Region, doc.Zones[b].Region
	if regionA == regionB {
		return otherZone
	}
	if link := doc.LinkBetween(regionA, regionB); link != nil {
		return otherZone + link.Delay
	}
	return otherRegion
}

func prefixOf(doc *document.Compiled, shard document.ShardID) string {
	return doc.Zones[shard.Zone].Name + "." + strconv.Itoa(int(shard.Index))
}
