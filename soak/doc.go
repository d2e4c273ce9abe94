// Package soak holds a randomized fault-injection test that runs the daemon as
// separate processes.
package soak
