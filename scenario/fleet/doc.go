// Package fleet runs scripted scenarios with real control engines in virtual
// time: links, the platform and processes are small fakes, and edits are made by
// the operations behind pistachioctl. Independent checks judge each run by what
// can be seen from outside of the engines.
//
// It is support for tests. A run is deterministic.
package fleet
