// Package examples holds the settings and steering documents of the two users
// of section 1.1 of the design, and the test that they are valid.
package examples
