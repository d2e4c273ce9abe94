package route

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"pistachioford.example/core/document"
)

var start = time.Unix(1_800_000_000, 0)

// newTestTable returns a table for the first of 6 zones, with one group that
// has perZone targets in each zone. All 3 slots of each target in the first
// zone are owned.
func newTestTable(perZone int) (*Table, *document.Compiled) {
	doc := &document.Compiled{Groups: []document.Group{{Name: "stock", Targets: make([][]document.TargetID, 6)}}}
	for z := range 6 {
		doc.Zones = append(doc.Zones, document.Zone{Name: fmt.Sprint("z", z), Shards: 1})
		for i := range perZone {
			id := document.TargetID(len(doc.Targets))
			target := document.Target{Name: fmt.Sprint(z, "-", i), Zone: document.ZoneID(z), Slots: 3}
			doc.Targets = append(doc.Targets, target)
			doc.Groups[0].Targets[z] = append(doc.Groups[0].Targets[z], id)
		}
	}
	table := New(1)
	table.Configure(start, doc, 0)
	for _, id := range doc.Groups[0].Targets[0] {
		table.SetOwned(id, 3)
	}
	return table, doc
}

// simulate sends one request at a time, one every 10 ms, and returns the
// number of requests for each row.
func simulate(t *Table, begin time.Time, steps int, respond func(Row) (Outcome, time.Duration)) map[Row]int {
	starts := map[Row]int{}
	for i := range steps {
		now := begin.Add(time.Duration(i) * 10 * time.Millisecond)
		t.Tick(now)
		if row, ok := t.Pick(now, 0, nil); ok {
			t.Start(now, row)
			starts[row]++
			outcome, latency := respond(row)
			t.End(now, row, outcome, latency)
		}
	}
	return starts
}

func healthy(Row) (Outcome, time.Duration) { return Success, 10 * time.Millisecond }

// Guards against a target that attracts traffic by the load that it reports or
// by quick failures, and against a faulty target that keeps its full share.
func TestBadTargetGetsLessTraffic(t *testing.T) {
	cases := map[string]struct {
		outcome Outcome
		latency time.Duration
	}{
		"slow but reports idle": {Success, 80 * time.Millisecond},
		"fails at once":         {Failure, time.Millisecond},
		"sheds at once":         {Shed, time.Millisecond},
		"hangs until timeout":   {Failure, 2 * time.Second},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			table, _ := newTestTable(6)
			starts := simulate(table, start, 2000, func(row Row) (Outcome, time.Duration) {
				table.ReportLoad(0, 0, start.Add(time.Hour))
				if row == 0 {
					return c.outcome, c.latency
				}
				return healthy(row)
			})
			is.True(starts[0] < 2000/6/4) // at most a quarter of a fair share
			is.True(starts[0] > 0)
		})
	}
}

// Guards against a report that moves traffic by itself or improves the rank of
// a target.
func TestReportOnlyBreaksTies(t *testing.T) {
	is := is.New(t)
	table, _ := newTestTable(2)
	simulate(table, start, 100, healthy)
	now := start.Add(time.Second)
	table.ReportLoad(0, 0, now)
	is.Equal(table.targets[0].effectiveLoad(now), table.targets[1].effectiveLoad(now))
	table.ReportLoad(1, 0.9, now)
	is.Equal(table.better(now, 1, 0), Row(0))
	is.Equal(table.better(now.Add(time.Minute), 1, 0), Row(1)) // old reports are neutral
	table.targets[0].latency *= 1.5
	is.Equal(table.better(now, 0, 1), Row(1)) // own measurements take precedence
}

// Guards against ejections that leave less than half of the targets.
func TestEjectionKeepsHalfOfTargets(t *testing.T) {
	for _, owned := range []int{1, 2, 5, 20} {
		t.Run(fmt.Sprint(owned), func(t *testing.T) {
			is := is.New(t)
			table, _ := newTestTable(owned)
			bad := func(row Row) (Outcome, time.Duration) {
				if int(row)*3 < owned*2 {
					return Failure, time.Millisecond
				}
				return healthy(row)
			}
			for s := range 30 {
				simulate(table, start.Add(time.Duration(s)*time.Second), 100, bad)
				is.True(table.OwnedSlots(0)*2 >= owned*3)
			}
		})
	}
}

// Guards against ejections while all targets fail alike.
func TestCommonFailuresEjectNoTarget(t *testing.T) {
	is := is.New(t)
	table, _ := newTestTable(10)
	simulate(table, start, 20_000, func(Row) (Outcome, time.Duration) {
		if table.random.IntN(5) == 0 {
			return Failure, time.Millisecond
		}
		return healthy(0)
	})
	for row := range table.targets {
		is.True(table.targets[row].ejectedAt.IsZero())
	}
}

// Guards against ejections of equal length, which would send traffic to a dead
// target every 2 s without end.
func TestEjectionDurationsGrow(t *testing.T) {
	is := is.New(t)
	table, _ := newTestTable(2)
	is.True(table.mayEject(&table.groups[0]))
	now := start
	for _, want := range []int{2, 4, 8, 16, 32, 60, 60} {
		table.eject(now, &table.targets[0], CauseErrors)
		is.Equal(table.targets[0].ejectedUntil.Sub(now), time.Duration(want)*time.Second)
		now = table.targets[0].ejectedUntil
		table.Tick(now)
		is.True(table.targets[0].usable())
	}
	table.eject(now.Add(10*ejectBackoffDecay), &table.targets[0], CauseErrors)
	is.Equal(table.targets[0].ejectedUntil.Sub(now.Add(10*ejectBackoffDecay)), ejectBaseTime)
}

