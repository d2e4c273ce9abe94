// Package revision decides which revision of the steering document is active.
//
// It defines the rows of the document in the table service, verifies content
// by hash, and stages a revision in the whole zone before it becomes active.
package revision
