package daemon

import (
	"context"
	"errors"
	"time"

	"github.com/google/uuid"

	"pistachioford.example/core/control"
	"pistachioford.example/pistachioford/tables"
	"pistachioford.example/pistachioford/telemetry"
)

// platformTimeout bounds a call with its retries; the client bounds each
// attempt to 1 s.
const platformTimeout = 5 * time.Second

// ask runs a platform call beside the control goroutine, so that a slow
// platform delays nothing.
func (d *Daemon) ask(call func(context.Context) control.PlatformAnswered) {
	d.calls.Go(func() {
		ctx, cancel := context.WithTimeout(d.running, platformTimeout)
		defer cancel()
		d.post(call(ctx))
	})
}

func (d *Daemon) read(a control.Read) {
	d.ask(func(ctx context.Context) control.PlatformAnswered {
		rows, err := d.platform.Get(ctx, a.Keys...)
		answer := control.PlatformAnswered{ID: a.ID, Err: err}
		if err == nil && len(rows) != len(a.Keys) {
			answer.Err = errors.New("the platform returned another number of rows")
			return answer
		}
		for _, r := range rows {
			answer.Rows = append(answer.Rows, control.Row{Key: r.Key, Version: r.Version, Value: r.Value})
		}
		return answer
	})
}

func (d *Daemon) write(a control.Write) {
	commit := tables.Commit{
		Operation:  uuid.NewString(),
		Conditions: []tables.Condition{{Key: a.Key, Version: a.IfVersion}},
		Puts:       []tables.Put{{Key: a.Key, Value: a.Value}},
	}
	d.ask(func(ctx context.Context) control.PlatformAnswered {
		rows, err := d.platform.Commit(ctx, commit)
		answer := control.PlatformAnswered{ID: a.ID, Err: err}
		if errors.Is(err, tables.ErrConflict) {
			answer.Conflict = true
			answer.Err = nil
		}
		for _, r := range rows {
			answer.Rows = append(answer.Rows, control.Row{Key: r.Key, Version: r.Version})
		}
		return answer
	})
}

func (d *Daemon) listInstances(a control.ListInstances) {
	d.ask(func(ctx context.Context) control.PlatformAnswered {
		instances, err := d.platform.ListInstances(ctx)
		answer := control.PlatformAnswered{ID: a.ID, Err: err}
		for _, i := range instances {
			answer.Instances = append(answer.Instances, control.Listed{
				ID: control.InstanceID(i.ID), Address: i.Address, Zone: i.Zone, Role: i.Role, Leaving: i.Leaving,
			})
		}
		if err == nil {
			d.noteListed(instances)
		}
		return answer
	})
}

func (d *Daemon) fetchObject(a control.FetchObject) {
	d.ask(func(ctx context.Context) control.PlatformAnswered {
		object, err := d.platform.GetObject(ctx, a.Name)
		return control.PlatformAnswered{ID: a.ID, Object: object, Err: err}
	})
}

const (
	registerPause    = time.Second
	registerMaxPause = 30 * time.Second
)

// register enters this instance into the platform's list, however long the
// platform is down.
func (d *Daemon) register() {
	for pause := registerPause; ; pause = min(2*pause, registerMaxPause) {
		ctx, cancel := context.WithTimeout(d.running, platformTimeout)
		err := d.platform.Register(ctx, tables.Instance{
			ID: d.self.ID, Address: d.peerAt, Operators: d.operatorsAt, Zone: d.self.Zone, Role: tables.RoleEntry,
		})
		cancel()
		if err == nil {
			return
		}
		telemetry.CountEvent("register_failed")
		select {
		case <-d.stop:
			return
		case <-time.After(pause):
		}
	}
}

// unregister marks this instance as leaving; peers learn it without the
// platform too.
func (d *Daemon) unregister() {
	ctx, cancel := context.WithTimeout(d.running, platformTimeout)
	defer cancel()
	if err := d.platform.Leave(ctx, d.self.ID); err != nil {
		telemetry.CountEvent("unregister_failed")
	}
}
