// Package dhpeer transports messages between the system's processes over
// connect-go. Messages may be lost, duplicated or reordered, and their senders
// must tolerate that.
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

	"dogwoodhitch/core/dhclock"
	"dogwoodhitch/core/dhmessage"
	"dogwoodhitch/io/dhproto"
	"dogwoodhitch/io/dhproto/dhprotoconnect"
	"dogwoodhitch/io/dhtime"
	"dogwoodhitch/io/dhwire"
)

// Sizes and timeouts of the sender.
const (
	// queueSize is the capacity of the queue of one peer, in messages.
	queueSize = 1024
	// maxBatchSize bounds the messages of one call.
	maxBatchSize = 256
	// maxConcurrentCalls bounds the calls in flight to one peer. It is more than
	// one, so that a message doesn't wait for the round trip of the previous
	// call.
	maxConcurrentCalls = 4
	// slotTimeout is how long a call counts among maxConcurrentCalls. The next call
	// uses another connection, which works at once on a repaired link, while a call
	// over a congested one goes on.
	slotTimeout = 1 * time.Second
	// grantSlotTimeout is that time for a call with a token request, which waits for a leader
	// that may be far away: other messages must not wait for it as well.
	grantSlotTimeout = 20 * time.Millisecond
	// maxIdleConnections is how many unused connections to one peer are kept. Calls with token
	// requests use more than maxConcurrentCalls at times.
	maxIdleConnections = 16
	// callTimeout ends a call without a response. It covers the round trips of a
	// handshake and of the call over a congested link.
	callTimeout = 6 * time.Second
	// bulkTimeout is the timeout of calls with a bulk message.
	bulkTimeout = 30 * time.Second
	// dialTimeout bounds the time to connect. It covers a round trip over a congested
	// link.
	dialTimeout = 3 * time.Second
	// connectionIdleTimeout is how long an unused connection is kept open.
	connectionIdleTimeout = 30 * time.Second
	// queueIdleTimeout is how long the queue and goroutine of a peer are kept
	// without a message to it.
	queueIdleTimeout = 60 * time.Second
	// maxResponseBytes and maxResponseHeaderBytes bound the response to a call, also once it
	// is decompressed. Bulk messages have calls of their own.
	maxResponseBytes       = 16 << 20
	maxResponseHeaderBytes = 64 << 10
)

// secretHeader is the header field with the secret that the system's processes
// share.
const secretHeader = "Dogwoodhitch-Secret"

// SenderOptions configure a Sender.
type SenderOptions struct {
	// Self is this process.
	Self dhmessage.Peer
	// Address is where this process listens for messages.
	Address string
	// Secret is the secret that the system's processes share.
	Secret string
	// Lookup returns the address of a process, or "" if it is unknown.
	Lookup func(name string) string
	// Clock returns the clock readings of calls.
	Clock dhtime.Clock
	// Log is the logger of the peer layer.
	Log *logrus.Entry
	// Receive is called with each message that a Deliver response carries. It
	// returns false if the mailbox is full.
	Receive func(from dhmessage.Peer, m dhmessage.Message) bool
	// CountBytes is called with the receiver, the kind and the size of each message; nil if
	// sizes are not counted.
	CountBytes func(to, kind string, bytes int)
	// RecordWait is called with each message and the time from Send to the start of its call; nil
	// if waits are not recorded.
	RecordWait func(m dhmessage.Message, wait dhclock.Millis)
	// TLS is the client configuration for connections to other processes; nil
	// for unencrypted connections.
	TLS *tls.Config
}

// Sender sends messages to other processes, with two queues for each process.
type Sender struct {
	options    SenderOptions
	client     *http.Client
	ctx        context.Context
	goroutines sync.WaitGroup
	mutex      sync.Mutex
	// queues are the messages to send.
	queues map[lane]*queue
	// pendingBytes is the sum over the queues.
	pendingBytes int
	// openCalls are the channels for responses in calls that peers have open to
	// this process, by name of the calling peer.
	openCalls map[string][]*openCall
	// unknown are the peers whose address was unknown at the last message to them.
	unknown map[string]bool
	encoded encodedMessages
	// transfers are the peers to which a snapshot is being sent in parts.
	transfers map[string]bool
}

// NewSender returns a sender that runs until the context ends.
func NewSender(ctx context.Context, o SenderOptions) *Sender {
	client := &http.Client{Transport: responseLimiter{next: &http.Transport{
		DialContext:         (&net.Dialer{Timeout: dialTimeout}).DialContext,
		TLSClientConfig:     o.TLS,
		MaxIdleConnsPerHost: maxIdleConnections,
		IdleConnTimeout:     connectionIdleTimeout,
		DisableCompression:  true,

		MaxResponseHeaderBytes: maxResponseHeaderBytes,
	}}}
	return &Sender{options: o, client: client, ctx: ctx, queues: map[lane]*queue{}, openCalls: map[string][]*openCall{}, unknown: map[string]bool{}, transfers: map[string]bool{}}
}

