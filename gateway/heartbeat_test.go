package gateway

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"pistachioford.example/core/poison"
	"pistachioford.example/core/presence"
	"pistachioford.example/core/steer"
)

var testHeartbeat = presence.Heartbeat{
	Name: "front-gau-a-10", Zone: "gau-a", RequestAddr: "10.10.10.15:8641", PeerAddr: "10.10.10.15:7620",
	Boot: time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC).UnixNano(), Sequence: 1 << 20, Ready: true, Leaving: true, SendsPulses: true,
	Document: 1 << 30, Registry: 1 << 30, MilliCPU: 64_000, LinkMbps: 100_000,
}

// Guards against heartbeats that exceed the traffic planned for them.
func TestHeartbeatIsSmall(t *testing.T) {
	is := is.New(t)
	is.True(len(encodeHeartbeatMessage(heartbeatMessage{own: testHeartbeat})) <= 80)
	var seen []steer.Observation
	for range 16 { // 12 busy and 4 unresponsive targets
		seen = append(seen, steer.Observation{Target: 1 << 63, Load: 12})
	}
	is.True(len(encodeHeartbeatMessage(heartbeatMessage{own: testHeartbeat, observations: seen})) <= 80+256)
	// While targets name limits: 8 notices, and the demands for 12 groups.
	limited := testHeartbeat
	limited.ReportsDemands = true
	for range 12 {
		limited.Demands = append(limited.Demands, steer.Demand{Group: 1 << 31, PerSecond: 100})
	}
	for range 8 {
		seen = append(seen, steer.Observation{Target: 1 << 63, Boot: 1 << 31, Leaving: true, Limit: 100, LimitAge: 30 * time.Second})
	}
	is.True(len(encodeHeartbeatMessage(heartbeatMessage{own: limited, observations: seen})) <= 80+256+300)
}

func TestHeartbeatRoundTrip(t *testing.T) {
	is := is.New(t)
	sent := heartbeatMessage{own: testHeartbeat, others: []presence.Heartbeat{{Name: "b"}, testHeartbeat},
		reports: []poison.Report{{Fingerprint: 1 << 63, Target: 7, SentAgo: 1500 * time.Millisecond, BrokenAgo: 20 * time.Millisecond}, {Fingerprint: 3, Target: 8, SentAgo: 4 * time.Second, Silent: true, AliveAgo: 5 * time.Second}},
		verdicts: []poison.Verdict{
			{Fingerprint: 1 << 62, Serial: 3, Blocked: true, Crashes: 4, Quiet: 90 * time.Second}, {Fingerprint: 5},
		},
		observations: []steer.Observation{{Target: 5, Load: 12}, {Target: 6, Down: true},
			{Target: 7, Leaving: true, Boot: 1 << 31}, {Target: 8, Limit: 2.25, LimitAge: 300 * time.Millisecond},
			{Target: 9, Leaving: true, Limit: steer.NoLimit, LimitAge: 20 * time.Second}}}
	sent.own.ReportsDemands, sent.own.StoreLost = true, true
	sent.own.Demands = []steer.Demand{{Group: 1 << 31, PerSecond: 12.5}, {Group: 7, PerSecond: 0.5}}
	received, err := decodeHeartbeatMessage(encodeHeartbeatMessage(sent))
	is.NoErr(err)
	is.Equal(received, sent)
	for _, bad := range []string{"", "x", "\x0a\x05ab", "\x08\x01", "\x1a\x02ab", "\x22\x01\x09", "\x22\x02\x0a\x00",
		"\x2a\x01\x09", "\x32\x01\x09"} {
		_, err := decodeHeartbeatMessage([]byte(bad))
		is.True(err != nil)
	}
}

func FuzzDecodeHeartbeatMessage(f *testing.F) {
	f.Add(encodeHeartbeatMessage(heartbeatMessage{own: testHeartbeat, others: []presence.Heartbeat{testHeartbeat}}))
	f.Fuzz(func(t *testing.T, data []byte) {
		h, err := decodeHeartbeatMessage(data)
		if err == nil && h.own.Name == "" {
			t.Fatal("decoded a heartbeat without a sender")
		}
	})
}
