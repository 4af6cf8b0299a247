package dhpeer

import (
	"google.golang.org/protobuf/proto"

	"dogwoodhitch/io/dhproto"
)

// messageKinds is the oneof of a message, whose fields name the kinds.
var messageKinds = (*dhproto.Message)(nil).ProtoReflect().Descriptor().Oneofs().ByName("message")

// countMessages calls count, unless it is nil, with the receiver, the kind and the size of
// each message. The kind is the name of the message's field in the schema.
func countMessages(count func(to, kind string, bytes int), to string, list []*dhproto.Message) {
	if count == nil {
		return
	}
	for _, m := range list {
		kind := "empty"
		if f := m.ProtoReflect().WhichOneof(messageKinds); f != nil {
			kind = string(f.Name())
		}
		count(to, kind, proto.Size(m))
	}
}
