package crreplica

import (
	"github.com/citronramp/citronramp/internal/crwire"
	"github.com/citronramp/citronramp/pkg/crcode"
	"github.com/citronramp/citronramp/pkg/crlog"
)

func toWire(m crlog.Message) *crwire.LogMessage {
	out := &crwire.LogMessage{
		Kind: uint32(m.Kind), From: m.From, To: m.To, FromAddress: m.FromAddress, Term: m.Term, Index: m.Index,
		LogTerm: m.LogTerm, Commit: m.Commit, Reject: m.Reject, Hint: m.Hint, Force: m.Force, Round: m.Round, Id: m.ID,
		Offset: m.Offset, Size: m.Size, Data: m.Data, Leader: m.Leader, LeaderAddress: m.LeaderAddress,
	}
	for _, e := range m.Entries {
		out.Entries = append(out.Entries, &crwire.LogEntry{Index: e.Index, Term: e.Term, Kind: uint32(e.Kind), Data: e.Data})
	}
	for _, v := range m.Members {
		out.Members = append(out.Members, &crwire.LogMember{Id: v.ID, Name: v.Name, Address: v.Address, Learner: v.Learner, Replaces: v.Replaces})
	}
	return out
}

func fromWire(m *crwire.LogMessage) (crlog.Message, error) {
	if m.GetKind() > uint32(crlog.ObserveResponse) || m.GetKind() == 0 {
		return crlog.Message{}, crcode.New(crcode.MalformedMessage, "log message of kind %d", m.GetKind())
	}
	out := crlog.Message{
		Kind: crlog.MessageKind(m.GetKind()), From: m.GetFrom(), To: m.GetTo(), FromAddress: m.GetFromAddress(),
		Term: m.GetTerm(), Index: m.GetIndex(), LogTerm: m.GetLogTerm(), Commit: m.GetCommit(), Reject: m.GetReject(),
		Hint: m.GetHint(), Force: m.GetForce(), Round: m.GetRound(), ID: m.GetId(),
		Offset: m.GetOffset(), Size: m.GetSize(), Data: m.GetData(), Leader: m.GetLeader(), LeaderAddress: m.GetLeaderAddress(),
	}
	for i, e := range m.GetEntries() {
		if e.GetKind() > uint32(crlog.MemberChange) || e.GetIndex() != m.GetIndex()+uint64(i)+1 {
			return crlog.Message{}, crcode.New(crcode.MalformedMessage, "log entry %d of kind %d", e.GetIndex(), e.GetKind())
		}
		out.Entries = append(out.Entries, crlog.Entry{Index: e.GetIndex(), Term: e.GetTerm(), Kind: crlog.Kind(e.GetKind()), Data: e.GetData()})
	}
	for _, v := range m.GetMembers() {
		out.Members = append(out.Members, crlog.Member{ID: v.GetId(), Name: v.GetName(), Address: v.GetAddress(), Learner: v.GetLearner(), Replaces: v.GetReplaces()})
	}
	return out, nil
}
