package dhmessage

import "dogwoodhitch/core/dhclock"

// ReservationRequestOptions are the fields of a ReservationRequest.
type ReservationRequestOptions struct {
	// Service is the service that is short of slots.
	Service string
	// SentAt is the sender's clock reading at sending. The response repeats it.
	SentAt dhclock.Millis `journal:"Sent"`
	// Slots is how many requests the sender would forward at the same time.
	Slots int `journal:"Want"`
}

// ReservationRequest asks another instance to reserve slots for requests that
// the sender forwards.
type ReservationRequest struct {
	options ReservationRequestOptions
}

// NewReservationRequest returns a ReservationRequest.
func NewReservationRequest(o ReservationRequestOptions) *ReservationRequest {
	return &ReservationRequest{options: o}
}

// Service returns the service that is short of slots.
func (m *ReservationRequest) Service() string { return m.options.Service }

// SentAt returns the sender's clock reading at sending.
func (m *ReservationRequest) SentAt() dhclock.Millis { return m.options.SentAt }

// Slots returns how many requests the sender would forward at the same time.
func (m *ReservationRequest) Slots() int { return m.options.Slots }

func (*ReservationRequest) message() {}

// ReservationResponseOptions are the fields of a ReservationResponse.
type ReservationResponseOptions struct {
	// Service is the service whose slots are reserved.
	Service string
	// RequestSentAt is the clock reading of the ReservationRequest.
	RequestSentAt dhclock.Millis `journal:"Sent"`
	// TTL is how long after RequestSentAt requests may be forwarded, in
	// milliseconds.
	TTL dhclock.Millis `journal:"Life"`
	// Slots is how many forwarded requests may run at the same time.
	Slots int
}

// ReservationResponse answers a ReservationRequest.
type ReservationResponse struct {
	options ReservationResponseOptions
}

// NewReservationResponse returns a ReservationResponse.
func NewReservationResponse(o ReservationResponseOptions) *ReservationResponse {
	return &ReservationResponse{options: o}
}

// Service returns the service whose slots are reserved.
func (m *ReservationResponse) Service() string { return m.options.Service }

// RequestSentAt returns the clock reading of the ReservationRequest.
func (m *ReservationResponse) RequestSentAt() dhclock.Millis { return m.options.RequestSentAt }

// TTL returns how long after RequestSentAt requests may be forwarded, in
// milliseconds.
func (m *ReservationResponse) TTL() dhclock.Millis { return m.options.TTL }

// Slots returns how many forwarded requests may run at the same time.
func (m *ReservationResponse) Slots() int { return m.options.Slots }

func (*ReservationResponse) message() {}
