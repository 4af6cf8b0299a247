// Package dhpeer carries messages between the system's processes over
// connect-go. Messages may be lost, repeated or overtaken; who sends them
// knows.
package dhpeer

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"

	"connectrpc.com/connect"
	"github.com/sirupsen/logrus"
	"google.golang.org/protobuf/proto"

	"dogwoodhitch/core/dhmessage"
	"dogwoodhitch/io/dhproto"
	"dogwoodhitch/io/dhproto/dhprotoconnect"
	"dogwoodhitch/io/dhwire"
)

// Sizes and times of sending.
const (
	// queueSize bounds the messages that wait for one peer.
	queueSize = 1024
	// maxBatchSize bounds the messages of one call.
	maxBatchSize = 256
	// maxConcurrentCalls bounds the calls under way to one peer, so that a message
	// need not wait for the round trip of the one before.
	maxConcurrentCalls = 4
	// callTimeout ends a call that isn't answered; its connection is closed,
	// so that a healed link is used at once.
	callTimeout = 1500 * time.Millisecond
	// bulkTimeout is the timeout of calls with a whole snapshot or catalog.
	bulkTimeout = 30 * time.Second
	// dialTimeout bounds the time to connect.
	dialTimeout = 1 * time.Second
	// connectionIdleTimeout closes connections that carry nothing.
	connectionIdleTimeout = 30 * time.Second
	// queueIdleTimeout ends the goroutines of a peer that gets no messages.
	queueIdleTimeout = 60 * time.Second
)

// secretHeader carries the secret that the system's processes share.
const secretHeader = "Dogwoodhitch-Secret"

// SenderOptions are what a sender needs.
type SenderOptions struct {
	Self dhmessage.Peer
	// Address is where this process listens for messages.
	Address string
	Secret  string
	// Lookup returns the address of a process, or "".
	Lookup func(name string) string
	Log    *logrus.Entry
	// Receive gets what the other side answers at once.
	Receive func(from dhmessage.Peer, m dhmessage.Message) bool
	// CountBytes gets the bytes of the messages that were sent; nil for none.
	CountBytes func(bytes int)
	// TLS is how to connect to other processes; nil for plain connections.
	TLS *tls.Config
}

// Sender sends messages to other processes, each through its own queue.
type Sender struct {
	options    SenderOptions
	client     *http.Client
	ctx        context.Context
	goroutines sync.WaitGroup
	mutex      sync.Mutex
	queues     map[string]chan dhmessage.Message
	openCalls  map[string][]chan dhmessage.Message // of peers that wait for an answer
}

// NewSender returns a sender that works until the context ends.
func NewSender(ctx context.Context, o SenderOptions) *Sender {
	client := &http.Client{Transport: &http.Transport{
		DialContext:         (&net.Dialer{Timeout: dialTimeout}).DialContext,
		TLSClientConfig:     o.TLS,
		MaxIdleConnsPerHost: maxConcurrentCalls,
		IdleConnTimeout:     connectionIdleTimeout,
		DisableCompression:  true,
	}}
	return &Sender{options: o, client: client, ctx: ctx, queues: map[string]chan dhmessage.Message{}, openCalls: map[string][]chan dhmessage.Message{}}
}

// Send queues a message for a process, or hands it to a call of that process
// that waits for an answer. It never waits itself: when the queue is full the
// message is lost.
func (s *Sender) Send(to string, m dhmessage.Message) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.respondInCall(to, m) {
		return
	}
	q, found := s.queues[to]
	if !found {
		if s.ctx.Err() != nil {
			return
		}
		q = make(chan dhmessage.Message, queueSize)
		s.queues[to] = q
		s.goroutines.Go(func() { s.runQueue(to, q) })
	}
	select {
	case q <- m:
	default:
	}
}

// respondInCall hands a message to a call of a process, if one waits. A large
// message goes by a call of its own, which has more time.
func (s *Sender) respondInCall(to string, m dhmessage.Message) bool {
	if isBulk(m) {
		return false
	}
	for _, c := range s.openCalls[to] {
		select {
		case c <- m:
			return true
		default:
		}
	}
	return false
}

