// Package soak holds a randomized test of the daemon as separate processes.
package soak
