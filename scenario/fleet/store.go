package fleet

import (
	"context"
	"errors"
	"time"

	"pistachioford.example/core/control"
	"pistachioford.example/core/revision"
	"pistachioford.example/pistachioford/tables"
)

const (
	// storeLatency is how long the store takes for a call.
	storeLatency = 5 * time.Millisecond
	// callTimeout is the time after which a client considers a call failed.
	callTimeout = 3 * time.Second
	// listDelay is the delay with which the instance list shows starts and ends
	// of instances.
	listDelay = 5 * time.Second
)

var errNoResponse = errors.New("platform does not answer")

// store is a fake of the platform: the table service and the instance list.
type store struct {
	world        *world
	rows         map[string]tables.Row
	down         bool
	extraLatency time.Duration
	// responseLossRate is the fraction of calls that take effect but get no
	// response.
	responseLossRate float64
	// firstHead is the value of the head row at the start of the run.
	firstHead []byte
}

// call simulates a call from a place. done is called once, with errNoResponse if
// the response does not arrive in time. The call may have taken effect then, or
// may still do so.
func (s *store) call(place int, effect func(), done func(error)) {
	ended := false
	finish := func(err error) {
		if !ended {
			ended = true
			done(err)
		}
	}
	s.world.After(callTimeout, func() { finish(errNoResponse) })
	n := s.world.network
	n.send(place, n.platformPlace(), func() {
		if s.down {
			return
		}
		s.world.After(storeLatency+s.extraLatency, func() {
			effect()
			if s.responseLossRate > 0 && s.world.random.Float64() < s.responseLossRate {
				return
			}
			n.send(n.platformPlace(), place, func() { finish(nil) })
		})
	})
}

func (s *store) get(keys []string) []tables.Row {
	rows := make([]tables.Row, len(keys))
	for i, key := range keys {
		rows[i] = s.rows[key]
		rows[i].Key = key
	}
	return rows
}

// commit applies all puts if all conditions hold.
func (s *store) commit(c tables.Commit) ([]tables.Row, bool) {
	for _, condition := range c.Conditions {
		if s.rows[condition.Key].Version != condition.Version {
			return nil, false
		}
	}
	var written []tables.Row
	for _, put := range c.Puts {
		row := tables.Row{Key: put.Key, Version: s.rows[put.Key].Version + 1, Value: put.Value}
		s.rows[put.Key] = row
		written = append(written, tables.Row{Key: row.Key, Version: row.Version})
		if put.Key == revision.HeadKey {
			if head, err := revision.DecodeHead(put.Value); err == nil {
				s.world.awaitActive(head.Revision)
			}
		}
	}
	return written, true
}

// callFromEngine makes a call for an engine and passes the response to it.
func (s *store) callFromEngine(in *instance, id control.OperationID, effect func() control.PlatformAnswered) {
	var response control.PlatformAnswered
	s.call(in.zone, func() { response = effect() }, func(err error) {
		if err != nil {
			response = control.PlatformAnswered{Err: err}
		}
		response.ID = id
		in.runStep(func() []control.Action {
			return in.engine.Handle(in.now(), response)
		})
	})
}

func (s *store) read(in *instance, a control.ReadRows) {
	s.callFromEngine(in, a.ID, func() control.PlatformAnswered {
		var rows []control.Row
		for _, row := range s.get(a.Keys) {
			row.Value = s.world.settings.fault.alterValue(s, in, row)
			rows = append(rows, control.Row(row))
			in.documentSeen = in.documentSeen || row.Key == revision.HeadKey && row.Version > 0
		}
		return control.PlatformAnswered{Rows: rows}
	})
}

func (s *store) write(in *instance, a control.WriteRow) {
	s.callFromEngine(in, a.ID, func() control.PlatformAnswered {
		rows, ok := s.commit(tables.Commit{
			Conditions: []tables.Condition{{Key: a.Key, Version: a.IfVersion}},
			Puts:       []tables.Put{{Key: a.Key, Value: a.Value}},
		})
		if !ok {
			return control.PlatformAnswered{Conflict: true}
		}
		return control.PlatformAnswered{Rows: []control.Row{control.Row(rows[0])}}
	})
}

func (s *store) list(in *instance, a control.ListInstances) {
	s.callFromEngine(in, a.ID, func() control.PlatformAnswered {
		var listed []control.ListedInstance
		for _, other := range s.world.instances {
			removed := other.dead && s.world.Now.Sub(other.endedAt) >= listDelay
			if !removed && s.world.Now.Sub(other.startedAt) >= listDelay {
				listed = append(listed, control.ListedInstance{
					ID: other.id, Address: other.address, Zone: s.world.doc.Zones[other.zone].Name, Role: tables.RoleEntry,
				})
			}
		}
		return control.PlatformAnswered{Instances: listed}
	})
}

// platformClient is the client through which an editor calls the platform. Its
// calls take virtual time. The embedded interface is nil, since an edit does not
// use its other methods.
type platformClient struct {
	tables.Platform
	store *store
	edit  *edit
	// await suspends the editor until resume is called. It returns false when
	// the run has ended.
	await    func(start func(resume func())) bool
	runEnded bool
}

// callWithRetries makes up to three attempts, as the client of pistachioctl does.
func (p *platformClient) callWithRetries(effect func()) error {
	lastErr := errNoResponse
	for attempt := 0; attempt < 3 && lastErr != nil && !p.runEnded; attempt++ {
		p.runEnded = !p.await(func(resume func()) {
			p.store.call(0, effect, func(err error) {
				lastErr = err
				resume()
			})
		})
	}
	return lastErr
}

// Get reads rows.
func (p *platformClient) Get(_ context.Context, keys ...string) (rows []tables.Row, err error) {
	err = p.callWithRetries(func() { rows = p.store.get(keys) })
	return rows, err
}

// Commit writes rows at most once, whatever the number of attempts. A commit
// without a response may have taken effect.
func (p *platformClient) Commit(_ context.Context, c tables.Commit) (rows []tables.Row, err error) {
	c = p.store.world.settings.fault.alterCommit(p, c)
	tried, ok := false, false
	err = p.callWithRetries(func() {
		if !tried {
			tried = true
			rows, ok = p.store.commit(c)
		}
	})
	switch {
	case err != nil:
		return nil, tables.ErrUnknown
	case !ok:
		return nil, tables.ErrConflict
	}
	return rows, nil
}
