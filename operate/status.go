package operate

import (
	"context"
	"encoding/json"
	"sort"
	"time"

	"github.com/rotisserie/eris"
	"github.com/sourcegraph/conc/pool"
	"github.com/valyala/fasthttp"

	"pistachioford.example/core/revision"
	"pistachioford.example/pistachioford/tables"
)

// Limits of a status query.
const (
	statusTimeout     = time.Second
	statusConcurrency = 32
	maxStatusBytes    = 4 << 20
)

// State is what a status query found about one instance.
type State string

// States of instances.
const (
	// Active instances have the newest revision active.
	Active State = "active"
	// Stale instances have an older revision active.
	Stale State = "stale"
	// CutOff instances answer, but reach no other availability zone, or are
	// reached by none.
	CutOff State = "cut-off"
	// Leaving instances finish their requests and exit.
	Leaving State = "leaving"
	// Silent instances do not answer on their operators' port.
	Silent State = "no-answer"
)

// InstanceStatus is the state of one instance.
type InstanceStatus struct {
	Instance string `json:"instance"`
	Zone     string `json:"zone"`
	Address  string `json:"address"`
	State    State  `json:"state"`
	// Revision is the active one; 0 if there is none or it is not known.
	Revision uint64   `json:"revision"`
	Shards   []string `json:"shards,omitempty"`
	InFlight int      `json:"in_flight"`
	Error    string   `json:"error,omitempty"`
}

// Status is the state of the fleet.
type Status struct {
	// Newest is the accepted revision; it is the highest one that an instance
	// has if the platform does not answer.
	Newest    uint64           `json:"newest"`
	Platform  string           `json:"platform"` // "ok", or why it does not answer
	Instances []InstanceStatus `json:"instances"`
}

// Healthy reports whether all instances that stay have the newest revision.
func (s *Status) Healthy() bool {
	for _, i := range s.Instances {
		if i.State != Active && i.State != Leaving {
			return false
		}
	}
	return len(s.Instances) > 0
}

// reported is the part of an instance's answer that is used. It matches the
// body of /v1/status.
type reported struct {
	Instance string         `json:"instance"`
	Zone     string         `json:"zone"`
	Leaving  bool           `json:"leaving"`
	Revision uint64         `json:"revision"`
	InFlight int            `json:"in_flight"`
	Shards   []string       `json:"shards"`
	Peers    []reportedPeer `json:"peers"`
}

type reportedPeer struct {
	ID          string `json:"id"`
	Zone        string `json:"zone"`
	Unreachable bool   `json:"unreachable"`
}

// asked is one instance with its answer.
type asked struct {
	tables.Instance
	answer *reported
	err    error
}

// Status asks all listed instances. Addresses of operators' ports replace the
// platform's list, for use while the platform is down.
func (o *Operator) Status(ctx context.Context, addresses []string) (*Status, error) {
	status := &Status{Platform: "ok"}
	rows, err := o.platform.Get(ctx, revision.HeadKey)
	if err == nil && rows[0].Version > 0 {
		var head *revision.Head
		if head, err = revision.DecodeHead(rows[0].Value); err == nil {
			status.Newest = head.Revision
		}
	}
	if err != nil {
		status.Platform = err.Error()
	}
	instances := given(addresses)
	if len(instances) == 0 {
		if instances, err = o.listed(ctx); err != nil {
			return nil, eris.Wrapf(err, "step=list-instances; name operators' ports with --instances")
		}
	}
	status.fill(ask(ctx, instances))
	return status, nil
}

// given returns instances of which only the operators' address is known.
func given(addresses []string) []tables.Instance {
	instances := make([]tables.Instance, len(addresses))
	for i, a := range addresses {
		instances[i] = tables.Instance{ID: a, Operators: a}
	}
	return instances
}

// listed returns the entry instances of the platform's list.
func (o *Operator) listed(ctx context.Context) ([]tables.Instance, error) {
	all, err := o.platform.ListInstances(ctx)
	if err != nil {
		return nil, err
	}
	var entries []tables.Instance
	for _, i := range all {
		if i.Role == tables.RoleEntry {
			entries = append(entries, i)
		}
	}
	return entries, nil
}

