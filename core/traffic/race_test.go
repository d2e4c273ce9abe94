//go:build race

package traffic

// The race detector makes a sequence 6 times slower and has nothing to find in
// an Engine without goroutines, so a tenth of the count runs under it. The whole
// count is the second command in the README.
const faultChecks = faultTotal / faultParts / 10
