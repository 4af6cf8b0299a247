//go:build race

package main

// raceDetector tells that the program is built with the race detector too.
const raceDetector = true
