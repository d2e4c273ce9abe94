// Package revision decides which revision of the steering document is active.
//
// It defines the rows of the document in the table service (rows.go), fetches
// the sections of a newer revision from the platform or from peers and verifies
// them by hash (fetch.go), and stages a revision in the whole zone before it
// becomes active:
//
//   - An instance that holds a newer revision in full offers it to all live
//     instances of its zone in a round, unless a zone peer already does. Each
//     acknowledges once it holds the revision in full too (round.go).
//   - When all have acknowledged, the instance activates the revision. The others
//     activate it when a message from a zone peer states that it is active.
//   - An instance without an active revision also needs a synced zone peer or
//     the platform to confirm that there is no newer one (sync.go).
package revision
