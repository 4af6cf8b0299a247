package dhpeer

import (
	"slices"
	"sync"

	"google.golang.org/protobuf/proto"

	"dogwoodhitch/core/dhmessage"
	"dogwoodhitch/io/dhproto"
	"dogwoodhitch/io/dhwire"
)

// Bounds of the messages whose encoded form is kept. The newest one is kept whatever its size.
const (
	maxEncodedMessages = 4
	// maxEncodedBytes bounds their approximate size, in bytes.
	maxEncodedBytes = 4 << 20
)

// encodedMessages holds the protobuf form of the large messages that were sent last: a leader sends
// the same log entries to all members of its group, and a parent the same changes to its children.
type encodedMessages struct {
	mutex sync.Mutex
	list  []encodedMessage // the newest last
	bytes int              // approximate size of the messages
}

type encodedMessage struct {
	message dhmessage.Message
	encoded *dhproto.Message
	bytes   int // approximate size of the message
}

// isShared reports whether several peers may get a message: one with log entries, or an update that
// answers no poll.
func isShared(m dhmessage.Message) bool {
	switch m := m.(type) {
	case *dhmessage.AppendRequest:
		return len(m.Entries()) > 0
	case *dhmessage.Update:
		return m.PollSentAt() == 0 && len(m.Changes()) > 0
	default:
		return false
	}
}

// encodedForm returns a message that consists of the encoded fields of another one, so that marshalling it
// copies them. Protobuf keeps fields of a message that are set as unknown as they are.
func encodedForm(m *dhproto.Message) *dhproto.Message {
	raw, err := proto.Marshal(m)
	if err != nil {
		return m // the call reports the error
	}
	encoded := &dhproto.Message{}
	encoded.ProtoReflect().SetUnknown(raw)
	return encoded
}

// message returns the protobuf form of a message. Neither may be changed.
func (e *encodedMessages) message(m dhmessage.Message) *dhproto.Message {
	if !isShared(m) {
		return dhwire.MessageToWire(m)
	}
	e.mutex.Lock()
	defer e.mutex.Unlock()
	for _, x := range e.list {
		if x.message == m {
			return x.encoded
		}
	}
	encoded, size := encodedForm(dhwire.MessageToWire(m)), dhmessage.ChangeBytes(m)
	e.list = append(e.list, encodedMessage{message: m, encoded: encoded, bytes: size})
	e.bytes += size
	for len(e.list) > maxEncodedMessages || len(e.list) > 1 && e.bytes > maxEncodedBytes {
		e.bytes -= e.list[0].bytes
		e.list = slices.Delete(e.list, 0, 1)
	}
	return encoded
}