// Send queues a message for a process. If that process has an open call to this
// one, the message is returned in the response of the call instead. Send never
// blocks: when the queue is full, the message is dropped.
func (s *Sender) Send(to string, m dhmessage.Message) {
	size := dhmessage.ChangeBytes(m)
	s.mutex.Lock()
	defer s.mutex.Unlock()
	l := s.laneOf(to, m, size)
	if !l.isLarge && s.respondInCall(to, m) {
		return
	}
	q, found := s.queues[l]
	if !found {
		if s.ctx.Err() != nil {
			return
		}
		q = &queue{lane: l, messages: make(chan queuedMessage, queueSize)}
		s.queues[l] = q
		s.goroutines.Go(func() { s.runQueue(q) })
	}
	if !s.makeRoom(q, size) {
		s.options.Log.WithField("peer", to).Debug("message to the peer dropped: too many bytes wait for it")
		return
	}
	select {
	case q.messages <- queuedMessage{message: m, bytes: size, queuedAt: s.options.Clock.Now()}:
		s.addPending(q, size)
	default:
	}
}

// respondInCall passes a message to an open call of a process, and reports
// whether there is one. Messages of the lane for large ones have calls of their own: a
// response with one would hold up the others in it, and no other peer gets the same.
func (s *Sender) respondInCall(to string, m dhmessage.Message) bool {
	for _, c := range s.openCalls[to] {
		if !c.accepts(m) {
			continue
		}
		select {
		case c.responses <- m:
			return true
		default:
		}
	}
	return false
}

// openCall is a call that a peer has open to this process.
type openCall struct {
	responses chan dhmessage.Message
	accepts   func(m dhmessage.Message) bool
}

// CollectResponses registers an open call of a process. Until end is called,
// the messages to that process that the call accepts are sent to the channel. The function end returns the
// messages that have not been received from the channel.
func (s *Sender) CollectResponses(name string, accepts func(m dhmessage.Message) bool) (responses chan dhmessage.Message, end func() []dhmessage.Message) {
	call := &openCall{responses: make(chan dhmessage.Message, maxBatchSize), accepts: accepts}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.openCalls[name] = append(s.openCalls[name], call)
	return call.responses, func() []dhmessage.Message {
		s.mutex.Lock()
		defer s.mutex.Unlock()
		list := slices.DeleteFunc(s.openCalls[name], func(c *openCall) bool { return c == call })
		if s.openCalls[name] = list; len(list) == 0 {
			delete(s.openCalls, name)
		}
		var rest []dhmessage.Message
		for len(call.responses) > 0 {
			rest = append(rest, <-call.responses)
		}
		return rest
	}
}

// Wait waits until all goroutines have ended, which they do after the context
// ends.
func (s *Sender) Wait() { s.goroutines.Wait() }

// runQueue sends the messages of a queue. It returns when the queue has
// been empty for queueIdleTimeout or the context ends.
func (s *Sender) runQueue(q *queue) {
	calls := make(chan struct{}, maxConcurrentCalls)
	idle := time.NewTimer(queueIdleTimeout)
	defer idle.Stop()
	for {
		m := q.takeNext()
		if m == nil {
			idle.Reset(queueIdleTimeout)
			select {
			case <-s.ctx.Done():
				return
			case <-idle.C:
				if s.removeIdleQueue(q) {
					return
				}
				continue
			case queued := <-q.messages:
				m = &queued
			}
		}
		calls <- struct{}{}
		list, size := q.collectBatch(s.options.Clock.Now(), *m)
		released := s.startDelivery(q, list, size, func() { <-calls })
		if slices.ContainsFunc(list, queuedMessage.isSeparate) {
			<-released // changes that follow a large one must not overtake it
		}
	}
}

// startDelivery sends messages of some size in a call. Once the call no longer counts among those of the
// queue, it calls release and closes the channel that it returns.
func (s *Sender) startDelivery(q *queue, list []queuedMessage, size int, release func()) (released chan struct{}) {
	released = make(chan struct{})
	end := sync.OnceFunc(func() {
		release()
		close(released)
	})
	ctx, endCall := s.startCall(q, size)
	timer := time.AfterFunc(slotTimeoutOf(list), end)
	s.goroutines.Go(func() {
		defer end()
		defer timer.Stop()
		defer endCall()
		s.deliver(ctx, q.lane.to, list)
	})
	return released
}

// slotTimeoutOf returns how long a call with some messages counts among maxConcurrentCalls.
func slotTimeoutOf(list []queuedMessage) time.Duration {
	if slices.ContainsFunc(list, func(m queuedMessage) bool { return responseWaitFor(m.message) == grantResponseWait }) {
		return grantSlotTimeout
	}
	return slotTimeout
}

