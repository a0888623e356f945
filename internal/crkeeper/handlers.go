package crkeeper

import (
	"context"
	"errors"

	"google.golang.org/protobuf/proto"

	"github.com/citronramp/citronramp/internal/crwire"
	"github.com/citronramp/citronramp/pkg/crcode"
	"github.com/citronramp/citronramp/pkg/crrecord"
)

// Register adds the keeper's RPC methods.
func (k *Keeper) Register(m *crwire.Mux) {
	crwire.Handle(m, methodClaim, k.onClaim)
	crwire.Handle(m, methodComplete, k.onComplete)
	crwire.Handle(m, methodRelease, k.onRelease)
	crwire.Handle(m, methodTake, k.onTake)
	crwire.Handle(m, methodState, k.onState)
	crwire.HandleStream(m, methodSeal, k.onSeal)
}

// checkIncarnation rejects a message meant for another incarnation of the node, since this one doesn't have its records.
func checkIncarnation(self crrecord.Member, incarnation string) error {
	if incarnation != self.Incarnation {
		return crcode.New(crcode.StaleIncarnation, "for %q, this is %q", incarnation, self.Incarnation)
	}
	return nil
}

// idAndDigest decodes the id and digest that most messages contain.
func idAndDigest(id string, digest []byte) (crrecord.ID, crrecord.Digest, error) {
	parsed, err := crrecord.ParseID(id)
	if err != nil {
		return parsed, crrecord.Digest{}, err
	}
	d, err := digestOf(digest)
	return parsed, d, err
}

func (k *Keeper) onClaim(_ context.Context, _ *crwire.Session, req *crwire.RecordClaim) (*crwire.RecordReply, error) {
	if err := checkIncarnation(k.Core.Self, req.GetTargetIncarnation()); err != nil {
		return nil, err
	}
	id, digest, err := idAndDigest(req.GetId(), req.GetDigest())
	if err != nil {
		return nil, err
	}
	r := k.claim(crrecord.Claim{ID: id, Digest: digest, Token: crrecord.Token(req.GetToken()), Epoch: req.GetGroupEpoch()})
	out := &crwire.RecordReply{Status: uint32(r.Status), Holder: uint64(r.Holder), GroupEpoch: r.Epoch}
	if r.Status == crrecord.Done {
		out.Answer = wireAnswer(r.Answer)
	}
	return out, nil
}

func (k *Keeper) claim(c crrecord.Claim) (r crrecord.Reply) {
	now := k.Now()
	k.withCore(func(core *crrecord.Keeper) { r = core.Claim(now, c) })
	return r
}

func (k *Keeper) onComplete(_ context.Context, _ *crwire.Session, req *crwire.RecordComplete) (*crwire.RecordReply, error) {
	if err := checkIncarnation(k.Core.Self, req.GetTargetIncarnation()); err != nil {
		return nil, err
	}
	id, digest, err := idAndDigest(req.GetId(), req.GetDigest())
	if err != nil {
		return nil, err
	}
	s := k.complete(crrecord.Completion{ID: id, Digest: digest, Token: crrecord.Token(req.GetToken()), Answer: answerOf(req.GetAnswer())})
	return &crwire.RecordReply{Status: uint32(s)}, nil
}

func (k *Keeper) complete(c crrecord.Completion) (s crrecord.Status) {
	now := k.Now()
	k.withCore(func(core *crrecord.Keeper) { s = core.Complete(now, c) })
	return s
}

func (k *Keeper) onRelease(_ context.Context, _ *crwire.Session, req *crwire.RecordRelease) (*crwire.RecordReply, error) {
	if err := checkIncarnation(k.Core.Self, req.GetTargetIncarnation()); err != nil {
		return nil, err
	}
	id, err := crrecord.ParseID(req.GetId())
	if err != nil {
		return nil, err
	}
	return &crwire.RecordReply{Status: uint32(k.release(id, crrecord.Token(req.GetToken())))}, nil
}

func (k *Keeper) release(id crrecord.ID, t crrecord.Token) (s crrecord.Status) {
	k.withCore(func(core *crrecord.Keeper) { s = core.Release(id, t) })
	return s
}

func (k *Keeper) onTake(_ context.Context, _ *crwire.Session, req *crwire.RecordTake) (*crwire.RecordTaken, error) {
	if err := checkIncarnation(k.Core.Self, req.GetTargetIncarnation()); err != nil {
		return nil, err
	}
	id, err := crrecord.ParseID(req.GetId())
	if err != nil {
		return nil, err
	}
	s, held := k.take(crrecord.Take{
		ID: id, Token: crrecord.Token(req.GetToken()), Epoch: req.GetGroupEpoch(),
		Slots: int(req.GetSlots()), Want: int(req.GetWant()),
	})
	return &crwire.RecordTaken{Status: uint32(s), Held: held}, nil
}

func (k *Keeper) take(t crrecord.Take) (s crrecord.Status, held uint64) {
	now := k.Now()
	k.withCore(func(core *crrecord.Keeper) { s, held = core.Take(now, t) })
	return s, held
}

func (k *Keeper) onSeal(_ context.Context, _ *crwire.Session, req *crwire.RecordSeal, send func(*crwire.RecordHandover) error) error {
	if err := checkIncarnation(k.Core.Self, req.GetTargetIncarnation()); err != nil {
		return err
	}
	now := k.Now()
	var (
		out crrecord.Handover
		ok  bool
	)
	k.withCore(func(core *crrecord.Keeper) {
		out, ok = core.Seal(now, req.GetNumber(), req.GetGroupEpoch(), req.GetNext())
	})
	if !ok {
		return crcode.New(crcode.MalformedMessage, "group %d epoch %d next %d", req.GetNumber(), req.GetGroupEpoch(), req.GetNext())
	}
	part := &crwire.RecordHandover{Complete: out.Complete, FenceMs: out.FenceMS}
	if out.Known != nil {
		part.Known = GroupToWire(*out.Known)
	}
	size := 0
	for i := range out.Records {
		w := wireRecord(&out.Records[i])
		part.Records = append(part.Records, w)
		if size += proto.Size(w); size >= handoverPartBytes {
			if err := send(part); err != nil {
				return err
			}
			part, size = &crwire.RecordHandover{}, 0
		}
	}
	part.Last = true
	return send(part)
}

// errLastPart is returned by the receive callback to end a stream after the last part of a hand-over.
var errLastPart = errors.New("crkeeper: last part")

// fetchHandover receives a whole hand-over; an incomplete one is an error.
func fetchHandover(ctx context.Context, s *crwire.Session, req *crwire.RecordSeal) (crrecord.Handover, error) {
	var out crrecord.Handover
	first := true
	err := crwire.Receive(ctx, s, methodSeal, req, func(part *crwire.RecordHandover) error {
		if first {
			first = false
			out.Complete, out.FenceMS = part.GetComplete(), part.GetFenceMs()
			if part.GetKnown() != nil {
				g := GroupFromWire(part.GetKnown())
				out.Known = &g
			}
		}
		for _, w := range part.GetRecords() {
			h, err := recordOf(w)
			if err != nil {
				return err
			}
			out.Records = append(out.Records, h)
		}
		if part.GetLast() {
			return errLastPart
		}
		return nil
	})
	if err == errLastPart {
		return out, nil
	}
	if err == nil {
		err = crcode.New(crcode.ConnectionLost, "the hand-over ended before its last part")
	}
	return crrecord.Handover{}, err
}