// Guards against a returning target that gets its full share at once.
func TestSlowStart(t *testing.T) {
	is := is.New(t)
	table, _ := newTestTable(2)
	simulate(table, start, 100, healthy)
	now := start.Add(time.Second)
	is.True(table.MarkLeaving(0))
	is.True(!table.MarkLeaving(0))
	is.Equal(simulate(table, now, 100, healthy)[0], 0)
	table.ClearLeaving(now.Add(time.Second), 0)
	for i := range 100 { // one request at the cold target, then only at the other one
		table.Start(now.Add(time.Second), Row(min(i, 1)))
		table.End(now.Add(time.Second), Row(min(i, 1)), Success, 10*time.Millisecond)
		row, ok := table.Pick(now.Add(time.Second), 0, nil)
		is.True(ok && row == 1)
	}
	late := simulate(table, now.Add(15*time.Second), 200, healthy)
	is.True(late[0] > 50)
}

// Guards against the use of more slots than owned, and against a retry on the
// same target.
func TestPickRespectsSlotsAndTriedTargets(t *testing.T) {
	is := is.New(t)
	table, _ := newTestTable(3)
	var tried TriedTargets
	tried.Add(1)
	for range 6 {
		row, ok := table.Pick(start, 0, &tried)
		is.True(ok && row != 1)
		table.Start(start, row)
	}
	_, ok := table.Pick(start, 0, &tried)
	is.True(!ok)
	is.Equal(table.FreeSlots(0), 3)
}

// Guards against a slot that is used twice when a target leaves the document
// and returns while an exchange is in flight, and against rows that are never
// freed.
func TestConfigureKeepsInFlight(t *testing.T) {
	is := is.New(t)
	table, doc := newTestTable(2)
	table.Start(start, 0)
	without := &document.Compiled{Targets: doc.Targets[1:], Groups: []document.Group{{
		Targets: [][]document.TargetID{{0}},
	}}}
	table.Configure(start, without, 0)
	_, present := table.TargetID(0)
	is.True(!present)
	id, _ := table.TargetID(1)
	is.Equal(id, document.TargetID(0))
	table.Configure(start, doc, 0)
	is.Equal(table.targets[0].inFlight, uint16(1))
	table.Configure(start, without, 0)
	table.End(start, 0, Success, time.Millisecond)
	is.Equal(table.targets[0].name, "")
}

// Guards against a target that is ejected for crashes that a request caused.
func TestCrashIsForgivenAfterSuccess(t *testing.T) {
	is := is.New(t)
	table, _ := newTestTable(3)
	simulate(table, start, 100, healthy)
	before := table.targets[0].failureRate
	for range 5 {
		table.Start(start, 0)
		table.End(start, 0, Crash, 0)
	}
	is.True(table.targets[0].failureRate > 0.2)
	table.Start(start, 0)
	table.End(start, 0, Success, 10*time.Millisecond)
	is.True(table.targets[0].failureRate <= before)
}

// Guards against a group that keeps work for targets whose processes have
// ended, and against targets that are not probed again or return at the full
// rate.
func TestRefusedConnections(t *testing.T) {
	is := is.New(t)
	table, _ := newTestTable(3)
	refuse := func(Row) (Outcome, time.Duration) { return Refused, 0 }
	starts := simulate(table, start, 1000, refuse)
	is.Equal(table.OwnedSlots(0), 0)
	total := starts[0] + starts[1] + starts[2]
	is.True(total < 3*(refusalsUntilDown+5+10)) // probe delays grow up to a second
	is.True(total > 3*(refusalsUntilDown+5))
	probeTime := start.Add(10*time.Second + maxProbeDelay)
	table.Tick(probeTime)
	is.Equal(table.FreeSlots(0), 3) // one request at a time at each target
	row, _ := table.Pick(probeTime, 0, nil)
	table.Start(probeTime, row)
	is.Equal(table.FreeSlots(0), 2)
	table.End(probeTime, row, Refused, 0)
	simulate(table, start.Add(13*time.Second), 200, healthy)
	is.Equal(table.OwnedSlots(0), 9)
	is.True(!table.targets[0].coldSince.IsZero())
}

// Guards against quick failures that are recorded as short latencies. They
// lowered the median, so that the healthy targets were ejected after two others
// had crashed.
func TestQuickFailuresEjectNoHealthyTarget(t *testing.T) {
	is := is.New(t)
	table, _ := newTestTable(4)
	simulate(table, start, 6000, func(row Row) (Outcome, time.Duration) {
		if row < 2 {
			return Failure, 100 * time.Microsecond
		}
		return healthy(row)
	})
	is.True(table.targets[2].ejectedAt.IsZero())
	is.True(table.targets[3].ejectedAt.IsZero())
}

// BenchmarkRoute measures one choice of a target with its start and end. 120
// targets in each zone are the worst case, since only the own zone is
// searched.
func BenchmarkRoute(b *testing.B) {
	for _, perZone := range []int{20, 120} {
		b.Run(fmt.Sprint(perZone, "PerZone"), func(b *testing.B) {
			table, _ := newTestTable(perZone)
			simulate(table, start, 1000, healthy)
			var tried TriedTargets
			tried.Add(3)
			b.ReportAllocs()
			for b.Loop() {
				row, _ := table.Pick(start, 0, &tried)
				table.Start(start, row)
				table.End(start, row, Success, 10*time.Millisecond)
			}
		})
	}
}
