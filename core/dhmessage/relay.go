package dhmessage

// RelayedGrantRequest is a holder's GrantRequest that a member of the consensus group in its
// zone passes on to the leader. One call of the member carries the requests of many holders.
type RelayedGrantRequest struct {
	holder  string
	request *GrantRequest
}

// NewRelayedGrantRequest returns the request of the holder with a name.
func NewRelayedGrantRequest(holder string, r *GrantRequest) *RelayedGrantRequest {
	return &RelayedGrantRequest{holder: holder, request: r}
}

// Holder returns the name of the process that sent the request.
func (m *RelayedGrantRequest) Holder() string { return m.holder }

// Request returns the request.
func (m *RelayedGrantRequest) Request() *GrantRequest { return m.request }

func (*RelayedGrantRequest) message() {}

// RelayedGrantResponse answers a RelayedGrantRequest. Its receiver passes the response on to
// the holder.
type RelayedGrantResponse struct {
	holder   string
	response *GrantResponse
}

// NewRelayedGrantResponse returns the response for the holder with a name.
func NewRelayedGrantResponse(holder string, r *GrantResponse) *RelayedGrantResponse {
	return &RelayedGrantResponse{holder: holder, response: r}
}

// Holder returns the name of the process that the response is for.
func (m *RelayedGrantResponse) Holder() string { return m.holder }

// Response returns the response.
func (m *RelayedGrantResponse) Response() *GrantResponse { return m.response }

func (*RelayedGrantResponse) message() {}
