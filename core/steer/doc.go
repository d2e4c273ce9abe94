// Package steer decides which target runs a request, whether a failed attempt
// is repeated, and when a request is refused. It has no sockets, clocks or
// goroutines: callers pass the time in and guard the Engine by a lock.
package steer
