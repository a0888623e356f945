package crlog

import (
	"slices"
	"time"

	"github.com/citronramp/citronramp/pkg/crcode"
)

// AddMember adds a learner, which becomes a voter automatically once it has caught up.
func (n *Node) AddMember(now time.Time, m Member) (index, term uint64, err error) {
	return n.addLearner(now, Member{ID: m.ID, Name: m.Name, Address: m.Address, Learner: true})
}

// ReplaceMember adds a learner. Once it has caught up, the lost voter is removed and the learner becomes a voter.
func (n *Node) ReplaceMember(now time.Time, lost uint64, m Member) (index, term uint64, err error) {
	if lost == n.config.ID {
		return 0, 0, crcode.New(crcode.BadValue, "member %x leads; transfer leadership first", lost)
	}
	if n.role == Leader && !n.Members().isVoter(lost) {
		return 0, 0, crcode.New(crcode.NotFound, "member %x", lost)
	}
	return n.addLearner(now, Member{ID: m.ID, Name: m.Name, Address: m.Address, Learner: true, Replaces: lost})
}

func (n *Node) addLearner(now time.Time, m Member) (index, term uint64, err error) {
	members := n.Members()
	if err := n.checkChange(now); err != nil {
		return 0, 0, err
	}
	switch {
	case !n.membersSettled():
		return 0, 0, n.changePendingError()
	case m.ID == 0 || m.Address == "":
		return 0, 0, crcode.New(crcode.BadValue, "a member needs an id and an address")
	case members.find(m.ID) != nil:
		return 0, 0, crcode.New(crcode.Exists, "member %x", m.ID)
	case m.Replaces == 0 && len(members.Voters()) >= MaxVoters:
		return 0, 0, crcode.New(crcode.BadValue, "there are %d voters already", MaxVoters)
	}
	index, term = n.proposeMembers(now, append(slices.Clone(members), m))
	return index, term, nil
}

// RemoveMember removes a voter, or a learner that does not catch up.
func (n *Node) RemoveMember(now time.Time, id uint64) (index, term uint64, err error) {
	members := n.Members()
	if err := n.checkChange(now); err != nil {
		return 0, 0, err
	}
	m := members.find(id)
	switch {
	case m == nil:
		return 0, 0, crcode.New(crcode.NotFound, "member %x", id)
	case !m.Learner && !n.membersSettled():
		return 0, 0, n.changePendingError()
	case id == n.config.ID:
		return 0, 0, crcode.New(crcode.BadValue, "member %x leads; transfer leadership first", id)
	}
	index, term = n.proposeMembers(now, members.without(id))
	return index, term, nil
}

// checkChange rejects a member change while another one, or the first entry of this term, is not committed. Before an
// entry of this term is committed, a member change of an earlier leader that this leader does not know could still be
// committed.
func (n *Node) checkChange(now time.Time) error {
	if !n.holdsLease(now) {
		return n.notLeaderError()
	}
	if n.memberLists[len(n.memberLists)-1].index > n.commitIndex || n.log.term(n.commitIndex) != n.hardState.Term {
		return n.changePendingError()
	}
	return nil
}

func (n *Node) changePendingError() error {
	return crcode.New(crcode.ChangePending, "the member list at entry %d has not settled", n.memberLists[len(n.memberLists)-1].index)
}

// membersSettled reports whether the latest member list is committed and has no learner.
func (n *Node) membersSettled() bool {
	last := n.memberLists[len(n.memberLists)-1]
	return last.index <= n.commitIndex && last.members.learner() == nil
}

func (n *Node) proposeMembers(now time.Time, m Members) (index, term uint64) {
	e := Entry{Index: n.log.last() + 1, Term: n.hardState.Term, Kind: MemberChange, Data: encodeMembers(m)}
	n.memberLists = append(n.memberLists, memberListAt{e.Index, m})
	n.log.append(e)
	n.syncPeers(now)
	return e.Index, e.Term
}

// advanceMemberChange proposes the next step of a member change once its learner has caught up: first the removal of the
// replaced voter, then the promotion of the learner to voter. A replacement never raises the number of voters, so that
// the quorum does not grow and the log survives the loss of a second voter if possible.
func (n *Node) advanceMemberChange(now time.Time) {
	if n.role != Leader || n.checkChange(now) != nil {
		return
	}
	members := slices.Clone(n.Members())
	l := members.learner()
	if l == nil {
		return
	}
	p := n.leaderState.peers[l.ID]
	if p == nil || p.match < n.commitIndex || now.Sub(p.lastContact) > n.config.Lease {
		return
	}
	if members.isVoter(l.Replaces) && l.Replaces != n.config.ID {
		lost := l.Replaces
		l.Replaces = 0
		n.proposeMembers(now, members.without(lost))
		return
	}
	if l.Replaces == n.config.ID {
		// The voter to be replaced has become leader in the meantime, so it is not lost.
		return
	}
	l.Learner, l.Replaces = false, 0
	n.proposeMembers(now, members)
}
