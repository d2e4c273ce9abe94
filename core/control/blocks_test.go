package control

import (
	"fmt"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"pistachioford.example/core/blocks"
)

func blockLines(n int) []string {
	var lines []string
	for i := range n {
		lines = append(lines, fmt.Sprintf("%d.%d.%d.0/24,site-%d", 1+i>>16, i>>8&255, i&255, i%77))
	}
	return lines
}

// publishBlocks puts a table into the object store and names its manifest in the
// document.
func (s *sim) publishBlocks(t *testing.T, lines []string, previous *blocks.Manifest) *blocks.Manifest {
	t.Helper()
	r, err := blocks.Build(strings.NewReader(strings.Join(lines, "\n")), previous)
	if err != nil {
		t.Fatal(err)
	}
	if s.store.objects == nil {
		s.store.objects = map[string][]byte{}
	}
	for hash, data := range r.Chunks {
		s.store.objects[blocks.ObjectName(hash)] = data
	}
	data, hash := r.Manifest.Encode()
	s.store.objects[blocks.ObjectName(hash)] = data
	s.blocks = blocks.ObjectName(hash)
	return r.Manifest
}

func (s *sim) allHaveBlocks() bool {
	for _, n := range s.live() {
		if "blocks/"+n.engine.blocks.hash != s.blocks {
			return false
		}
	}
	return true
}

// Guards against client blocks that never arrive, a small change that transfers
// the whole table, and a restart that needs the object store.
func TestClientBlocks(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	s := newSim(13, 3, 2)
	lines := blockLines(200_000)
	first := s.publishBlocks(t, lines, nil)
	startFleet(t, s, 2)
	took := s.runUntil(2*time.Minute, s.allHaveBlocks)
	t.Logf("%d chunks after %v", len(first.Chunks), took)
	is.True(s.allHaveBlocks())
	site, found := s.all[0].engine.blocks.table.Lookup(netip.MustParseAddr("1.0.78.9"))
	is.True(found && s.all[0].engine.blocks.table.Sites()[site] == "site-1")

	lines[100_000] = strings.Split(lines[100_000], ",")[0] + ",site-0"
	s.publishBlocks(t, lines, first)
	reads := s.store.reads
	s.store.edit("a", "names the new manifest")
	changed := s.runUntil(time.Minute, s.allHaveBlocks)
	t.Logf("one changed chunk after %v, %d reads", changed, s.store.reads-reads)
	is.True(changed < 10*time.Second)

	s.store.objects = nil
	s.all[0].kill()
	s.boot(0)
	is.True(s.runUntil(time.Minute, s.allHaveBlocks) < time.Minute)
	s.checkNoViolations(t)
}
