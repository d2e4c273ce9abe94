//go:build !race

package traffic

const faultChecks = faultTotal / faultParts
