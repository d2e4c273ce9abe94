// Package entry serves the HTTP ports of an instance: callers (lookup and
// proxy), requests forwarded by peers, and operators.
//
// Steer guards the traffic engine; one goroutine per request carries out the
// actions of that request.
package entry
