package daemon

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"pistachioford.example/core/control"
	"pistachioford.example/pistachioford/entry"
)

// Guards against load hints to a number of peers that grows with the fleet, and
// against a choice that omits the near instances, to which requests are
// forwarded first.
func TestSelectHintPeers(t *testing.T) {
	tests := []struct {
		zone, region, elsewhere int
		want                    [3]int
	}{
		{zone: 1, region: 2, elsewhere: 8, want: [3]int{1, 2, 8}},
		{zone: 50, region: 100, elsewhere: 300, want: [3]int{4, 4, 4}},
		{zone: 50, want: [3]int{4, 0, 0}},
		{elsewhere: 300, want: [3]int{0, 0, 12}},
	}
	for _, test := range tests {
		is := is.New(t)
		d := &Daemon{self: entry.Self{ID: "self", Zone: "a", Region: "north"}}
		var peers []control.Peer
		for tier, n := range [3]int{test.zone, test.region, test.elsewhere} {
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
		for _, address := range d.selectHintPeers(peers) {
			got[address[0]-'0']++
		}
		is.Equal(got, test.want)
	}
}

// Guards against an upstream that is treated as returned while one source still
// says that it is leaving.
func TestLeavingTracker(t *testing.T) {
	is := is.New(t)
	var tracker leavingTracker
	steps := []struct {
		source          leavingSource
		leaving         bool
		at              time.Duration
		began, returned bool
	}{
		{source: sourceHealth},
		{source: sourceHealth, leaving: true, began: true},
		{source: sourceInstanceList, leaving: true},
		{source: sourceHealth},
		{source: sourceInstanceList, returned: true},
		{source: sourceInstanceList},
		{source: sourceNotice, leaving: true, at: time.Hour, began: true},
		{source: sourceHealth, at: time.Hour + time.Second}, // within noticeGrace, may be an old report
		{source: sourceInstanceList, at: time.Hour + time.Minute},
		{source: sourceHealth, at: time.Hour + noticeGrace, returned: true},
	}
	for _, step := range steps {
		began, returned := tracker.update("x", step.source, step.leaving, time.Unix(0, 0).Add(step.at))
		is.Equal(began, step.began)
		is.Equal(returned, step.returned)
	}
}
