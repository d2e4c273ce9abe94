package entry

import (
	"context"
	"net"
	"time"

	"github.com/gofiber/fiber/v2"
	"github.com/valyala/fasthttp"

	"pistachioford.example/pistachioford/listeners"
)

const (
	// readTimeout bounds the wait for a request on an idle connection and the
	// time to read its header. With one value for both, the read deadline of a
	// busy connection seldom needs to change (see deadlineTolerance).
	readTimeout = 60 * time.Second
	// prefetchedBytes is how much of a body the server reads before it calls
	// the handler. The handler reads the rest, so that it knows of every upload
	// in progress.
	prefetchedBytes = 1
)

// Server serves one port.
type Server struct {
	http     *fasthttp.Server
	listener net.Listener
}

// NewServer returns a server for a listener, to be started with Serve.
// headerBytes is the maximum size of the header of a request.
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
		Logger:                       discardLogger{},
		ErrorHandler:                 handleReadError,
	}}
}

// Address returns the address that the server listens on.
func (s *Server) Address() string { return s.listener.Addr().String() }

// Serve serves requests until the listener is closed.
func (s *Server) Serve() error { return s.http.Serve(listeners.Persistent(s.listener)) }

// Shutdown closes the listener and idle connections, and waits for all requests
// in flight, including uploads that have only partly arrived, and for callers that
// have not received their responses yet.
func (s *Server) Shutdown(ctx context.Context) error {
	listeners.FinishHandshakes(ctx, s.listener)
	if err := s.http.ShutdownWithContext(ctx); err != nil {
		return err
	}
	if limited, ok := s.listener.(*limitedListener); ok {
		return limited.awaitEnding(ctx)
	}
	// Behind TLS are other instances, which send nothing before they have received
	// the response: the system delivers it after the process has ended.
	return nil
}

// CallerHandler passes lookups to lookup and all other requests to proxy.
func CallerHandler(lookup *Lookup, proxy *Proxy) fasthttp.RequestHandler {
	app := newApp()
	app.Get(LookupPath, lookup.Serve)
	lookupHandler := app.Handler()
	return func(ctx *fasthttp.RequestCtx) {
		if string(ctx.Path()) == LookupPath {
			lookupHandler(ctx)
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

// discardLogger drops the log lines of the HTTP server: they may quote requests
// and so reveal secrets.
type discardLogger struct{}

func (discardLogger) Printf(string, ...any) {}

// handleReadError refuses a request that could not be read, and so did not run.
func handleReadError(ctx *fasthttp.RequestCtx, err error) {
	status := fasthttp.StatusBadRequest
	if _, headerTooLarge := err.(*fasthttp.ErrSmallBuffer); headerTooLarge {
		status = fasthttp.StatusRequestHeaderFieldsTooLarge
	}
	ctx.Error("the request could not be read\n", status)
}
