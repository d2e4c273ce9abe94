// Package upstream is the HTTP client for upstreams and for the forward ports of
// other instances.
//
// One Pool serves one address. An exchange uses one connection, is never
// resent, and closes its connection unless the response was complete and nothing
// else arrived.
package upstream
