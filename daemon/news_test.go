package daemon

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"pistachioford.example/core/control"
	"pistachioford.example/pistachioford/entry"
)

// Guards against control traffic that grows with the fleet, and against hints
// that miss the instances that requests are forwarded to first.
func TestHintedPeers(t *testing.T) {
	tests := []struct {
		zone, region, far int
		want              [3]int
	}{
		{zone: 1, region: 2, far: 8, want: [3]int{1, 2, 8}},
		{zone: 50, region: 100, far: 300, want: [3]int{4, 4, 4}},
		{zone: 50, want: [3]int{4, 0, 0}},
		{far: 300, want: [3]int{0, 0, 12}},
	}
	for _, test := range tests {
		is := is.New(t)
		d := &Daemon{self: entry.Self{ID: "self", Zone: "a", Region: "north"}}
		var peers []control.Peer
		for tier, n := range [3]int{test.zone, test.region, test.far} {
			for i := range n {
				p := control.Peer{ID: control.InstanceID(fmt.Sprint(tier, i)), Address: fmt.Sprint(tier), Zone: "b", Region: "south"}
				if tier <= 1 {
					p.Region = "north"
				}
				if tier == 0 {
					p.Zone = "a"
				}
				peers = append(peers, p)
			}
		}
		var got [3]int
		for _, address := range d.hinted(peers) {
			got[address[0]-'0']++
		}
		is.Equal(got, test.want)
	}
}

// Guards against an upstream that counts as back while one source still says
// that it is leaving.
func TestUpstreamSigns(t *testing.T) {
	is := is.New(t)
	var s upstreamSigns
	steps := []struct {
		source      signSource
		leaving     bool
		at          time.Duration
		began, back bool
	}{
		{source: signHealth},
		{source: signHealth, leaving: true, began: true},
		{source: signListed, leaving: true},
		{source: signHealth},
		{source: signListed, back: true},
		{source: signListed},
		{source: signTold, leaving: true, at: time.Hour, began: true},
		{source: signHealth, at: time.Hour + time.Second}, // may be an old report
		{source: signListed, at: time.Hour + time.Minute},
		{source: signHealth, at: time.Hour + toldGrace, back: true},
	}
	for _, step := range steps {
		began, back := s.note("x", step.source, step.leaving, time.Unix(0, 0).Add(step.at))
		is.Equal(began, step.began)
		is.Equal(back, step.back)
	}
}
