package dhpeer

import (
	"google.golang.org/protobuf/encoding/protowire"
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
		count(to, kindOf(m), proto.Size(m))
	}
}

// kindOf returns the name of the field that a message has, which encodedForm may have encoded.
func kindOf(m *dhproto.Message) string {
	r := m.ProtoReflect()
	if f := r.WhichOneof(messageKinds); f != nil {
		return string(f.Name())
	}
	number, _, n := protowire.ConsumeTag(r.GetUnknown())
	if f := messageKinds.Fields().ByNumber(number); n > 0 && f != nil {
		return string(f.Name())
	}
	return "empty"
}
