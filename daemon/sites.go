package daemon

import (
	"net/netip"

	"pistachioford.example/core/blocks"
	"pistachioford.example/core/document"
	"pistachioford.example/pistachioford/entry"
)

// sites implements entry.Sites. It maps the site numbers of a table of client
// blocks to those of a document, by site name.
type sites struct {
	table *blocks.Table
	// ids and known are indexed by the site numbers of the table. known is false
	// for sites that the document does not have.
	ids   []document.SiteID
	known []bool
}

// newSites returns the mapping from the sites of table to those of doc. It
// returns nil if there is no table or no document yet.
func newSites(table *blocks.Table, doc *document.Compiled) entry.Sites {
	if table == nil || doc == nil {
		return nil
	}
	byName := map[string]document.SiteID{}
	for i := range doc.Sites {
		byName[doc.Sites[i].Name] = document.SiteID(i)
	}
	names := table.Sites()
	s := &sites{table: table, ids: make([]document.SiteID, len(names)), known: make([]bool, len(names))}
	for i, name := range names {
		s.ids[i], s.known[i] = byName[name]
	}
	return s
}

// Locate returns the site of a client address. It may be called from any
// goroutine.
func (s *sites) Locate(address netip.Addr) (document.SiteID, bool) {
	site, found := s.table.Lookup(address)
	if !found || !s.known[site] {
		return 0, false
	}
	return s.ids[site], true
}
