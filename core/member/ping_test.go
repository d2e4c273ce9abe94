package member

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against declaring a zone peer dead although its own messages arrive,
// and against detecting the death of a silent zone peer late.
func TestPeerInZoneOfTwo(t *testing.T) {
	cases := []struct {
		name  string
		every time.Duration // between messages of the zone peer; its responses get lost
		dead  bool
	}{
		{"responses get lost", 500 * time.Millisecond, false},
		{"silent", time.Hour, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			start := time.Unix(1_700_000_000, 0)
			zonePeer := Record{ID: "b", Zone: "z", Address: "10.0.0.2:7000"}
			d := New(Record{ID: "a", Zone: "z", Address: "10.0.0.1:7000"}, 1, start)
			d.SenderReceived(zonePeer, start)
			last := start
			for now := start; now.Before(start.Add(2 * time.Second)); now = now.Add(50 * time.Millisecond) {
				if now.Sub(last) >= c.every {
					last = now
					d.SenderReceived(zonePeer, now)
				}
				d.Tick(now)
			}
			r, _ := d.Get("b")
			is.Equal(r.State.Removed(), c.dead)
		})
	}
}
