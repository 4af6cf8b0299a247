package dhmessage

// HolderRequest is a GrantRequest with the name of the process that sent it.
type HolderRequest struct {
	holder  string
	request *GrantRequest
}

// NewHolderRequest returns the request of the holder with a name.
func NewHolderRequest(holder string, r *GrantRequest) HolderRequest {
	return HolderRequest{holder: holder, request: r}
}

// Holder returns the name of the process that sent the request.
func (r HolderRequest) Holder() string { return r.holder }

// Request returns the request.
func (r HolderRequest) Request() *GrantRequest { return r.request }

// RelayedGrantRequests are the requests of holders that a member of the consensus group in
// their zone passes on to the leader.
type RelayedGrantRequests struct{ list []HolderRequest }

// NewRelayedGrantRequests returns the message with some requests.
func NewRelayedGrantRequests(list []HolderRequest) *RelayedGrantRequests {
	return &RelayedGrantRequests{list: list}
}

// List returns the requests, in the order in which they arrived.
func (m *RelayedGrantRequests) List() []HolderRequest { return m.list }

func (*RelayedGrantRequests) message() {}

// HolderResponse is a GrantResponse with the name of the process that it is for.
type HolderResponse struct {
	holder   string
	response *GrantResponse
}

// NewHolderResponse returns the response for the holder with a name.
func NewHolderResponse(holder string, r *GrantResponse) HolderResponse {
	return HolderResponse{holder: holder, response: r}
}

// Holder returns the name of the process that the response is for.
func (r HolderResponse) Holder() string { return r.holder }

// Response returns the response.
func (r HolderResponse) Response() *GrantResponse { return r.response }

// RelayedGrantResponses answers RelayedGrantRequests. Its receiver passes each response on to
// its holder.
type RelayedGrantResponses struct{ list []HolderResponse }

// NewRelayedGrantResponses returns the message with some responses.
func NewRelayedGrantResponses(list []HolderResponse) *RelayedGrantResponses {
	return &RelayedGrantResponses{list: list}
}

// List returns the responses.
func (m *RelayedGrantResponses) List() []HolderResponse { return m.list }

func (*RelayedGrantResponses) message() {}
