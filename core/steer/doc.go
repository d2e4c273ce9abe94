// Package steer selects the target of each request and decides whether a failed
// attempt is retried and when a request is refused. It uses no sockets, clocks
// or goroutines: callers pass in the current time and guard the Engine with a
// lock.
package steer
