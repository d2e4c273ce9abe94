// Package examples holds settings, documents and loads for the two users that
// section 1.1 of the design describes, and tests that they are valid.
package examples
