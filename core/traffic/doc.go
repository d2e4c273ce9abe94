// Package traffic decides what happens to each request: admission, the choice
// of an upstream or of a peer instance, retries and the final outcome.
//
// A new request is refused if it is a poison request, cannot meet its deadline
// or would exceed the budget of the link for its response. A planned shift may
// forward it to another region. Otherwise it starts at once on a free slot that
// this instance owns, is forwarded to a peer that is expected to serve it
// sooner, waits in the queue of its group and priority, or is refused. A freed
// slot goes to the queue that the group's scheduler selects. A request with an
// idempotency key is first routed to the owner of the key, which consults its
// record of the key before any refusal.
//
// The Engine is a state machine. It opens no sockets, starts no goroutines and
// reads no clock: callers pass typed events with the current time and perform
// the typed actions that it returns. It is not safe for concurrent use; the
// daemon guards it with a mutex.
package traffic
