package entry

import (
	"sync/atomic"

	"github.com/gofiber/fiber/v2"
	"github.com/valyala/fasthttp/expvarhandler"

	"pistachioford.example/core/control"
)

// Paths of the operators' port.
const (
	VarsPath   = "/debug/vars"
	StatusPath = "/v1/status"
)

// Status is the JSON body of the response to a request for StatusPath.
type Status struct {
	Instance string       `json:"instance"`
	Zone     string       `json:"zone"`
	Region   string       `json:"region"`
	Leaving  bool         `json:"leaving"`
	Revision uint64       `json:"revision"`
	InFlight int          `json:"in_flight"`
	Shards   []string     `json:"shards"`
	Peers    []StatusPeer `json:"peers"`
}

// StatusPeer is a live peer as this instance sees it.
type StatusPeer struct {
	ID          string `json:"id"`
	Zone        string `json:"zone"`
	Region      string `json:"region"`
	Leaving     bool   `json:"leaving"`
	Unreachable bool   `json:"unreachable"`
	Revision    uint64 `json:"revision"`
}

// Operators serves the operators' port.
type Operators struct {
	self  Self
	steer *Steer
	view  *atomic.Pointer[View]
}

// NewOperators returns the handlers of the operators' port.
func NewOperators(self Self, steer *Steer, view *atomic.Pointer[View]) *Operators {
	return &Operators{self: self, steer: steer, view: view}
}

// Mount adds the routes to app.
func (o *Operators) Mount(app *fiber.App) {
	app.Get(VarsPath, func(c *fiber.Ctx) error {
		expvarhandler.ExpvarHandler(c.Context())
		return nil
	})
	app.Get(StatusPath, func(c *fiber.Ctx) error { return c.JSON(o.Status()) })
}

// Status returns the current status. It is safe for concurrent use.
func (o *Operators) Status() Status {
	view := o.view.Load()
	status := Status{
		Instance: o.self.ID, Zone: o.self.Zone, Region: o.self.Region,
		Leaving: view.Leaving, InFlight: o.steer.InFlight(),
		Shards: []string{}, Peers: []StatusPeer{},
	}
	if view.Document != nil {
		status.Revision = view.Document.Revision
		status.Shards = shardNames(view)
	}
	for i := range view.Peers {
		status.Peers = append(status.Peers, peerStatus(&view.Peers[i]))
	}
	return status
}

func shardNames(view *View) []string {
	names := make([]string, len(view.Held))
	for i := range view.Held {
		names[i] = keyPrefix(view.Document, view.Held[i].Shard)
	}
	return names
}

func peerStatus(p *control.Peer) StatusPeer {
	return StatusPeer{
		ID: string(p.ID), Zone: p.Zone, Region: p.Region,
		Leaving: p.Leaving, Unreachable: p.Unreachable, Revision: p.Revision,
	}
}
