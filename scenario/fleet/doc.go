// Package fleet runs scripted scenarios with real control engines in virtual
// time. Links, the platform and processes are small fakes, and edits are made by
// the operations behind pistachioctl. Invariant checks, independent of the
// engines, examine each run by what can be observed from outside of them.
//
// It is test support only. A run is deterministic.
package fleet
