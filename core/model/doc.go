// Package model plays a load in virtual time against the decisions of
// core/steer: callers that retry, instances that tell each other what they
// see, and targets with slots, a queue, a memory of objects and faults. It has
// no sockets, clocks or goroutines, and a seed always gives the same run.
package model
