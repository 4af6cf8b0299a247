//go:build !race

package main

// raceDetector reports whether to build the program with the race detector. The
// program is built without it, as these tests are.
const raceDetector = false
