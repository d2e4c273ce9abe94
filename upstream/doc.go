// Package upstream is the HTTP client towards upstreams and towards the
// forward ports of other instances.
//
// One Pool serves one address. An exchange is bound to one connection, is
// never sent twice, and closes its connection unless the answer was whole and
// nothing else arrived.
package upstream
