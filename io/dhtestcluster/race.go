//go:build race

package dhtestcluster

// raceDetector reports whether to build the program with the race detector. The
// program is built with it, as the tests are.
const raceDetector = true
