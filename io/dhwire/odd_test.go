package dhwire

import (
	"flag"
	"math"
	"os"
	"strings"
	"testing"

	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protoreflect"
	"pgregory.net/rapid"

	"dogwoodhitch/core/dhcatalog"
	"dogwoodhitch/core/dhclock"
	"dogwoodhitch/core/dhconsensus"
	"dogwoodhitch/core/dhcontrol"
	"dogwoodhitch/core/dheffect"
	"dogwoodhitch/core/dhevent"
	"dogwoodhitch/core/dhmessage"
	"dogwoodhitch/core/dhreducer"
	"dogwoodhitch/core/dhtraffic"
	"dogwoodhitch/io/dhproto"
)

func TestMain(m *testing.M) {
	flag.Parse()
	if f := flag.Lookup("rapid.seed"); f.Value.String() == f.DefValue {
		if err := f.Value.Set("1"); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

// Values of fields that a message of another writer may have, among some that occur.
var (
	oddIntegers = []int64{0, 0, 1, 1, 2, 3, -1, 1000, math.MaxInt32, math.MinInt32, math.MaxInt64, math.MinInt64}
	oddTexts    = []string{"", "c1", "c2", "a1", "a1-1", "s", "o", "zone", "10.0.0.1:80", "10.0.0.1:+80", "a/b", "\x00", strings.Repeat("a", 1000)}
)

// fillMessage sets fields of a message to values from the lists above, nested messages
// included.
func fillMessage(t *rapid.T, m protoreflect.Message, depth int) {
	fields := m.Descriptor().Fields()
	for i := range fields.Len() {
		f := fields.Get(i)
		if f.IsMap() || f.Message() != nil && depth == 0 || rapid.IntRange(0, 2).Draw(t, "present") == 0 {
			continue
		}
		if !f.IsList() {
			m.Set(f, oddValue(t, f, m.NewField(f), depth))
			continue
		}
		list := m.Mutable(f).List()
		for range rapid.IntRange(0, 2).Draw(t, "length") {
			list.Append(oddValue(t, f, list.NewElement(), depth))
		}
	}
}

// oddValue returns a value of a field; empty is a new one, which is filled if it is a message.
func oddValue(t *rapid.T, f protoreflect.FieldDescriptor, empty protoreflect.Value, depth int) protoreflect.Value {
	n := rapid.SampledFrom(oddIntegers).Draw(t, "number")
	switch f.Kind() {
	case protoreflect.MessageKind:
		fillMessage(t, empty.Message(), depth-1)
		return empty
	case protoreflect.BoolKind:
		return protoreflect.ValueOfBool(n%2 != 0)
	case protoreflect.StringKind:
		return protoreflect.ValueOfString(rapid.SampledFrom(oddTexts).Draw(t, "text"))
	case protoreflect.BytesKind:
		return protoreflect.ValueOfBytes(make([]byte, rapid.SampledFrom([]int{0, 1, 32, 33}).Draw(t, "bytes")))
	case protoreflect.Int32Kind, protoreflect.Sint32Kind:
		return protoreflect.ValueOfInt32(int32(n))
	case protoreflect.Uint32Kind, protoreflect.Fixed32Kind:
		return protoreflect.ValueOfUint32(uint32(n))
	case protoreflect.Uint64Kind, protoreflect.Fixed64Kind:
		return protoreflect.ValueOfUint64(uint64(n))
	default:
		return protoreflect.ValueOfInt64(n)
	}
}

// receiver is the control and traffic state of one process that gets odd messages.
type receiver struct {
	control, traffic *dhreducer.State
	now              dhclock.Millis
}

func newReceiver(name string, consensus *dhconsensus.Options) *receiver {
	self := dhmessage.NewPeer(name, name+"-folder")
	r := &receiver{now: 1_000_000}
	o := dhcontrol.Options{Self: self, Zone: "a1", Voters: []string{"c1", "c2"}, StartID: 1, Now: r.now}
	if consensus != nil {
		consensus.Self, consensus.Now = self, r.now
		o.Consensus = consensus
		o.Managed = &dhcontrol.ManagedOptions{Votes: 3, Zones: []dhcatalog.Zone{dhcatalog.NewZone(dhcatalog.ZoneOptions{Name: "a1", Region: "a"})}}
	}
	r.control = dhreducer.NewControl(o)
	r.traffic = dhreducer.NewTraffic(dhtraffic.Options{Instance: name, Zone: "a1", StartID: 1, Now: r.now})
	for range 200 {
		r.tick()
	}
	return r
}

func (r *receiver) tick() {
	r.now += 20
	r.handle(dhevent.NewTicked(r.now, dhevent.TickedOptions{Random: uint64(r.now)}))
	var out dheffect.List
	dhreducer.Reduce(r.traffic, dhevent.NewTrafficTicked(r.now), &out)
}

// handle reduces an event and those that its effects cause in this process.
func (r *receiver) handle(e dhevent.Event) {
	events := []dhevent.Event{e, dhevent.NewBatchEnded(r.now)}
	for len(events) > 0 {
		var out dheffect.List
		dhreducer.Reduce(r.control, events[0], &out)
		events = events[1:]
		for _, effect := range out.Items() {
			switch effect := effect.(type) {
			case *dheffect.Persist:
				if n := len(effect.Entries()); n > 0 {
					last := effect.Entries()[n-1]
					events = append(events, dhevent.NewLogSynced(r.now, dhevent.LogSyncedOptions{Index: last.Index(), Term: last.Term()}))
				}
			case *dheffect.PostToTraffic:
				dhreducer.Reduce(r.traffic, effect.Event(), &dheffect.List{})
			case *dheffect.Publish:
				dhreducer.Reduce(r.traffic, dhevent.NewViewPublished(r.now, dhevent.ViewPublishedOptions{View: effect.View()}), &dheffect.List{})
			}
		}
	}
}

// TestOddMessagesEndAProcess sends a leader, another voter and an entry instance messages with
// values that no process sends. None may panic.
func TestOddMessagesEndAProcess(t *testing.T) {
	founders := []dhmessage.Member{dhmessage.NewMember(dhmessage.NewPeer("c1", ""), "10.0.0.1:1", false)}
	rapid.Check(t, func(t *rapid.T) {
		receivers := []*receiver{
			newReceiver("c1", &dhconsensus.Options{Founders: founders}),
			newReceiver("c2", &dhconsensus.Options{Founders: founders}),
			newReceiver("a1-1", nil),
		}
		for range rapid.IntRange(1, 20).Draw(t, "messages") {
			w := &dhproto.Message{}
			fields := w.ProtoReflect().Descriptor().Fields()
			kind := fields.Get(rapid.IntRange(0, fields.Len()-1).Draw(t, "kind"))
			body := w.ProtoReflect().Mutable(kind).Message()
			fillMessage(t, body, 5)
			raw, err := proto.Marshal(w)
			if err != nil {
				t.Fatal(err)
			}
			decoded := &dhproto.Message{}
			if err := proto.Unmarshal(raw, decoded); err != nil {
				t.Fatal(err)
			}
			m, err := MessageFromWire(decoded)
			if err != nil {
				continue
			}
			from := dhmessage.NewPeer(rapid.SampledFrom([]string{"c1", "c2", "a1-1", ""}).Draw(t, "from"), "c1-folder")
			for _, r := range receivers {
				r.handle(dhevent.NewMessageReceived(r.now, dhevent.MessageReceivedOptions{From: from, Message: m}))
				r.tick()
			}
		}
	})
}
