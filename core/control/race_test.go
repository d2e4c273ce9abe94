//go:build race

package control

// raceDetector tells that the test runs several times slower than usual.
const raceDetector = true
