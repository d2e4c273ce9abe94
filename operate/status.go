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
	"pistachioford.example/pistachioford/httpread"
	"pistachioford.example/pistachioford/tables"
)

// Limits of a status query.
const (
	statusTimeout     = time.Second
	statusConcurrency = 32
	maxStatusBytes    = 4 << 20
)

// State is the state of an instance as found by a status query.
type State string

// States of instances. Their values are part of the output of pistachioctl.
const (
	// Active instances have the newest revision.
	Active State = "active"
	// Stale instances have an older revision, or none.
	Stale State = "stale"
	// Partitioned instances respond, but reach no other availability zone, or are
	// in a zone that most other zones do not reach.
	Partitioned State = "cut-off"
	// Leaving instances finish their requests and exit.
	Leaving State = "leaving"
	// NoResponse instances do not respond on their operators' port.
	NoResponse State = "no-answer"
)

// InstanceStatus is the state of one instance.
type InstanceStatus struct {
	Instance string `json:"instance"`
	Zone     string `json:"zone"`
	Address  string `json:"address"`
	State    State  `json:"state"`
	// Revision is the active revision; 0 if there is none or it is not known.
	Revision uint64   `json:"revision"`
	Shards   []string `json:"shards,omitempty"`
	InFlight int      `json:"in_flight"`
	Error    string   `json:"error,omitempty"`
}

// Status is the state of all entry instances.
type Status struct {
	// Newest is the highest of the revision that the platform has and those that
	// the instances report.
	Newest    uint64           `json:"newest"`
	Platform  string           `json:"platform"` // "ok", or why it does not respond
	Instances []InstanceStatus `json:"instances"`
}

// Healthy reports whether there are instances and all of them are active or
// leaving.
func (s *Status) Healthy() bool {
	for _, i := range s.Instances {
		if i.State != Active && i.State != Leaving {
			return false
		}
	}
	return len(s.Instances) > 0
}

// statusReport holds the fields that are used of the response to /v1/status.
type statusReport struct {
	Instance string       `json:"instance"`
	Zone     string       `json:"zone"`
	Leaving  bool         `json:"leaving"`
	Revision uint64       `json:"revision"`
	InFlight int          `json:"in_flight"`
	Shards   []string     `json:"shards"`
	Peers    []peerReport `json:"peers"`
}

// peerReport is what an instance reports about one of its peers.
type peerReport struct {
	ID          string `json:"id"`
	Zone        string `json:"zone"`
	Unreachable bool   `json:"unreachable"`
}

// queryResult is an instance with its report, or the error of its query.
type queryResult struct {
	tables.Instance
	report *statusReport
	err    error
}

// Status queries the instances that the platform lists. If addresses of
// operators' ports are given, it queries these instead, for use while the
// platform is down.
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
	instances := instancesAt(addresses)
	if len(instances) == 0 {
		if instances, err = o.listEntryInstances(ctx); err != nil {
			return nil, eris.Wrapf(err, "step=list-instances; name operators' ports with --instances")
		}
	}
	status.addResults(queryAll(ctx, instances))
	return status, nil
}

// instancesAt returns instances of which only the address of the operators'
// port is known.
func instancesAt(addresses []string) []tables.Instance {
	instances := make([]tables.Instance, len(addresses))
	for i, a := range addresses {
		instances[i] = tables.Instance{ID: a, OperatorsAddress: a}
	}
	return instances
}

// listEntryInstances returns the entry instances of the instance list.
func (o *Operator) listEntryInstances(ctx context.Context) ([]tables.Instance, error) {
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

// queryAll queries the operators' port of each instance.
func queryAll(ctx context.Context, instances []tables.Instance) []queryResult {
	results := make([]queryResult, len(instances))
	workers := pool.New().WithMaxGoroutines(statusConcurrency)
	for i, instance := range instances {
		workers.Go(func() {
			report, err := queryStatus(ctx, instance.OperatorsAddress)
			results[i] = queryResult{Instance: instance, report: report, err: err}
		})
	}
	workers.Wait()
	return results
}

// queryStatus queries one operators' port.
func queryStatus(ctx context.Context, address string) (*statusReport, error) {
	if address == "" {
		return nil, eris.New("the instance list has no address of the operators' port")
	}
	client := &fasthttp.HostClient{
		Addr: address, Transport: httpread.Transport{}, MaxResponseBodySize: maxStatusBytes,
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
	report := &statusReport{}
	if err := json.Unmarshal(resp.Body(), report); err != nil {
		return nil, eris.Wrapf(err, "step=status peer=%s", address)
	}
	return report, nil
}

// addResults adds the state of each instance, ordered by zone and instance.
func (s *Status) addResults(results []queryResult) {
	for _, r := range results {
		if r.report != nil {
			s.Newest = max(s.Newest, r.report.Revision)
		}
	}
	partitioned := partitionedZones(results)
	for _, r := range results {
		s.Instances = append(s.Instances, s.instanceStatus(r, partitioned))
	}
	sort.Slice(s.Instances, func(i, j int) bool {
		a, b := &s.Instances[i], &s.Instances[j]
		return a.Zone < b.Zone || a.Zone == b.Zone && a.Instance < b.Instance
	})
}

// partitionedZones returns the zones that most other zones do not reach. A
// partitioned zone reports all others as unreachable, so one report is not
// enough.
func partitionedZones(results []queryResult) map[string]bool {
	reporting := map[string]bool{}
	unreachedFrom := map[string]map[string]bool{} // by zone: the zones that do not reach it
	for _, r := range results {
		if r.report == nil {
			continue
		}
		reporting[r.report.Zone] = true
		for _, p := range r.report.Peers {
			if !p.Unreachable || p.Zone == r.report.Zone {
				continue
			}
			if unreachedFrom[p.Zone] == nil {
				unreachedFrom[p.Zone] = map[string]bool{}
			}
			unreachedFrom[p.Zone][r.report.Zone] = true
		}
	}
	partitioned := map[string]bool{}
	for zone, from := range unreachedFrom {
		others := len(reporting)
		if reporting[zone] {
			others--
		}
		partitioned[zone] = 2*len(from) > others
	}
	return partitioned
}

// instanceStatus returns the state of one instance. An instance that is
// partitioned and stale is shown as partitioned, since that is the cause.
func (s *Status) instanceStatus(r queryResult, partitioned map[string]bool) InstanceStatus {
	i := InstanceStatus{Instance: r.ID, Zone: r.Zone, Address: r.OperatorsAddress}
	if r.err != nil {
		i.State, i.Error = NoResponse, r.err.Error()
		if r.Leaving {
			i.State = Leaving
		}
		return i
	}
	i.Instance, i.Zone = r.report.Instance, r.report.Zone
	i.Revision, i.Shards, i.InFlight = r.report.Revision, r.report.Shards, r.report.InFlight
	switch {
	case r.report.Leaving:
		i.State = Leaving
	case partitioned[i.Zone] || r.report.isolated():
		i.State = Partitioned
	case i.Revision < s.Newest || i.Revision == 0:
		i.State = Stale
	default:
		i.State = Active
	}
	return i
}

// isolated reports whether the instance knows instances in other zones and
// reaches none of them.
func (r *statusReport) isolated() bool {
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