// CollectResponses lets messages to a process be returned by its own call, until the
// returned function is called, which gives those that weren't taken.
func (s *Sender) CollectResponses(name string) (answers chan dhmessage.Message, end func() []dhmessage.Message) {
	answers = make(chan dhmessage.Message, maxBatchSize)
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.openCalls[name] = append(s.openCalls[name], answers)
	return answers, func() []dhmessage.Message {
		s.mutex.Lock()
		defer s.mutex.Unlock()
		list := slices.DeleteFunc(s.openCalls[name], func(c chan dhmessage.Message) bool { return c == answers })
		if s.openCalls[name] = list; len(list) == 0 {
			delete(s.openCalls, name)
		}
		var rest []dhmessage.Message
		for len(answers) > 0 {
			rest = append(rest, <-answers)
		}
		return rest
	}
}

// Wait waits until every goroutine has ended, after the context has.
func (s *Sender) Wait() { s.goroutines.Wait() }

// runQueue sends what is queued for one peer until nothing was queued for a while.
func (s *Sender) runQueue(to string, q chan dhmessage.Message) {
	calls := make(chan struct{}, maxConcurrentCalls)
	idle := time.NewTimer(queueIdleTimeout)
	defer idle.Stop()
	for {
		idle.Reset(queueIdleTimeout)
		select {
		case <-s.ctx.Done():
			return
		case <-idle.C:
			if s.removeIdleQueue(to, q) {
				return
			}
		case m := <-q:
			calls <- struct{}{}
			list := collectBatch(m, q)
			s.goroutines.Go(func() {
				defer func() { <-calls }()
				s.deliver(to, list)
			})
		}
	}
}

// removeIdleQueue removes the queue of an idle peer, unless something came meanwhile.
func (s *Sender) removeIdleQueue(to string, q chan dhmessage.Message) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if len(q) > 0 {
		return false
	}
	delete(s.queues, to)
	return true
}

func collectBatch(first dhmessage.Message, q chan dhmessage.Message) []dhmessage.Message {
	list := []dhmessage.Message{first}
	for len(list) < maxBatchSize {
		select {
		case m := <-q:
			list = append(list, m)
		default:
			return list
		}
	}
	return list
}

// deliver delivers messages in one call.
func (s *Sender) deliver(to string, list []dhmessage.Message) {
	address := s.options.Lookup(to)
	if address == "" {
		s.options.Log.WithField("peer", to).Debug("address unknown; messages are lost")
		return
	}
	request := &dhproto.DeliverRequest{
		Protocol: dhwire.ProtocolVersion,
		From: &dhproto.Peer{
			Name: s.options.Self.Name(), Folder: s.options.Self.FolderID(), Address: s.options.Address,
		},
	}
	timeout := callTimeout
	for _, m := range list {
		request.Messages = append(request.Messages, dhwire.MessageToWire(m))
		if isBulk(m) {
			timeout = bulkTimeout
		}
	}
	if s.options.CountBytes != nil {
		s.options.CountBytes(proto.Size(request))
	}
	ctx, cancel := context.WithTimeout(s.ctx, timeout)
	defer cancel()
	client := dhprotoconnect.NewPeerServiceClient(s.client, s.scheme()+"://"+address,
		connect.WithInterceptors(withSecret(s.options.Secret)))
	response, err := client.Deliver(ctx, request)
	if err != nil {
		if s.ctx.Err() == nil {
			s.options.Log.WithError(err).WithField("peer", to).Debug("delivery failed; messages may be lost")
		}
		return
	}
	from := dhmessage.NewPeer(response.GetFrom().GetName(), response.GetFrom().GetFolder())
	for _, x := range response.GetMessages() {
		m, err := dhwire.MessageFromWire(x)
		if err != nil || !s.options.Receive(from, m) {
			s.options.Log.WithField("peer", to).Debug("an answer was lost")
			return
		}
	}
}

func (s *Sender) scheme() string {
	if s.options.TLS != nil {
		return "https"
	}
	return "http"
}

func isBulk(m dhmessage.Message) bool {
	switch m := m.(type) {
	case *dhmessage.InstallSnapshot:
		return true
	case *dhmessage.Update:
		return m.Full() != nil
	default:
		return false
	}
}

func withSecret(secret string) connect.UnaryInterceptorFunc {
	return func(next connect.UnaryFunc) connect.UnaryFunc {
		return func(ctx context.Context, r connect.AnyRequest) (connect.AnyResponse, error) {
			r.Header().Set(secretHeader, secret)
			return next(ctx, r)
		}
	}
}
