package presence

import (
	"fmt"
	"testing"

	"github.com/matryer/is"
)

// machines returns n instances of one size.
func machines(prefix string, n, cpu, link int) []Beat {
	var beats []Beat
	for i := range n {
		beats = append(beats, Beat{Name: fmt.Sprintf("%s-%02d", prefix, i), Zone: "z", CPU: cpu, Link: link})
	}
	return beats
}

// Guards against callers that are spread over many weak instances beside
// strong ones, and against too few instances for the load or for a failure.
func TestNamedInstancesCanTakeTheZone(t *testing.T) {
	strong, weak := machines("a", 2, 800, 200), machines("b", 11, 160, 10)
	for _, test := range []struct {
		name  string
		zone  []Beat
		named int
	}{
		{"two strong ones beside weak ones", append(weak[:10:10], strong...), 2},
		{"two strong ones with less than half of the processors", append(weak[:11:11], strong...), 2},
		{"one strong one: it may fail", append(weak[:10:10], strong[:1]...), 11},
		{"strong ones that are too few", append(machines("b", 20, 160, 10), strong...), 22},
		{"all alike", machines("a", 12, 320, 1000), 6},
		{"a small zone", machines("a", 2, 320, 1000), 2},
		{"one instance", machines("a", 1, 320, 1000), 1},
		{"strong processors, narrow links", append(machines("b", 4, 160, 1000), machines("a", 2, 800, 200)...), 6},
		{"no sizes known", machines("a", 3, 0, 0), 2},
		{"none", nil, 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			named := Named(test.zone)
			is.Equal(len(named), test.named)
			total, part := 0, 0
			for _, b := range test.zone {
				total += b.Link
			}
			for _, b := range named {
				part += b.Link
			}
			is.True(2*part >= total)
		})
	}
}

// Guards against instances that name different ones: all that know the same
// instances must agree, in whatever order they learned of them.
func TestNamedDoNotDependOnTheOrder(t *testing.T) {
	is := is.New(t)
	zone := machines("a", 12, 320, 1000)
	reversed := make([]Beat, 0, len(zone))
	for i := range zone {
		reversed = append(reversed, zone[len(zone)-1-i])
	}
	is.Equal(Named(zone), Named(reversed))
}

// Guards against cold targets whose senders get no requests, and against more
// senders than planned while instances are dead: those stay counted.
func TestColdSendersAreNamedInstances(t *testing.T) {
	is := is.New(t)
	strong, weak := machines("a", 2, 800, 200), machines("b", 10, 160, 10)
	for _, test := range []struct {
		self   Beat
		sender bool
		others int
	}{{strong[0], true, 1}, {weak[0], false, 2}} {
		table := New(test.self, 1)
		for _, b := range append(weak, strong...) {
			table.Learn(b) // none is live
		}
		names, self := table.ColdSenders()
		is.Equal(self, test.sender)
		is.Equal(len(names), test.others)
	}
}