// removeIdleQueue removes a queue, unless a message has been queued
// in the meantime. It reports whether it removed the queue.
func (s *Sender) removeIdleQueue(q *queue) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if len(q.messages) > 0 {
		return false
	}
	delete(s.queues, q.lane)
	return true
}

// deliver sends messages in one call, and large snapshots in further ones. Errors are logged only:
// the messages count as lost.
func (s *Sender) deliver(ctx context.Context, to string, list []queuedMessage) {
	address := s.options.Lookup(to)
	s.logUnknown(to, address == "")
	if address == "" {
		return
	}
	timeout := callTimeout
	var encoded []*dhproto.Message
	var inParts []*dhmessage.InstallSnapshot
	for _, q := range list {
		m := q.message
		if snapshot, ok := m.(*dhmessage.InstallSnapshot); ok && isSentInParts(snapshot) {
			inParts = append(inParts, snapshot)
			continue
		}
		encoded = append(encoded, s.encoded.message(m))
		if isBulk(m, q.bytes) {
			timeout = bulkTimeout
		}
	}
	s.recordWaits(list)
	if len(encoded) > 0 {
		if response, err := s.call(ctx, to, address, encoded, timeout); err != nil {
			s.logFailure(to, err)
		} else {
			s.receiveResponse(to, response)
		}
	}
	for _, m := range inParts {
		s.deliverParts(ctx, to, m)
	}
}

// recordWaits records how long messages have waited for their call, which starts now.
func (s *Sender) recordWaits(list []queuedMessage) {
	if s.options.RecordWait == nil {
		return
	}
	now := s.options.Clock.Now()
	for _, m := range list {
		s.options.RecordWait(m.message, now.Since(m.queuedAt))
	}
}

// receiveResponse receives the messages of the response to a call.
func (s *Sender) receiveResponse(to string, response *dhproto.DeliverResponse) {
	from := dhmessage.NewPeer(response.GetFrom().GetName(), response.GetFrom().GetFolder())
	for _, x := range response.GetMessages() {
		m, err := dhwire.MessageFromWire(x)
		if err != nil {
			s.options.Log.WithError(err).WithField("peer", to).Warn("response of the peer can't be decoded; it is dropped")
			continue
		}
		if !s.options.Receive(from, m) {
			s.options.Log.WithField("peer", to).Debug("responses of the peer dropped: the mailbox is full")
			return
		}
	}
}

// call sends encoded messages in one call and returns the response.
func (s *Sender) call(ctx context.Context, to, address string, list []*dhproto.Message, timeout time.Duration) (*dhproto.DeliverResponse, error) {
	countMessages(s.options.CountBytes, to, list)
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	client := dhprotoconnect.NewPeerServiceClient(s.client, s.scheme()+"://"+address,
		connect.WithInterceptors(withSecret(s.options.Secret)), connect.WithReadMaxBytes(maxResponseBytes), connect.WithCompressMinBytes(minCompressedBytes),
		connect.WithAcceptCompression(compressionName, newDecompressor, newCompressor), connect.WithSendCompression(compressionName))
	return client.Deliver(ctx, &dhproto.DeliverRequest{
		Protocol: dhwire.ProtocolVersion,
		From: &dhproto.Peer{
			Name: s.options.Self.Name(), Folder: s.options.Self.FolderID(), Address: s.options.Address,
		},
		Messages: list,
	})
}

func (s *Sender) logFailure(to string, err error) {
	if s.ctx.Err() == nil {
		s.options.Log.WithError(err).WithField("peer", to).Debug("sending to the peer failed; messages may be lost")
	}
}

// logUnknown logs that the address of a peer has become unknown.
func (s *Sender) logUnknown(peer string, isUnknown bool) {
	s.mutex.Lock()
	wasUnknown := s.unknown[peer]
	if isUnknown {
		s.unknown[peer] = true
	} else {
		delete(s.unknown, peer)
	}
	s.mutex.Unlock()
	if isUnknown && !wasUnknown {
		s.options.Log.WithField("peer", peer).Warn("address of the peer unknown; messages to it are dropped")
	}
}

func (s *Sender) scheme() string {
	if s.options.TLS != nil {
		return "https"
	}
	return "http"
}

// withSecret returns an interceptor that sets the shared secret in each call.
func withSecret(secret string) connect.UnaryInterceptorFunc {
	return func(next connect.UnaryFunc) connect.UnaryFunc {
		return func(ctx context.Context, r connect.AnyRequest) (connect.AnyResponse, error) {
			r.Header().Set(secretHeader, secret)
			return next(ctx, r)
		}
	}
}
