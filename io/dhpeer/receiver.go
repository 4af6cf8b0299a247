package dhpeer

import (
	"context"
	"crypto/subtle"
	"errors"
	"fmt"
	"net/http"
	"slices"
	"time"

	"connectrpc.com/connect"
	"github.com/sirupsen/logrus"

	"dogwoodhitch/core/dhmessage"
	"dogwoodhitch/io/dhproto"
	"dogwoodhitch/io/dhproto/dhprotoconnect"
	"dogwoodhitch/io/dhwire"
)

// maxRequestBytes bounds the size of one Deliver request.
const maxRequestBytes = 512 << 20

// ReceiverOptions configure a Receiver.
type ReceiverOptions struct {
	// Secret is the secret that the system's processes share.
	Secret string
	// Receive is called with each message. It returns false if the mailbox is
	// full.
	Receive func(from dhmessage.Peer, m dhmessage.Message) bool
	// RecordAddress is called with the address at which a sender listens.
	RecordAddress func(name, address string)
	// Self is this process.
	Self dhmessage.Peer
	// CollectResponses collects the messages that this process sends to another
	// one; see Sender.
	CollectResponses func(name string, accepts func(m dhmessage.Message) bool) (responses chan dhmessage.Message, end func() []dhmessage.Message)
	// CountBytes is called with the receiver, the kind and the size of each message; nil if
	// sizes are not counted.
	CountBytes func(to, kind string, bytes int)
	// Log is the logger of the peer layer.
	Log *logrus.Entry
}

// Receiver receives the messages of other processes.
type Receiver struct {
	options ReceiverOptions
	parts   partsAssembly
}

// NewReceiver returns a receiver.
func NewReceiver(o ReceiverOptions) *Receiver { return &Receiver{options: o} }

// Handler returns the path and the handler of the service.
func (r *Receiver) Handler() (string, http.Handler) {
	return dhprotoconnect.NewPeerServiceHandler(r, connect.WithReadMaxBytes(maxRequestBytes),
		connect.WithCompression(compressionName, newDecompressor, newCompressor), connect.WithCompressMinBytes(minCompressedBytes),
		connect.WithInterceptors(requireSecret(r.options.Secret)))
}

// responseWait is how long a call that carries a request message waits for the
// response message, so that most responses need no call of their own.
const responseWait = 6 * time.Millisecond

// grantResponseWait is that time for a request for tokens, which a member of the consensus group
// passes on to a leader in another region. A call back would cost both sides as much again.
const grantResponseWait = 200 * time.Millisecond

// Deliver implements the PeerService. Its response carries the messages to the
// caller that this process sends while the call is open.
func (r *Receiver) Deliver(ctx context.Context, request *dhproto.DeliverRequest) (*dhproto.DeliverResponse, error) {
	if request.GetProtocol() != dhwire.ProtocolVersion {
		return nil, connect.NewError(connect.CodeFailedPrecondition, fmt.Errorf(
			"the sender uses protocol version %d, this process %d; bring all processes to the same release",
			request.GetProtocol(), dhwire.ProtocolVersion))
	}
	sender := request.GetFrom()
	from := dhmessage.NewPeer(sender.GetName(), sender.GetFolder())
	r.options.RecordAddress(sender.GetName(), sender.GetAddress())
	responses, end := r.options.CollectResponses(from.Name(), responseFilter(request.GetMessages()))
	wait, err := r.receive(from, request.GetMessages())
	var list []dhmessage.Message
	if wait > 0 && err == nil {
		list = waitForResponse(ctx, responses, wait)
	}
	list = append(list, end()...)
	if err != nil {
		return nil, err
	}
	response := &dhproto.DeliverResponse{From: &dhproto.Peer{Name: r.options.Self.Name(), Folder: r.options.Self.FolderID()}}
	for _, m := range list {
		response.Messages = append(response.Messages, dhwire.MessageToWire(m))
	}
	countMessages(r.options.CountBytes, from.Name(), response.GetMessages())
	return response, nil
}

