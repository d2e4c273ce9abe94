package gateway

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"pistachioford.example/core/presence"
	"pistachioford.example/core/steer"
)

var testBeat = presence.Heartbeat{
	Name: "front-gau-a-10", Zone: "gau-a", RequestAddr: "10.10.10.15:8641", PeerAddr: "10.10.10.15:7620",
	Boot: time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC).UnixNano(), Sequence: 1 << 20, Ready: true, Leaving: true, SendsPulses: true,
	Document: 1 << 30, Registry: 1 << 30, MilliCPU: 64_000, LinkMbps: 100_000,
}

// Guards against heartbeats that exceed the traffic planned for them.
func TestHeartbeatIsSmall(t *testing.T) {
	is := is.New(t)
	is.True(len(encodeHeartbeat(heartbeat{own: testBeat})) <= 80)
	var seen []steer.Observation
	for range 16 { // 12 busy and 4 unresponsive targets
		seen = append(seen, steer.Observation{Target: 1 << 63, Load: 12})
	}
	is.True(len(encodeHeartbeat(heartbeat{own: testBeat, observations: seen})) <= 80+256)
}

func TestHeartbeatRoundTrip(t *testing.T) {
	is := is.New(t)
	sent := heartbeat{own: testBeat, others: []presence.Heartbeat{{Name: "b"}, testBeat},
		breaks:       []steer.BrokenExchange{{Fingerprint: 1 << 63, Target: 7}},
		observations: []steer.Observation{{Target: 5, Load: 12}, {Target: 6, Down: true}}}
	received, err := decodeHeartbeat(encodeHeartbeat(sent))
	is.NoErr(err)
	is.Equal(received, sent)
	for _, bad := range []string{"", "x", "\x0a\x05ab", "\x08\x01", "\x1a\x02ab", "\x22\x01\x09", "\x22\x02\x0a\x00"} {
		_, err := decodeHeartbeat([]byte(bad))
		is.True(err != nil)
	}
}

func FuzzDecodeHeartbeat(f *testing.F) {
	f.Add(encodeHeartbeat(heartbeat{own: testBeat, others: []presence.Heartbeat{testBeat}}))
	f.Fuzz(func(t *testing.T, data []byte) {
		h, err := decodeHeartbeat(data)
		if err == nil && h.own.Name == "" {
			t.Fatal("decoded a heartbeat without a sender")
		}
	})
}
