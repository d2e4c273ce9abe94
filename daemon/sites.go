package daemon

import (
	"net/netip"

	"pistachioford.example/core/blocks"
	"pistachioford.example/core/document"
)

// sites implements entry.Sites by the table of client blocks.
type sites struct{ table *blocks.Table }

// Locate may be called from any goroutine.
func (s sites) Locate(address netip.Addr) (document.SiteID, bool) {
	site, found := s.table.Lookup(address)
	return document.SiteID(site), found
}
