package demo

import (
	"fmt"
	"io"
	"net"

	"github.com/gofiber/fiber/v2"
	"github.com/rotisserie/eris"
)

// sample is a sample upstream on loopback.
type sample struct {
	name, group, zone string
	listener          net.Listener
	app               *fiber.App
}

func (s *sample) address() string { return s.listener.Addr().String() }

// startSamples starts the sample upstreams of all zones.
func startSamples() ([]*sample, error) {
	var samples []*sample
	for _, region := range regions {
		for i := range zonesPerRegion {
			for _, g := range groups {
				for n := range g.targets {
					s, err := startSample(g.name, zoneName(region, i), n)
					if err != nil {
						stopSamples(samples)
						return nil, err
					}
					samples = append(samples, s)
				}
			}
		}
	}
	return samples, nil
}

func startSample(group, zone string, n int) (*sample, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, eris.Wrap(err, "start sample upstream")
	}
	s := &sample{
		name: fmt.Sprintf("%s-%s-%d", group, zone, n), group: group, zone: zone,
		listener: listener,
		app: fiber.New(fiber.Config{
			DisableStartupMessage: true,
			StreamRequestBody:     true,
			BodyLimit:             1,
		}),
	}
	s.app.Get("/healthz", func(c *fiber.Ctx) error { return c.JSON(fiber.Map{"utilization": 0}) })
	s.app.All("/*", s.answer)
	go func() { _ = s.app.Listener(listener) }()
	return s, nil
}

// answer tells which upstream answered and how many bytes it got.
func (s *sample) answer(c *fiber.Ctx) error {
	size := int64(0)
	if body := c.Context().RequestBodyStream(); body != nil {
		read, err := io.Copy(io.Discard, body)
		if err != nil {
			return err
		}
		size = read
	}
	return c.JSON(fiber.Map{
		"upstream": s.name, "zone": s.zone, "method": c.Method(), "path": c.Path(), "body_bytes": size,
	})
}

func stopSamples(samples []*sample) {
	for _, s := range samples {
		_ = s.app.Shutdown()
	}
}
