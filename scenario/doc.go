// Package scenario runs scripted scenarios with the real traffic engine in
// virtual time. Callers, links and upstreams are small fakes. Invariant checks,
// independent of the engine, examine each run by what the fakes observed.
//
// It is test support only. A run is single-threaded and deterministic.
package scenario
