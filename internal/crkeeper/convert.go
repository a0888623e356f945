package crkeeper

import (
	"time"

	"github.com/citronramp/citronramp/internal/crwire"
	"github.com/citronramp/citronramp/pkg/crcode"
	"github.com/citronramp/citronramp/pkg/crrecord"
)

// GroupFromWire converts a configuration entry to a group membership.
func GroupFromWire(g *crwire.KeeperGroup) crrecord.Group {
	return crrecord.Group{
		Number: g.GetNumber(), Epoch: g.GetGroupEpoch(), FenceMS: g.GetFenceMs(),
		Members: membersOf(g.GetMembers()), Previous: membersOf(g.GetPrevious()),
	}
}

// GroupToWire converts a group membership to a configuration entry.
func GroupToWire(g crrecord.Group) *crwire.KeeperGroup {
	return &crwire.KeeperGroup{
		Number: g.Number, GroupEpoch: g.Epoch, FenceMs: g.FenceMS,
		Members: wireMembers(g.Members), Previous: wireMembers(g.Previous),
	}
}

func memberOf(m *crwire.KeeperMember) crrecord.Member {
	return crrecord.Member{Node: m.GetNode(), Incarnation: m.GetIncarnation(), Address: m.GetAddress(), Domain: m.GetDomain()}
}

func wireMember(m crrecord.Member) *crwire.KeeperMember {
	return &crwire.KeeperMember{Node: m.Node, Incarnation: m.Incarnation, Address: m.Address, Domain: m.Domain}
}

func membersOf(in []*crwire.KeeperMember) []crrecord.Member {
	out := make([]crrecord.Member, 0, len(in))
	for _, m := range in {
		out = append(out, memberOf(m))
	}
	return out
}

func wireMembers(in []crrecord.Member) []*crwire.KeeperMember {
	out := make([]*crwire.KeeperMember, 0, len(in))
	for _, m := range in {
		out = append(out, wireMember(m))
	}
	return out
}

func digestOf(b []byte) (crrecord.Digest, error) {
	var d crrecord.Digest
	if len(b) != len(d) {
		return d, crcode.New(crcode.MalformedMessage, "a digest has %d bytes, got %d", len(d), len(b))
	}
	copy(d[:], b)
	return d, nil
}

func wireAnswer(a crrecord.Answer) *crwire.RecordAnswer {
	return &crwire.RecordAnswer{
		Status: uint32(a.Status), ContentType: a.ContentType, Body: a.Body, Omitted: a.Omitted, Runner: wireMember(a.Runner),
	}
}

func answerOf(a *crwire.RecordAnswer) crrecord.Answer {
	return crrecord.Answer{
		Status: int(a.GetStatus()), ContentType: a.GetContentType(), Body: a.GetBody(), Omitted: a.GetOmitted(),
		Runner: memberOf(a.GetRunner()),
	}
}

func wireRecord(h *crrecord.HeldRecord) *crwire.HeldRecord {
	out := &crwire.HeldRecord{Id: h.ID.String(), AgeMs: h.Age.Milliseconds()}
	for _, c := range h.Claims {
		out.Claims = append(out.Claims, &crwire.HeldClaim{Token: uint64(c.Token), Digest: c.Digest[:], GroupEpoch: c.Epoch})
	}
	if h.Done {
		out.Answer = wireAnswer(h.Answer)
	}
	for _, s := range h.Slots {
		out.Slots = append(out.Slots, uint64(s))
	}
	return out
}

func recordOf(h *crwire.HeldRecord) (crrecord.HeldRecord, error) {
	id, err := crrecord.ParseID(h.GetId())
	if err != nil {
		return crrecord.HeldRecord{}, err
	}
	out := crrecord.HeldRecord{ID: id, Age: max(0, time.Duration(h.GetAgeMs())*time.Millisecond), Done: h.GetAnswer() != nil}
	for _, c := range h.GetClaims() {
		d, err := digestOf(c.GetDigest())
		if err != nil {
			return out, err
		}
		out.Claims = append(out.Claims, crrecord.HeldClaim{Token: crrecord.Token(c.GetToken()), Digest: d, Epoch: c.GetGroupEpoch()})
	}
	if out.Done {
		out.Answer = answerOf(h.GetAnswer())
	}
	for _, s := range h.GetSlots() {
		out.Slots = append(out.Slots, crrecord.Token(s))
	}
	if len(out.Slots) > crrecord.MaxSlots {
		return out, crcode.New(crcode.MalformedMessage, "%d slots", len(out.Slots))
	}
	return out, nil
}
