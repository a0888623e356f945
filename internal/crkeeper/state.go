package crkeeper

import (
	"context"

	"github.com/citronramp/citronramp/internal/crwire"
	"github.com/citronramp/citronramp/pkg/crcode"
	"github.com/citronramp/citronramp/pkg/crrecord"
)

func (k *Keeper) onState(_ context.Context, _ *crwire.Session, req *crwire.RecordStateRequest) (*crwire.RecordStates, error) {
	if err := checkIncarnation(k.Core.Self, req.GetTargetIncarnation()); err != nil {
		return nil, err
	}
	if len(req.GetNumbers()) > crrecord.Groups {
		return nil, crcode.New(crcode.MalformedMessage, "%d groups", len(req.GetNumbers()))
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	out := &crwire.RecordStates{}
	for _, n := range req.GetNumbers() {
		s := &crwire.RecordState{Number: n, Granting: k.Core.ActiveEpoch(n)}
		if r := k.pending[n]; r != nil {
			s.Pending = r.Group().Epoch
			needed, targets := r.PendingReplies()
			s.Needed = uint32(needed)
			for _, t := range targets {
				s.Missing = append(s.Missing, &crwire.KeeperMember{Node: t.Member.Node, Incarnation: t.Member.Incarnation})
			}
		}
		out.States = append(out.States, s)
	}
	return out, nil
}

// HandOverStates requests the state of the hand-overs of the given groups from a keeper.
func HandOverStates(ctx context.Context, e *crwire.Endpoint, m crrecord.Member, numbers []uint32) ([]crrecord.GroupState, error) {
	s, err := memberSession(ctx, e, m)
	if err != nil {
		return nil, err
	}
	resp, err := crwire.Call[crwire.RecordStates](ctx, s, methodState, &crwire.RecordStateRequest{
		TargetIncarnation: m.Incarnation, Numbers: numbers,
	})
	if err != nil {
		return nil, err
	}
	var out []crrecord.GroupState
	for _, w := range resp.GetStates() {
		g := crrecord.GroupState{Number: w.GetNumber(), Granting: w.GetGranting(), Pending: w.GetPending(), Needed: int(w.GetNeeded())}
		for _, o := range w.GetMissing() {
			g.Missing = append(g.Missing, crrecord.Member{Node: o.GetNode(), Incarnation: o.GetIncarnation()})
		}
		out = append(out, g)
	}
	return out, nil
}
