//go:build !race

package dhtestcluster

// raceDetector reports whether to build the program with the race detector. The
// program is built without it, as the tests are.
const raceDetector = false
