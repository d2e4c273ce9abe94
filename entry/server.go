package entry

import (
	"context"
	"net"
	"time"

	"github.com/gofiber/fiber/v2"
	"github.com/valyala/fasthttp"
)

const (
	// readTimeout bounds the wait for a request, idle connections included, and
	// the time to read its header. One value for both lets the deadline of a
	// busy connection stay as it is.
	readTimeout = 60 * time.Second
	// prefetchedBytes is the part of a body that the server reads before it
	// calls the handler; the handler reads the rest, so that it knows of every
	// upload in progress.
	prefetchedBytes = 1
)

// Server serves one port.
type Server struct {
	http     *fasthttp.Server
	listener net.Listener
}

// NewServer returns a server on a listener. It is started by Serve.
func NewServer(listener net.Listener, handler fasthttp.RequestHandler, headerBytes int) *Server {
	return &Server{listener: listener, http: &fasthttp.Server{
		Handler:                      handler,
		ReadBufferSize:               headerBytes,
		MaxRequestBodySize:           prefetchedBytes,
		StreamRequestBody:            true,
		DisablePreParseMultipartForm: true,
		ReadTimeout:                  readTimeout,
		NoDefaultServerHeader:        true,
		NoDefaultContentType:         true,
		SecureErrorLogMessage:        true,
		LazyRequestTime:              true,
		Logger:                       quietLogger{},
		ErrorHandler:                 serverError,
	}}
}

// Address returns the address that the server listens on.
func (s *Server) Address() string { return s.listener.Addr().String() }

// Serve returns when the listener is closed.
func (s *Server) Serve() error { return s.http.Serve(s.listener) }

// Shutdown closes the listener and idle connections, and waits for all
// requests in flight, partly sent uploads included.
func (s *Server) Shutdown(ctx context.Context) error { return s.http.ShutdownWithContext(ctx) }

// CallerHandler serves lookups by fiber and all else by the proxy.
func CallerHandler(lookup *Lookup, proxy *Proxy) fasthttp.RequestHandler {
	app := newApp()
	app.Get(LookupPath, lookup.Serve)
	lookups := app.Handler()
	return func(ctx *fasthttp.RequestCtx) {
		if string(ctx.Path()) == LookupPath {
			lookups(ctx)
			return
		}
		proxy.ServeCaller(ctx)
	}
}

// OperatorHandler serves the operators' port.
func OperatorHandler(operators *Operators) fasthttp.RequestHandler {
	app := newApp()
	operators.Mount(app)
	return app.Handler()
}

func newApp() *fiber.App {
	return fiber.New(fiber.Config{DisableStartupMessage: true})
}

// quietLogger drops the server's own lines: they can quote requests, and so
// show secrets.
type quietLogger struct{}

func (quietLogger) Printf(string, ...any) {}

// serverError answers a request that could not be read; nothing of it ran.
func serverError(ctx *fasthttp.RequestCtx, err error) {
	status := fasthttp.StatusBadRequest
	if _, small := err.(*fasthttp.ErrSmallBuffer); small {
		status = fasthttp.StatusRequestHeaderFieldsTooLarge
	}
	ctx.Error("the request could not be read\n", status)
}
