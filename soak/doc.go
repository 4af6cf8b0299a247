// Package dhsoak is a random soak of the real program. It runs a system of separate
// processes, injects faults that a seed determines, and checks what callers and upstreams
// observe.
package dhsoak
