package dhpeer

import (
	"context"
	"crypto/rand"
	"encoding/binary"
	"errors"
	"sync"
	"time"

	"connectrpc.com/connect"

	"dogwoodhitch/core/dhmessage"
	"dogwoodhitch/io/dhproto"
	"dogwoodhitch/io/dhwire"
)

// A large snapshot is sent in parts, so that neither side holds it a second time: encoded, in a body
// and compressed. Each part is a call of its own, and the next one follows its response.

// partsTimeout is how long a receiver keeps the parts of a transfer without a further one. It is
// longer than the timeout of a call.
const partsTimeout = 2 * callTimeout

// isSentInParts reports whether a snapshot is so large that it is sent in parts.
func isSentInParts(m *dhmessage.InstallSnapshot) bool {
	return m.Snapshot().ApproximateBytes() >= bulkBytes
}

// deliverParts sends a snapshot in parts. A transfer to the peer that is under way goes on instead:
// two would take twice as long.
func (s *Sender) deliverParts(ctx context.Context, to string, m *dhmessage.InstallSnapshot) {
	if !s.startTransfer(to) {
		return
	}
	defer s.endTransfer(to)
	part := &dhproto.InstallPart{Term: m.Term(), Round: m.Round(), Transfer: newTransferID()}
	for fragment := range dhwire.SnapshotFragments(m.Snapshot()) {
		if part.Part != nil {
			if err := s.callWithPart(ctx, to, part); err != nil {
				s.logFailure(to, err)
				return
			}
			part.Number++
		}
		part.Part = fragment
	}
	part.Last = true
	if err := s.callWithPart(ctx, to, part); err != nil {
		s.logFailure(to, err)
	}
}

func (s *Sender) callWithPart(ctx context.Context, to string, part *dhproto.InstallPart) error {
	address := s.options.Lookup(to)
	if address == "" {
		return errors.New("the address of the peer is unknown")
	}
	list := []*dhproto.Message{{Message: &dhproto.Message_InstallPart{InstallPart: part}}}
	_, err := s.call(ctx, to, address, list, callTimeout)
	return err
}

// startTransfer records a transfer to a peer and reports whether none is under way.
func (s *Sender) startTransfer(to string) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.transfers[to] {
		return false
	}
	s.transfers[to] = true
	return true
}

func (s *Sender) endTransfer(to string) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	delete(s.transfers, to)
}

func newTransferID() uint64 {
	var raw [8]byte
	_, _ = rand.Read(raw[:]) // never fails
	return binary.LittleEndian.Uint64(raw[:])
}

// partsAssembly collects the parts of the snapshot that this process receives. There is one at a time,
// of the leader with the highest term.
type partsAssembly struct {
	mutex     sync.Mutex
	from      string
	term      uint64
	transfer  uint64
	next      uint32
	assembler *dhwire.SnapshotAssembler // nil while no transfer is under way
	expiry    *time.Timer
}

// add adds a part. It returns the snapshot if the part is the last one, else nil, or an error that
// ends the transfer.
func (a *partsAssembly) add(from string, p *dhproto.InstallPart) (*dhmessage.InstallSnapshot, error) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	if p.GetNumber() == 0 {
		if a.assembler != nil && p.GetTerm() < a.term {
			return nil, connect.NewError(connect.CodeFailedPrecondition, errors.New("a snapshot of a later term is being received"))
		}
		a.begin(from, p)
	}
	if a.assembler == nil || from != a.from || p.GetTransfer() != a.transfer || p.GetNumber() != a.next {
		return nil, connect.NewError(connect.CodeFailedPrecondition, errors.New("parts of the snapshot are missing; send it again"))
	}
	a.expiry.Reset(partsTimeout)
	a.next++
	if err := a.assembler.Add(p.GetPart()); err != nil {
		a.end()
		return nil, err
	}
	if !p.GetLast() {
		return nil, nil
	}
	s, err := a.assembler.Snapshot()
	a.end()
	if err != nil {
		return nil, err
	}
	return dhmessage.NewInstallSnapshot(dhmessage.InstallSnapshotOptions{Term: p.GetTerm(), Snapshot: s, Round: p.GetRound()}), nil
}

// begin starts a transfer in place of another one. The caller must hold the mutex.
func (a *partsAssembly) begin(from string, p *dhproto.InstallPart) {
	a.end()
	a.from, a.term, a.transfer, a.next = from, p.GetTerm(), p.GetTransfer(), 0
	a.assembler = dhwire.NewSnapshotAssembler()
	transfer := a.transfer
	a.expiry = time.AfterFunc(partsTimeout, func() {
		a.mutex.Lock()
		defer a.mutex.Unlock()
		if a.transfer == transfer {
			a.end()
		}
	})
}

// end drops the parts. The caller must hold the mutex.
func (a *partsAssembly) end() {
	if a.expiry != nil {
		a.expiry.Stop()
	}
	a.assembler = nil
}
