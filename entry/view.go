package entry

import (
	"net/netip"
	"strings"

	"pistachioford.example/core/control"
	"pistachioford.example/core/document"
)

// Sites finds the site of a client address.
type Sites interface {
	Locate(address netip.Addr) (document.SiteID, bool)
}

// View is an immutable snapshot of the state that the control side publishes.
type View struct {
	// Document is nil until one is active.
	Document *document.Compiled
	// Peers are the other live instances.
	Peers []control.Peer
	// Held are the shards that this instance holds.
	Held []control.HeldShard
	// Leaving is set when this instance is leaving.
	Leaving bool
	// holders is set by UpdateHolders.
	holders map[document.ShardID]holder
	// Sites is nil if the document has no client blocks.
	Sites Sites
}

// Self identifies this instance.
type Self struct {
	ID     string
	Zone   string
	Region string
	// Callers is the address given to callers.
	Callers string
}

// matchService returns the service with the longest matching path prefix. A
// service for this host takes precedence over services for all hosts.
func matchService(doc *document.Compiled, host, path []byte) (document.ServiceID, bool) {
	best, found := document.ServiceID(0), false
	for i := range doc.Services {
		s := &doc.Services[i]
		if !matches(s, host, path) {
			continue
		}
		if !found || moreSpecific(s, &doc.Services[best]) {
			best, found = document.ServiceID(i), true
		}
	}
	return best, found
}

func matches(s *document.Service, host, path []byte) bool {
	if s.Host != "" && !strings.EqualFold(s.Host, string(host)) {
		return false
	}
	return len(path) >= len(s.PathPrefix) && string(path[:len(s.PathPrefix)]) == s.PathPrefix
}

func moreSpecific(a, b *document.Service) bool {
	if (a.Host != "") != (b.Host != "") {
		return a.Host != ""
	}
	return len(a.PathPrefix) > len(b.PathPrefix)
}

// regionByName returns the index of a region, or -1 if it is unknown.
func regionByName(doc *document.Compiled, name string) int {
	for i := range doc.Regions {
		if doc.Regions[i].Name == name {
			return i
		}
	}
	return -1
}

// Zone returns the ID of a zone in the active document.
func (v *View) Zone(name string) (document.ZoneID, bool) {
	if v.Document == nil {
		return 0, false
	}
	return zoneByName(v.Document, name)
}

func zoneByName(doc *document.Compiled, name string) (document.ZoneID, bool) {
	for i := range doc.Zones {
		if doc.Zones[i].Name == name {
			return document.ZoneID(i), true
		}
	}
	return 0, false
}

// homeRegion returns the index of the region of the client's site, or -1 if the
// site is unknown.
func (v *View) homeRegion(client netip.Addr) int {
	if v.Sites == nil || v.Document == nil {
		return -1
	}
	site, ok := v.Sites.Locate(client)
	if !ok || int(site) >= len(v.Document.Sites) {
		return -1
	}
	zone := v.Document.Sites[site].Zone
	return int(v.Document.Zones[zone].Region)
}
