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

// maxDelivery bounds one delivery, in bytes.
const maxDelivery = 512 << 20

// ReceiverOptions are what a receiver needs.
type ReceiverOptions struct {
	Secret string
	// Take gets each message; false if there is no room for it.
	Take func(from dhmessage.Peer, m dhmessage.Message) bool
	// Learn gets the address at which a sender listens.
	Learn func(name, address string)
	// Self is this process.
	Self dhmessage.Peer
	// Answers collects what this process says to another one; see Sender.
	Answers func(name string) (answers chan dhmessage.Message, end func() []dhmessage.Message)
	// Count gets the bytes of the answers that were sent; nil for none.
	Count func(bytes int)
	Log   *logrus.Entry
}

// Receiver takes messages of other processes.
type Receiver struct{ options ReceiverOptions }

// NewReceiver returns a receiver.
func NewReceiver(o ReceiverOptions) *Receiver { return &Receiver{options: o} }

// Handler returns the path and the handler to serve.
func (r *Receiver) Handler() (string, http.Handler) {
	return dhprotoconnect.NewPeerServiceHandler(r, connect.WithReadMaxBytes(maxDelivery),
		connect.WithInterceptors(requireSecret(r.options.Secret)))
}

// answerWait is how long a call with a question waits for the answer, so that
// most answers need no call of their own.
const answerWait = 6 * time.Millisecond

// Deliver implements the service.
func (r *Receiver) Deliver(ctx context.Context, request *dhproto.DeliverRequest) (*dhproto.DeliverResponse, error) {
	if request.GetProtocol() != dhwire.Protocol {
		return nil, connect.NewError(connect.CodeFailedPrecondition, fmt.Errorf(
			"protocol %d is spoken by the sender and %d here; bring all processes to the same release",
			request.GetProtocol(), dhwire.Protocol))
	}
	w := request.GetFrom()
	from := dhmessage.NewPeer(w.GetName(), w.GetFolder())
	r.options.Learn(w.GetName(), w.GetAddress())
	answers, end := r.options.Answers(from.Name())
	asked, err := r.take(from, request.GetMessages())
	var list []dhmessage.Message
	if asked && err == nil {
		list = waitForAnswer(ctx, answers)
	}
	list = append(list, end()...)
	if err != nil {
		return nil, err
	}
	response := &dhproto.DeliverResponse{From: &dhproto.Peer{Name: r.options.Self.Name(), Folder: r.options.Self.FolderID()}}
	for _, m := range list {
		response.Messages = append(response.Messages, dhwire.MessageToWire(m))
	}
	if r.options.Count != nil {
		r.options.Count(proto.Size(response))
	}
	return response, nil
}

// take hands messages on and tells whether one of them is a question.
func (r *Receiver) take(from dhmessage.Peer, list []*dhproto.Message) (asked bool, err error) {
	for _, x := range list {
		m, err := dhwire.MessageFromWire(x)
		if err != nil {
			r.options.Log.WithError(err).WithField("peer", from.Name()).Warn("message can't be read")
			return false, connect.NewError(connect.CodeInvalidArgument, err)
		}
		if !r.options.Take(from, m) {
			return false, connect.NewError(connect.CodeResourceExhausted, errors.New("the mailbox is full; messages are lost"))
		}
		asked = asked || isQuestion(m)
	}
	return asked, nil
}

// isQuestion tells whether a message is answered soon.
func isQuestion(m dhmessage.Message) bool {
	switch m.(type) {
	case *dhmessage.VoteRequest, *dhmessage.AppendRequest, *dhmessage.Poll, *dhmessage.GrantRequest, *dhmessage.ProposeRequest, *dhmessage.ReservationRequest:
		return true
	default:
		return false
	}
}

// waitForAnswer returns the first answer that comes in time, if one does.
func waitForAnswer(ctx context.Context, answers chan dhmessage.Message) []dhmessage.Message {
	timer := time.NewTimer(answerWait)
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
