//go:build !race

package main

// raceDetector tells that the program is built without the race detector.
const raceDetector = false
