package dhmessage

import "dogwoodhitch/core/dhclock"

// ReservationRequestOptions are the fields of an IntakeAsk.
type ReservationRequestOptions struct {
	// Service is the service that is short of slots.
	Service string
	// SentAt is the sender's clock, echoed in the answer.
	SentAt dhclock.Millis
	// Slots is how many requests at once the sender would like to pass on.
	Slots int
}

// ReservationRequest asks another zone's instance how many requests it would take over.
type ReservationRequest struct {
	options ReservationRequestOptions
}

// NewReservationRequest returns an IntakeAsk.
func NewReservationRequest(o ReservationRequestOptions) *ReservationRequest {
	return &ReservationRequest{options: o}
}

// Service returns the service that is short of slots.
func (m *ReservationRequest) Service() string { return m.options.Service }

// SentAt returns the sender's clock, echoed in the answer.
func (m *ReservationRequest) SentAt() dhclock.Millis { return m.options.SentAt }

// Slots returns how many requests at once the sender would like to pass on.
func (m *ReservationRequest) Slots() int { return m.options.Slots }

func (*ReservationRequest) message() {}

// ReservationResponseOptions are the fields of an IntakeGive.
type ReservationResponseOptions struct {
	// Service is the service that is meant.
	Service string
	// RequestSentAt is the clock reading of the IntakeAsk.
	RequestSentAt dhclock.Millis
	// TTL is how long after Sent requests may be passed on.
	TTL dhclock.Millis
	// Slots is how many requests may run there at once for the receiver.
	Slots int
}

// ReservationResponse answers an IntakeAsk.
type ReservationResponse struct {
	options ReservationResponseOptions
}

// NewReservationResponse returns an IntakeGive.
func NewReservationResponse(o ReservationResponseOptions) *ReservationResponse {
	return &ReservationResponse{options: o}
}

// Service returns the service that is meant.
func (m *ReservationResponse) Service() string { return m.options.Service }

// RequestSentAt returns the clock reading of the IntakeAsk.
func (m *ReservationResponse) RequestSentAt() dhclock.Millis { return m.options.RequestSentAt }

// TTL returns how long after Sent requests may be passed on.
func (m *ReservationResponse) TTL() dhclock.Millis { return m.options.TTL }

// Slots returns how many requests may run there at once for the receiver.
func (m *ReservationResponse) Slots() int { return m.options.Slots }

func (*ReservationResponse) message() {}
