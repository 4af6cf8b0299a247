package dhpeer

import (
	"sync"

	"dogwoodhitch/core/dhmessage"
	"dogwoodhitch/io/dhproto"
	"dogwoodhitch/io/dhwire"
)

// maxEncodedMessages is the number of messages whose encoded form is kept.
const maxEncodedMessages = 4

// encodedMessages holds the protobuf form of the log entries that were sent last: a leader sends
// one message to all members of its group.
type encodedMessages struct {
	mutex sync.Mutex
	list  []encodedMessage // the newest last
}

type encodedMessage struct {
	message *dhmessage.AppendRequest
	encoded *dhproto.Message
}

// message returns the protobuf form of a message. Neither may be changed.
func (e *encodedMessages) message(m dhmessage.Message) *dhproto.Message {
	request, ok := m.(*dhmessage.AppendRequest)
	if !ok || len(request.Entries()) == 0 {
		return dhwire.MessageToWire(m)
	}
	e.mutex.Lock()
	defer e.mutex.Unlock()
	for _, x := range e.list {
		if x.message == request {
			return x.encoded
		}
	}
	encoded := dhwire.MessageToWire(m)
	e.list = append(e.list, encodedMessage{message: request, encoded: encoded})
	if len(e.list) > maxEncodedMessages {
		e.list = e.list[1:]
	}
	return encoded
}
