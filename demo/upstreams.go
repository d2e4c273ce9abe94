package demo

import (
	"fmt"
	"io"
	"net"

	"github.com/gofiber/fiber/v2"
	"github.com/rotisserie/eris"
)

// sampleUpstream is an HTTP server on loopback.
type sampleUpstream struct {
	name, group, zone string
	listener          net.Listener
	app               *fiber.App
}

func (s *sampleUpstream) address() string { return s.listener.Addr().String() }

// startUpstreams starts the sample upstreams of all zones.
func startUpstreams() ([]*sampleUpstream, error) {
	var upstreams []*sampleUpstream
	for _, region := range regions {
		for i := range zonesPerRegion {
			for _, g := range groups {
				for index := range g.targets {
					s, err := startUpstream(g.name, zoneName(region, i), index)
					if err != nil {
						stopUpstreams(upstreams)
						return nil, err
					}
					upstreams = append(upstreams, s)
				}
			}
		}
	}
	return upstreams, nil
}

func startUpstream(group, zone string, index int) (*sampleUpstream, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, eris.Wrap(err, "start sample upstream")
	}
	s := &sampleUpstream{
		name: fmt.Sprintf("%s-%s-%d", group, zone, index), group: group, zone: zone,
		listener: listener,
		app: fiber.New(fiber.Config{
			DisableStartupMessage: true,
			StreamRequestBody:     true,
			BodyLimit:             1,
		}),
	}
	s.app.Get("/healthz", func(c *fiber.Ctx) error { return c.JSON(fiber.Map{"utilization": 0}) })
	s.app.All("/*", s.handle)
	go func() { _ = s.app.Listener(listener) }()
	return s, nil
}

// handle responds with the name of the upstream and the number of body bytes it
// received.
func (s *sampleUpstream) handle(c *fiber.Ctx) error {
	size := int64(0)
	if body := c.Context().RequestBodyStream(); body != nil {
		copied, err := io.Copy(io.Discard, body)
		if err != nil {
			return err
		}
		size = copied
	}
	return c.JSON(fiber.Map{
		"upstream": s.name, "zone": s.zone, "method": c.Method(), "path": c.Path(), "body_bytes": size,
	})
}

func stopUpstreams(upstreams []*sampleUpstream) {
	for _, s := range upstreams {
		_ = s.app.Shutdown()
	}
}
