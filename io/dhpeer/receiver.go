package dhpeer

import (
	"context"
	"crypto/subtle"
	"errors"
	"fmt"
	"net/http"
	"time"

	"connectrpc.com/connect"
	"github.com/sirupsen/logrus"
	"google.golang.org/protobuf/proto"

	"dogwoodhitch/core/dhmessage"
	"dogwoodhitch/io/dhproto"
	"dogwoodhitch/io/dhproto/dhprotoconnect"
	"dogwoodhitch/io/dhwire"
)

// maxRequestBytes bounds one delivery, in bytes.
const maxRequestBytes = 512 << 20

// ReceiverOptions are what a receiver needs.
type ReceiverOptions struct {
	Secret string
	// Receive gets each message; false if there is no room for it.
	Receive func(from dhmessage.Peer, m dhmessage.Message) bool
	// RecordAddress gets the address at which a sender listens.
	RecordAddress func(name, address string)
	// Self is this process.
	Self dhmessage.Peer
	// CollectResponses collects what this process says to another one; see Sender.
	CollectResponses func(name string) (answers chan dhmessage.Message, end func() []dhmessage.Message)
	// CountBytes gets the bytes of the answers that were sent; nil for none.
	CountBytes func(bytes int)
	Log        *logrus.Entry
}

// Receiver takes messages of other processes.
type Receiver struct{ options ReceiverOptions }

// NewReceiver returns a receiver.
func NewReceiver(o ReceiverOptions) *Receiver { return &Receiver{options: o} }

// Handler returns the path and the handler to serve.
func (r *Receiver) Handler() (string, http.Handler) {
	return dhprotoconnect.NewPeerServiceHandler(r, connect.WithReadMaxBytes(maxRequestBytes),
		connect.WithInterceptors(requireSecret(r.options.Secret)))
}

// responseWait is how long a call with a question waits for the answer, so that
// most answers need no call of their own.
const responseWait = 6 * time.Millisecond

// Deliver implements the service.
func (r *Receiver) Deliver(ctx context.Context, request *dhproto.DeliverRequest) (*dhproto.DeliverResponse, error) {
	if request.GetProtocol() != dhwire.ProtocolVersion {
		return nil, connect.NewError(connect.CodeFailedPrecondition, fmt.Errorf(
			"protocol %d is spoken by the sender and %d here; bring all processes to the same release",
			request.GetProtocol(), dhwire.ProtocolVersion))
	}
	w := request.GetFrom()
	from := dhmessage.NewPeer(w.GetName(), w.GetFolder())
	r.options.RecordAddress(w.GetName(), w.GetAddress())
	answers, end := r.options.CollectResponses(from.Name())
	asked, err := r.receive(from, request.GetMessages())
	var list []dhmessage.Message
	if asked && err == nil {
		list = waitForResponse(ctx, answers)
	}
	list = append(list, end()...)
	if err != nil {
		return nil, err
	}
	response := &dhproto.DeliverResponse{From: &dhproto.Peer{Name: r.options.Self.Name(), Folder: r.options.Self.FolderID()}}
	for _, m := range list {
		response.Messages = append(response.Messages, dhwire.MessageToWire(m))
	}
	if r.options.CountBytes != nil {
		r.options.CountBytes(proto.Size(response))
	}
	return response, nil
}

// receive hands messages on and tells whether one of them is a question.
func (r *Receiver) receive(from dhmessage.Peer, list []*dhproto.Message) (asked bool, err error) {
	for _, x := range list {
		m, err := dhwire.MessageFromWire(x)
		if err != nil {
			r.options.Log.WithError(err).WithField("peer", from.Name()).Warn("message can't be read")
			return false, connect.NewError(connect.CodeInvalidArgument, err)
		}
		if !r.options.Receive(from, m) {
			return false, connect.NewError(connect.CodeResourceExhausted, errors.New("the mailbox is full; messages are lost"))
		}
		asked = asked || expectsResponse(m)
	}
	return asked, nil
}

// expectsResponse tells whether a message is answered soon.
func expectsResponse(m dhmessage.Message) bool {
	switch m.(type) {
	case *dhmessage.VoteRequest, *dhmessage.AppendRequest, *dhmessage.Poll, *dhmessage.GrantRequest, *dhmessage.ProposeRequest, *dhmessage.ReservationRequest:
		return true
	default:
		return false
	}
}

// waitForResponse returns the first answer that comes in time, if one does.
func waitForResponse(ctx context.Context, answers chan dhmessage.Message) []dhmessage.Message {
	timer := time.NewTimer(responseWait)
	defer timer.Stop()
	select {
	case m := <-answers:
		return []dhmessage.Message{m}
	case <-timer.C:
	case <-ctx.Done():
	}
	return nil
}

func requireSecret(secret string) connect.UnaryInterceptorFunc {
	return func(next connect.UnaryFunc) connect.UnaryFunc {
		return func(ctx context.Context, r connect.AnyRequest) (connect.AnyResponse, error) {
			if !SecretMatches(r.Header(), secret) {
				return nil, connect.NewError(connect.CodeUnauthenticated, errors.New(
					"the shared secret is missing or wrong; give every process the same secret file"))
			}
			return next(ctx, r)
		}
	}
}

// SecretMatches tells whether a request carries the shared secret.
func SecretMatches(h http.Header, secret string) bool {
	return subtle.ConstantTimeCompare([]byte(h.Get(secretHeader)), []byte(secret)) == 1
}

// SetSecret puts the shared secret into a request.
func SetSecret(h http.Header, secret string) { h.Set(secretHeader, secret) }
