// Package scenario runs scripted scenarios with the real traffic engine in
// virtual time: callers, links and upstreams are small fakes. Independent
// checks judge each run by what the fakes saw.
//
// It is support for tests. A run is single-threaded and deterministic.
package scenario
