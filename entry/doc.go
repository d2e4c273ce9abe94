// Package entry serves the HTTP ports of an instance: the callers' port
// (lookups and proxied requests), the forward port (requests that peers
// forward) and the operators' port.
//
// Steer serializes access to the traffic engine. Each request has one
// goroutine, which carries out the engine's actions for that request.
package entry
