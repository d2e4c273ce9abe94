// Package model simulates a load on the engines of core/steer in virtual time:
// callers that retry, instances that share their observations, and targets with
// slots, a queue, a cache of objects and faults. It uses no sockets, clocks or
// goroutines, and runs with the same seed are identical.
package model
