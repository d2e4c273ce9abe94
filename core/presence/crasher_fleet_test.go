package presence

import (
	"pistachioford.example/core/poison"
)

// beat sends an instance's heartbeat, and saves its verdicts in the store.
func (f *crasherFleet) beat(n *crasherInstance) {
	live := n.table.Live(f.now)
	var names []string
	for _, other := range live {
		names = append(names, other.Name)
	}
	n.engine.SetInstances(len(live), nil, true)
	n.table.SetState(State{Ready: true})
	detector := n.engine.Poison()
	detector.SetInstances(names)
	messages := detector.NextMessages(f.now)
	own, deliveries := n.table.NextHeartbeat(f.now)
	for _, d := range deliveries {
		f.deliver(n, d.To, func(to *crasherInstance) {
			for _, b := range append(d.Copies, own) {
				to.table.RecordHeartbeat(f.now, b)
			}
			to.engine.Poison().RecordVerdicts(f.now, messages.Repeated)
		})
	}
	for _, name := range names {
		f.deliver(n, name, func(to *crasherInstance) {
			to.engine.Poison().RecordReports(f.now, messages.Reports[name])
			to.engine.Poison().RecordVerdicts(f.now, messages.Cleared[name])
			to.engine.Poison().RecordVerdicts(f.now, messages.New)
		})
	}
	if f.storeDown {
		return
	}
	for _, v := range detector.Unsaved(f.now, 10) {
		f.saved[v.Fingerprint] = v
		detector.Saved(f.now, v)
	}
}

// deliver passes a message to a running instance that can be reached.
func (f *crasherFleet) deliver(from *crasherInstance, name string, handle func(to *crasherInstance)) {
	if to := f.byName[name]; to != nil && !f.isCut(from.zone, to.zone) {
		handle(to)
	}
}

// learn makes an instance that starts learn the verdicts from the store, or else
// from another instance of its zone.
func (f *crasherFleet) learn(n *crasherInstance) {
	if !f.storeDown {
		for _, v := range f.saved {
			n.engine.Poison().RecordVerdicts(f.now, []poison.Verdict{v})
		}
		return
	}
	for _, other := range f.instances {
		if other != n && other.zone == n.zone {
			n.engine.Poison().RecordVerdicts(f.now, other.engine.Poison().Verdicts(f.now))
			return
		}
	}
}
