package presence

import (
	"fmt"
	"testing"

	"github.com/matryer/is"
)

// instances returns n instances of the same size.
func instances(prefix string, n, cpu, link int) []Heartbeat {
	var heartbeats []Heartbeat
	for i := range n {
		heartbeats = append(heartbeats, Heartbeat{Name: fmt.Sprintf("%s-%02d", prefix, i), Zone: "z", MilliCPU: cpu, LinkMbps: link})
	}
	return heartbeats
}

// TestAdvertisedInstancesHaveEnoughCapacity guards against callers that are
// spread over many weak instances beside strong ones, and against too few
// advertised instances for the load or for the failure of one.
func TestAdvertisedInstancesHaveEnoughCapacity(t *testing.T) {
	strong, weak := instances("a", 2, 800, 200), instances("b", 11, 160, 10)
	for _, test := range []struct {
		name       string
		zone       []Heartbeat
		advertised int
	}{
		{"two strong ones beside weak ones", append(weak[:10:10], strong...), 2},
		{"two strong ones with less than half of the processors", append(weak[:11:11], strong...), 2},
		{"one strong one: it may fail", append(weak[:10:10], strong[:1]...), 11},
		{"strong ones that are too few", append(instances("b", 20, 160, 10), strong...), 22},
		{"all alike", instances("a", 12, 320, 1000), 6},
		{"a small zone", instances("a", 2, 320, 1000), 2},
		{"one instance", instances("a", 1, 320, 1000), 1},
		{"strong processors, narrow links", append(instances("b", 4, 160, 1000), instances("a", 2, 800, 200)...), 6},
		{"no sizes known", instances("a", 3, 0, 0), 2},
		{"none", nil, 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			advertised := Advertised(test.zone)
			is.Equal(len(advertised), test.advertised)
			totalLink, advertisedLink := 0, 0
			for _, b := range test.zone {
				totalLink += b.LinkMbps
			}
			for _, b := range advertised {
				advertisedLink += b.LinkMbps
			}
			is.True(2*advertisedLink >= totalLink)
		})
	}
}

// TestAdvertisedIgnoresInputOrder guards against instances whose lookups return
// different ones: all that know the same instances must agree, in whatever
// order these were added.
func TestAdvertisedIgnoresInputOrder(t *testing.T) {
	is := is.New(t)
	zone := instances("a", 12, 320, 1000)
	reversed := make([]Heartbeat, 0, len(zone))
	for i := range zone {
		reversed = append(reversed, zone[len(zone)-1-i])
	}
	is.Equal(Advertised(zone), Advertised(reversed))
}

// TestColdSendersAreAdvertisedInstances guards against cold targets whose
// senders get no requests, and against more senders than planned while
// instances are dead: dead instances still count.
func TestColdSendersAreAdvertisedInstances(t *testing.T) {
	is := is.New(t)
	strong, weak := instances("a", 2, 800, 200), instances("b", 10, 160, 10)
	for _, test := range []struct {
		self   Heartbeat
		sender bool
		others int
	}{{strong[0], true, 1}, {weak[0], false, 2}} {
		table := New(test.self, 1)
		for _, b := range append(weak, strong...) {
			table.Add(b) // none is live
		}
		names, self := table.ColdSenders()
		is.Equal(self, test.sender)
		is.Equal(len(names), test.others)
	}
}
