package standin

import (
	"net"
	"time"

	"github.com/gofiber/fiber/v2"

	"pistachioford.example/pistachioford/tables"
)

// registerRoutes registers the handlers. Reads and writes have limits of their
// own, and only responses of writes can be lost.
func (s *Standin) registerRoutes() {
	s.app.Post(tables.PathGet, s.readHandler(s.get))
	s.app.Post(tables.PathList, s.readHandler(s.list))
	s.app.Post(tables.PathInstances, s.readHandler(s.listInstances))
	s.app.Get(tables.PathObjects+"*", s.readHandler(s.getObject))
	s.app.Post(tables.PathCommit, s.writeHandler(s.commit))
	s.app.Put(tables.PathObjects+"*", s.writeHandler(s.putObject))
	s.app.Post(tables.PathRegister, s.writeHandler(s.register))
	s.app.Post(tables.PathLeave, s.writeHandler(s.leave))
}

func (s *Standin) readHandler(handler fiber.Handler) fiber.Handler {
	return func(c *fiber.Ctx) error {
		f := s.recordCall(c.Get(tables.HeaderInstance), false)
		if f.Down {
			return closeWithoutResponse(c)
		}
		time.Sleep(f.Delay)
		if !s.readLimiter.Allow() {
			s.recordLimited()
			return c.SendStatus(fiber.StatusTooManyRequests)
		}
		return handler(c)
	}
}

func (s *Standin) writeHandler(handler fiber.Handler) fiber.Handler {
	return func(c *fiber.Ctx) error {
		instance := c.Get(tables.HeaderInstance)
		f := s.recordCall(instance, true)
		if f.Down {
			return closeWithoutResponse(c)
		}
		time.Sleep(f.Delay)
		if !s.writeLimiter.Allow() {
			s.recordLimited()
			return c.SendStatus(fiber.StatusTooManyRequests)
		}
		if err := handler(c); err != nil {
			return err
		}
		if c.Response().StatusCode() < 300 && s.takeLostResponse(instance) {
			return closeWithoutResponse(c)
		}
		return nil
	}
}

// closeWithoutResponse closes the connection of a call.
func closeWithoutResponse(c *fiber.Ctx) error {
	c.Context().HijackSetNoResponse(true)
	c.Context().Hijack(func(conn net.Conn) { _ = conn.Close() })
	return nil
}

func (s *Standin) get(c *fiber.Ctx) error {
	var request tables.GetRequest
	if err := c.BodyParser(&request); err != nil {
		return fiber.ErrBadRequest
	}
	return c.JSON(tables.RowsResponse{Rows: s.store.get(request.Keys)})
}

func (s *Standin) list(c *fiber.Ctx) error {
	var request tables.ListRequest
	if err := c.BodyParser(&request); err != nil {
		return fiber.ErrBadRequest
	}
	return c.JSON(tables.RowsResponse{Rows: s.store.list(request.Prefix)})
}

func (s *Standin) commit(c *fiber.Ctx) error {
	var request tables.Commit
	if err := c.BodyParser(&request); err != nil {
		return fiber.ErrBadRequest
	}
	rows, ok := s.store.commit(request)
	if !ok {
		return fiber.ErrConflict
	}
	return c.JSON(tables.RowsResponse{Rows: rows})
}

func (s *Standin) getObject(c *fiber.Ctx) error {
	data, ok := s.store.getObject(c.Params("*"))
	if !ok {
		return fiber.ErrNotFound
	}
	return c.Send(data)
}

func (s *Standin) putObject(c *fiber.Ctx) error {
	s.store.putObject(c.Params("*"), append([]byte(nil), c.Body()...))
	return c.SendStatus(fiber.StatusNoContent)
}

func (s *Standin) listInstances(c *fiber.Ctx) error {
	return c.JSON(tables.InstancesResponse{Instances: s.store.listInstances(time.Now())})
}

func (s *Standin) register(c *fiber.Ctx) error {
	var instance tables.Instance
	if err := c.BodyParser(&instance); err != nil || instance.ID == "" {
		return fiber.ErrBadRequest
	}
	s.store.addChange(instanceChange{at: time.Now(), instance: instance})
	return c.JSON(struct{}{})
}

func (s *Standin) leave(c *fiber.Ctx) error {
	var request tables.LeaveRequest
	if err := c.BodyParser(&request); err != nil {
		return fiber.ErrBadRequest
	}
	s.store.addChange(instanceChange{at: time.Now(), instance: tables.Instance{ID: request.ID}, leave: true})
	return c.JSON(struct{}{})
}
