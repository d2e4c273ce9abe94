// Package poison finds requests that crash each target that runs them, and makes
// all instances of a fleet refuse their copies. It uses no sockets or clocks.
//
// An exchange whose connection the target closes before a complete response is
// evidence that the request crashed the target. So is one without a response,
// once the registry shows that the target was lost: by itself it says only that
// the target, a link or the caller was slow or impatient. Copies of a request
// may reach any instance, so each instance sends its evidence to the request's
// keepers: the few instances that rendezvous hashing selects for its
// fingerprint. An instance that holds enough evidence declares the request
// blocked. Such a verdict goes to all instances at once, is repeated in
// heartbeats for those that missed it, and is saved outside the fleet for the
// case that all instances stop.
//
// A target may also break an exchange for other reasons, such as a power loss.
// A request that was served recently, or whose exchanges all broke at the same
// time, is therefore not blocked, and a complete response to any copy ends the
// suspicion and the block.
package poison
