// Package dhreducer holds the reducer over all events. A process has one State
// for control and one for traffic. Both go through Reduce, and only one goroutine
// at a time uses each of them.
package dhreducer

import (
	"dogwoodhitch/core/dhcontrol"
	"dogwoodhitch/core/dheffect"
	"dogwoodhitch/core/dhevent"
	"dogwoodhitch/core/dhtraffic"
)

// State is the state that events change: the control part, the traffic part, or
// both.
type State struct {
	control *dhcontrol.State
	traffic *dhtraffic.State
}

// NewControl returns state for control events.
func NewControl(o dhcontrol.Options) *State { return &State{control: dhcontrol.New(o)} }

// NewTraffic returns state for traffic events.
func NewTraffic(o dhtraffic.Options) *State { return &State{traffic: dhtraffic.New(o)} }

// Control returns the control part, or nil.
func (s *State) Control() *dhcontrol.State { return s.control }

// Traffic returns the traffic part, or nil.
func (s *State) Traffic() *dhtraffic.State { return s.traffic }

// Reduce applies one event to the state and appends the resulting effects to out.
// It performs no I/O and reads no clock: the same state and events give the same
// effects. An event for a part that the state lacks changes nothing.
func Reduce(s *State, e dhevent.Event, out *dheffect.List) {
	if s.traffic != nil && reduceTraffic(s.traffic, e, out) {
		return
	}
	if s.control != nil {
		s.control.Handle(e, out)
	}
}

// reduceTraffic applies an event to the traffic part, and reports whether it is a
// traffic event.
func reduceTraffic(t *dhtraffic.State, e dhevent.Event, out *dheffect.List) bool {
	switch e := e.(type) {
	case *dhevent.RequestReceived:
		t.HandleRequest(e, out)
	case *dhevent.AttemptEnded:
		t.HandleAttemptEnd(e, out)
	case *dhevent.UpstreamProbed:
		t.HandleProbe(e, out)
	case *dhevent.UpstreamLeaving:
		t.HandleUpstreamLeaving(e, out)
	case *dhevent.StopScheduled:
		t.HandleStopScheduled(e)
	case *dhevent.RequestCancelled:
		t.HandleCancellation(e, out)
	case *dhevent.LookUpRequested:
		t.HandleLookUp(e, out)
	case *dhevent.TrafficTicked:
		t.Tick(e.At(), out)
	case *dhevent.ViewPublished:
		t.HandleView(e)
	case *dhevent.GrantsReceived:
		t.HandleGrants(e, out)
	case *dhevent.ClaimResultReceived:
		t.HandleClaimResult(e, out)
	case *dhevent.ReservationReceived:
		t.HandleReservationResponse(e, out)
	case *dhevent.ReservationRequested:
		t.HandleReservationRequest(e, out)
	case *dhevent.UpstreamAnnounced:
		t.HandleAnnouncement(e, out)
	case *dhevent.UpstreamLeft:
		t.HandleDeregistration(e)
	case *dhevent.PoolStatusRequested:
		t.HandlePoolStatusRequest(e.At(), out)
	case *dhevent.BurnReportRequested:
		t.HandleBurnReportRequest(e.At(), out)
	default:
		return false
	}
	return true
}
