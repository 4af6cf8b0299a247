//go:build !race

package main

// raceDetector reports whether to build the program with the race detector.
const raceDetector = false