// ask queries the operators' port of each instance.
func ask(ctx context.Context, instances []tables.Instance) []asked {
	answers := make([]asked, len(instances))
	workers := pool.New().WithMaxGoroutines(statusConcurrency)
	for i, instance := range instances {
		workers.Go(func() {
			answer, err := query(ctx, instance.Operators)
			answers[i] = asked{Instance: instance, answer: answer, err: err}
		})
	}
	workers.Wait()
	return answers
}

// query asks one operators' port.
func query(ctx context.Context, address string) (*reported, error) {
	if address == "" {
		return nil, eris.New("the platform's list has no operators' address")
	}
	client := &fasthttp.HostClient{
		Addr: address, MaxResponseBodySize: maxStatusBytes,
		ReadTimeout: statusTimeout, WriteTimeout: statusTimeout, MaxIdemponentCallAttempts: 1,
		RetryIfErr: func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
	}
	defer client.CloseIdleConnections()
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.SetRequestURI("http://" + address + "/v1/status")
	deadline := time.Now().Add(statusTimeout)
	if d, ok := ctx.Deadline(); ok && d.Before(deadline) {
		deadline = d
	}
	if err := client.DoDeadline(req, resp, deadline); err != nil {
		return nil, eris.Wrapf(err, "step=status peer=%s", address)
	}
	if resp.StatusCode() != fasthttp.StatusOK {
		return nil, eris.Errorf("step=status peer=%s: status %d", address, resp.StatusCode())
	}
	answer := &reported{}
	if err := json.Unmarshal(resp.Body(), answer); err != nil {
		return nil, eris.Wrapf(err, "step=status peer=%s", address)
	}
	return answer, nil
}

// fill judges the answers.
func (s *Status) fill(answers []asked) {
	for _, a := range answers {
		if a.answer != nil {
			s.Newest = max(s.Newest, a.answer.Revision)
		}
	}
	cutOff := cutOffZones(answers)
	for _, a := range answers {
		s.Instances = append(s.Instances, s.judge(a, cutOff))
	}
	sort.Slice(s.Instances, func(i, j int) bool {
		a, b := &s.Instances[i], &s.Instances[j]
		return a.Zone < b.Zone || a.Zone == b.Zone && a.Instance < b.Instance
	})
}

// cutOffZones returns the zones that most other zones do not reach. A zone that
// is cut off reports all others as unreachable, so one report is not enough.
func cutOffZones(answers []asked) map[string]bool {
	reporting := map[string]bool{}
	unreached := map[string]map[string]bool{} // zone to the zones that do not reach it
	for _, a := range answers {
		if a.answer == nil {
			continue
		}
		reporting[a.answer.Zone] = true
		for _, p := range a.answer.Peers {
			if !p.Unreachable || p.Zone == a.answer.Zone {
				continue
			}
			if unreached[p.Zone] == nil {
				unreached[p.Zone] = map[string]bool{}
			}
			unreached[p.Zone][a.answer.Zone] = true
		}
	}
	cutOff := map[string]bool{}
	for zone, by := range unreached {
		others := len(reporting)
		if reporting[zone] {
			others--
		}
		cutOff[zone] = 2*len(by) > others
	}
	return cutOff
}

// judge returns the state of one instance. A cut-off instance is marked as such
// even if it is stale too, since that is why.
func (s *Status) judge(a asked, cutOff map[string]bool) InstanceStatus {
	i := InstanceStatus{Instance: a.ID, Zone: a.Zone, Address: a.Operators}
	if a.err != nil {
		i.State, i.Error = Silent, a.err.Error()
		if a.Leaving {
			i.State = Leaving
		}
		return i
	}
	i.Instance, i.Zone = a.answer.Instance, a.answer.Zone
	i.Revision, i.Shards, i.InFlight = a.answer.Revision, a.answer.Shards, a.answer.InFlight
	switch {
	case a.answer.Leaving:
		i.State = Leaving
	case cutOff[i.Zone] || a.answer.alone():
		i.State = CutOff
	case i.Revision < s.Newest || i.Revision == 0:
		i.State = Stale
	default:
		i.State = Active
	}
	return i
}

// alone reports whether the instance reaches no other zone that it knows.
func (r *reported) alone() bool {
	known, reached := 0, 0
	for _, p := range r.Peers {
		if p.Zone == r.Zone {
			continue
		}
		known++
		if !p.Unreachable {
			reached++
		}
	}
	return known > 0 && reached == 0
}
