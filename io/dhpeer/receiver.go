package dhpeer

import (
	"context"
	"crypto/subtle"
	"errors"
	"fmt"
	"net/http"

	"connectrpc.com/connect"
	"github.com/sirupsen/logrus"

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

// Deliver implements the service.
func (r *Receiver) Deliver(_ context.Context, request *dhproto.DeliverRequest) (*dhproto.DeliverResponse, error) {
	if request.GetProtocol() != dhwire.Protocol {
		return nil, connect.NewError(connect.CodeFailedPrecondition, fmt.Errorf(
			"protocol %d is spoken by the sender and %d here; bring all processes to the same release",
			request.GetProtocol(), dhwire.Protocol))
	}
	w := request.GetFrom()
	from := dhmessage.NewPeer(w.GetName(), w.GetFolder())
	r.options.Learn(w.GetName(), w.GetAddress())
	for _, x := range request.GetMessages() {
		m, err := dhwire.MessageFromWire(x)
		if err != nil {
			r.options.Log.WithError(err).WithField("peer", from.Name()).Warn("message can't be read")
			return nil, connect.NewError(connect.CodeInvalidArgument, err)
		}
		if !r.options.Take(from, m) {
			return nil, connect.NewError(connect.CodeResourceExhausted, errors.New("the mailbox is full; messages are lost"))
		}
	}
	return &dhproto.DeliverResponse{}, nil
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
