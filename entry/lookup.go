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

// defaultLookupTTL applies while no document is active.
const defaultLookupTTL = 10 * time.Second

// LookupResponse is the JSON body of the response to a lookup.
type LookupResponse struct {
	Entries    []LookupEntry `json:"entries"`
	TTLSeconds int           `json:"ttl_seconds"`
	KeyPrefix  string        `json:"key_prefix"`
	Site       string        `json:"site"`
	Revision   uint64        `json:"revision"`
}

// LookupEntry describes one entry instance.
type LookupEntry struct {
	Address string `json:"address"`
	Zone    string `json:"zone"`
	Region  string `json:"region"`
}

// Lookup serves callers the list of the entry instances to use.
type Lookup struct {
	self Self
	view *atomic.Pointer[View]
}

// NewLookup returns a Lookup that reads the published view.
func NewLookup(self Self, view *atomic.Pointer[View]) *Lookup {
	return &Lookup{self: self, view: view}
}

// Serve handles requests for LookupPath.
func (l *Lookup) Serve(c *fiber.Ctx) error {
	client := clientAddr(c.Context())
	if clientParam := c.Query("client"); clientParam != "" {
		parsed, err := netip.ParseAddr(clientParam)
		if err != nil {
			return c.Status(fiber.StatusBadRequest).SendString("client: not an IP address\n")
		}
		client = parsed.Unmap()
	}
	view := l.view.Load()
	if view.Leaving {
		c.Context().SetConnectionClose()
	}
	return c.JSON(l.Response(view, client))
}

// candidate is an instance that a lookup lists; a lower rank is nearer.
type candidate struct {
	entry  LookupEntry
	shards []document.ShardID
	rank   time.Duration
}

// Response lists the live instances: first those that hold shards, then those
// that only forward, each nearest first. It is safe for concurrent use.
func (l *Lookup) Response(view *View, client netip.Addr) LookupResponse {
	zone, site := l.locate(view, client)
	response := LookupResponse{Entries: []LookupEntry{}, TTLSeconds: int(defaultLookupTTL / time.Second), Site: site}
	doc := view.Document
	if doc != nil {
		response.Revision = doc.Revision
		response.TTLSeconds = int(doc.LookupTTL / time.Second)
	}
	candidates := l.candidates(view, zone)
	// Shuffling spreads callers that all ask one instance over equally near ones.
	rand.Shuffle(len(candidates), func(i, j int) { candidates[i], candidates[j] = candidates[j], candidates[i] })
	slices.SortStableFunc(candidates, func(a, b candidate) int { return cmp.Compare(a.rank, b.rank) })
	for i := range candidates {
		response.Entries = append(response.Entries, candidates[i].entry)
	}
	if shard, found := view.selectKeyShard(candidates, time.Now()); found && doc != nil {
		response.KeyPrefix = keyPrefix(doc, shard)
	}
	return response
}

// locate returns the zone from which distances are measured and the client's
// site. For an unknown site these are the own zone and "".
func (l *Lookup) locate(view *View, client netip.Addr) (zone, site string) {
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
	candidates := make([]candidate, 0, len(view.Peers)+1)
	if !view.Leaving {
		candidates = append(candidates, l.selfCandidate(view, zone))
	}
	for i := range view.Peers {
		if peer := &view.Peers[i]; !peer.Leaving && !peer.Unreachable && peer.CallerAddress != "" {
			candidates = append(candidates, candidate{
				entry:  LookupEntry{Address: peer.CallerAddress, Zone: peer.Zone, Region: peer.Region},
				shards: peer.Shards,
				rank:   rank(view.Document, zone, peer.Zone, len(peer.Shards) > 0),
			})
		}
	}
	return candidates
}

func (l *Lookup) selfCandidate(view *View, zone string) candidate {
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

// Distances that order the entries where the document states no link delay.
const (
	interZoneDistance   = time.Millisecond
	interRegionDistance = time.Second
	// noShardPenalty sorts instances that can only forward after all holders.
	noShardPenalty = time.Minute
)

// rank returns the distance between two zones, plus noShardPenalty for an
// instance that holds no shard.
func rank(doc *document.Compiled, from, to string, holdsShard bool) time.Duration {
	distance := time.Duration(0)
	if from != to {
		distance = zoneDistance(doc, from, to)
	}
	if !holdsShard {
		distance += noShardPenalty
	}
	return distance
}

func zoneDistance(doc *document.Compiled, from, to string) time.Duration {
	if doc == nil {
		return interRegionDistance
	}
	a, knownA := zoneByName(doc, from)
	b, knownB := zoneByName(doc, to)
	if !knownA || !knownB {
		return interRegionDistance
	}
	regionA, regionB := doc.Zones[a].Region, doc.Zones[b].Region
	if regionA == regionB {
		return interZoneDistance
	}
	if link := doc.LinkBetween(regionA, regionB); link != nil {
		return interZoneDistance + link.Delay
	}
	return interRegionDistance
}

// keyPrefix returns the prefix ZONE.INDEX of the idempotency keys that belong to
// a shard.
func keyPrefix(doc *document.Compiled, shard document.ShardID) string {
	return doc.Zones[shard.Zone].Name + "." + strconv.Itoa(int(shard.Index))
}
