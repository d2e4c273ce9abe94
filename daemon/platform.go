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

// platformTimeout bounds a platform call including its retries. The client
// bounds each attempt to 1 s.
const platformTimeout = 5 * time.Second

// callPlatform runs a platform call on a goroutine of its own and passes the
// result to the control goroutine, which a slow platform must not block.
func (d *Daemon) callPlatform(call func(context.Context) control.PlatformAnswered) {
	d.platformCalls.Go(func() {
		ctx, cancel := context.WithTimeout(d.ctx, platformTimeout)
		defer cancel()
		d.enqueue(call(ctx))
	})
}

func (d *Daemon) readRows(a control.ReadRows) {
	d.callPlatform(func(ctx context.Context) control.PlatformAnswered {
		rows, err := d.platform.Get(ctx, a.Keys...)
		response := control.PlatformAnswered{ID: a.ID, Err: err}
		if err == nil && len(rows) != len(a.Keys) {
			response.Err = errors.New("read rows: the platform returned a different number of rows than were requested")
			return response
		}
		for _, r := range rows {
			response.Rows = append(response.Rows, control.Row{Key: r.Key, Version: r.Version, Value: r.Value})
		}
		return response
	})
}

func (d *Daemon) writeRow(a control.WriteRow) {
	commit := tables.Commit{
		Operation:  uuid.NewString(),
		Conditions: []tables.Condition{{Key: a.Key, Version: a.IfVersion}},
		Puts:       []tables.Put{{Key: a.Key, Value: a.Value}},
	}
	d.callPlatform(func(ctx context.Context) control.PlatformAnswered {
		rows, err := d.platform.Commit(ctx, commit)
		response := control.PlatformAnswered{ID: a.ID, Err: err}
		if errors.Is(err, tables.ErrConflict) {
			response.Conflict = true
			response.Err = nil
		}
		for _, r := range rows {
			response.Rows = append(response.Rows, control.Row{Key: r.Key, Version: r.Version})
		}
		return response
	})
}

func (d *Daemon) listInstances(a control.ListInstances) {
	d.callPlatform(func(ctx context.Context) control.PlatformAnswered {
		instances, err := d.platform.ListInstances(ctx)
		response := control.PlatformAnswered{ID: a.ID, Err: err}
		for _, i := range instances {
			response.Instances = append(response.Instances, control.ListedInstance{
				ID: control.InstanceID(i.ID), Address: i.Address, Zone: i.Zone, Role: i.Role, Leaving: i.Leaving,
			})
		}
		if err == nil {
			d.handleInstanceList(instances)
		}
		return response
	})
}

func (d *Daemon) fetchObject(a control.FetchObject) {
	d.callPlatform(func(ctx context.Context) control.PlatformAnswered {
		object, err := d.platform.GetObject(ctx, a.Name)
		return control.PlatformAnswered{ID: a.ID, Object: object, Err: err}
	})
}

const (
	minRegisterRetryDelay = time.Second
	maxRegisterRetryDelay = 30 * time.Second
)

// register adds this instance to the platform's instance list. It retries with
// exponential backoff until the call succeeds or the daemon stops.
func (d *Daemon) register() {
	for delay := minRegisterRetryDelay; ; delay = min(2*delay, maxRegisterRetryDelay) {
		ctx, cancel := context.WithTimeout(d.ctx, platformTimeout)
		err := d.platform.Register(ctx, tables.Instance{
			ID: d.self.ID, Address: d.peerAddr, OperatorsAddress: d.operatorsAddr, Zone: d.self.Zone, Role: tables.RoleEntry,
		})
		cancel()
		if err == nil {
			return
		}
		telemetry.CountEvent("register_failed")
		select {
		case <-d.stop:
			return
		case <-time.After(delay):
		}
	}
}

// unregister marks this instance as leaving in the platform's instance list. A
// failure is only counted, since peers are also notified directly.
func (d *Daemon) unregister() {
	ctx, cancel := context.WithTimeout(d.ctx, platformTimeout)
	defer cancel()
	if err := d.platform.Leave(ctx, d.self.ID); err != nil {
		telemetry.CountEvent("unregister_failed")
	}
}
