// Package traffic decides what happens to each request: admission, the choice
// of an upstream or of a peer instance, retries and the final outcome.
//
// The Engine is a state machine. It opens no sockets, starts no goroutines and
// reads no clock: callers pass typed events with the current time and perform
// the typed actions that it returns. It is not safe for concurrent use; the
// daemon guards it with a mutex.
package traffic