// receive decodes messages and passes them to Receive. It returns how long to wait for a
// response to one of them. A message that can't be decoded, such as one of a later
// release, counts as lost and doesn't affect the others.
func (r *Receiver) receive(from dhmessage.Peer, list []*dhproto.Message) (wait time.Duration, err error) {
	for _, x := range list {
		if part := x.GetInstallPart(); part != nil {
			if err := r.receivePart(from, part); err != nil {
				return 0, err
			}
			continue
		}
		m, err := dhwire.MessageFromWire(x)
		if err != nil {
			r.options.Log.WithError(err).WithField("peer", from.Name()).Warn("peer message can't be decoded; it is dropped")
			continue
		}
		if !r.options.Receive(from, m) {
			return 0, errMailboxFull()
		}
		wait = max(wait, responseWaitFor(m))
	}
	return wait, nil
}

// receivePart adds a part of a snapshot, and passes the snapshot on once it has all parts.
func (r *Receiver) receivePart(from dhmessage.Peer, part *dhproto.InstallPart) error {
	m, err := r.parts.add(from.Name(), part)
	if err != nil || m == nil {
		return err
	}
	if !r.options.Receive(from, m) {
		return errMailboxFull()
	}
	return nil
}

func errMailboxFull() error {
	return connect.NewError(connect.CodeResourceExhausted, errors.New("the receiver's mailbox is full; messages are dropped"))
}

// responseWaitFor returns how long a call waits for the response to a message; 0 if there is
// usually none in that time.
func responseWaitFor(m dhmessage.Message) time.Duration {
	switch m := m.(type) {
	case *dhmessage.GrantRequest:
		if m.RequestsTokens() {
			return grantResponseWait
		}
		return 0
	case *dhmessage.VoteRequest, *dhmessage.AppendRequest, *dhmessage.Poll, *dhmessage.RelayedGrantRequests, *dhmessage.ProposeRequest, *dhmessage.ReservationRequest:
		return responseWait
	default:
		return 0
	}
}

// responseFilter returns which messages the response to a call may carry. A call with a request for tokens
// waits long, but ends with its first response: another message would take the place of the tokens, which then need a call of their own.
func responseFilter(list []*dhproto.Message) func(m dhmessage.Message) bool {
	if !slices.ContainsFunc(list, requestsTokens) {
		return func(dhmessage.Message) bool { return true }
	}
	return func(m dhmessage.Message) bool {
		switch m.(type) {
		case *dhmessage.GrantResponse, *dhmessage.Redirect:
			return true
		default:
			return false
		}
	}
}

// requestsTokens reports whether a message is a request for tokens, and not only a report.
func requestsTokens(m *dhproto.Message) bool {
	return slices.ContainsFunc(m.GetGrantAsk().GetAsks(), func(a *dhproto.Ask) bool { return a.GetWant() > 0 })
}

// waitForResponse returns the first response that arrives within a time, if any.
func waitForResponse(ctx context.Context, responses chan dhmessage.Message, wait time.Duration) []dhmessage.Message {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case m := <-responses:
		return []dhmessage.Message{m}
	case <-timer.C:
	case <-ctx.Done():
	}
	return nil
}

// requireSecret returns an interceptor that rejects calls without the shared
// secret.
func requireSecret(secret string) connect.UnaryInterceptorFunc {
	return func(next connect.UnaryFunc) connect.UnaryFunc {
		return func(ctx context.Context, r connect.AnyRequest) (connect.AnyResponse, error) {
			if !SecretMatches(r.Header(), secret) {
				return nil, connect.NewError(connect.CodeUnauthenticated, errors.New(
					"the shared secret is missing or wrong; use the same secret file for every process"))
			}
			return next(ctx, r)
		}
	}
}

// SecretMatches reports whether a request carries the shared secret.
func SecretMatches(h http.Header, secret string) bool {
	return subtle.ConstantTimeCompare([]byte(h.Get(secretHeader)), []byte(secret)) == 1
}

// SetSecret sets the shared secret in the header of a request.
func SetSecret(h http.Header, secret string) { h.Set(secretHeader, secret) }
