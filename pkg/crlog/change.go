package crlog

import (
	"slices"
	"time"

	"github.com/citronramp/citronramp/pkg/crcode"
)

// AddMember adds a learner that becomes a voter by itself once it has caught up.
func (n *Node) AddMember(now time.Time, m Member) (index, term uint64, err error) {
	return n.addLearner(now, Member{ID: m.ID, Name: m.Name, Address: m.Address, Learner: true})
}

// ReplaceMember adds a learner; once it has caught up, the lost voter leaves and the learner takes its place.
func (n *Node) ReplaceMember(now time.Time, lost uint64, m Member) (index, term uint64, err error) {
	if lost == n.cfg.ID {
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
	case !n.settled():
		return 0, 0, n.pending()
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

// RemoveMember removes a voter, or gives up a learner that does not catch up.
func (n *Node) RemoveMember(now time.Time, id uint64) (index, term uint64, err error) {
	members := n.Members()
	if err := n.checkChange(now); err != nil {
		return 0, 0, err
	}
	m := members.find(id)
	switch {
	case m == nil:
		return 0, 0, crcode.New(crcode.NotFound, "member %x", id)
	case !m.Learner && !n.settled():
		return 0, 0, n.pending()
	case id == n.cfg.ID:
		return 0, 0, crcode.New(crcode.BadValue, "member %x leads; transfer leadership first", id)
	}
	index, term = n.proposeMembers(now, members.without(id))
	return index, term, nil
}

// checkChange refuses a change while another one, or the first entry of this term, has not committed. Without an own
// committed entry, a change of an earlier leader that this one does not know could still win.
func (n *Node) checkChange(now time.Time) error {
	if !n.leads(now) {
		return n.noLeader()
	}
	if n.configs[len(n.configs)-1].index > n.commit || n.log.term(n.commit) != n.hard.Term {
		return n.pending()
	}
	return nil
}

func (n *Node) pending() error {
	return crcode.New(crcode.ChangePending, "the member list at entry %d has not settled", n.configs[len(n.configs)-1].index)
}

// settled reports whether the latest member list is committed and its new member has caught up.
func (n *Node) settled() bool {
	last := n.configs[len(n.configs)-1]
	return last.index <= n.commit && last.members.learner() == nil
}

func (n *Node) proposeMembers(now time.Time, m Members) (index, term uint64) {
	e := Entry{Index: n.log.last() + 1, Term: n.hard.Term, Kind: Change, Data: encodeMembers(m)}
	n.configs = append(n.configs, indexedMembers{e.Index, m})
	n.log.append(e)
	n.syncPeers(now)
	return e.Index, e.Term
}

// settle goes on with a change once its learner has caught up: first the replaced voter leaves, then the learner gets
// its vote. There are never more voters than before, so a second loss leaves as large a majority as possible.
func (n *Node) settle(now time.Time) {
	if n.role != Leader || n.checkChange(now) != nil {
		return
	}
	members := slices.Clone(n.Members())
	l := members.learner()
	if l == nil {
		return
	}
	p := n.lead.peers[l.ID]
	if p == nil || p.match < n.commit || now.Sub(p.heard) > n.cfg.Lease {
		return
	}
	if members.isVoter(l.Replaces) && l.Replaces != n.cfg.ID {
		lost := l.Replaces
		l.Replaces = 0
		n.proposeMembers(now, members.without(lost))
		return
	}
	if l.Replaces == n.cfg.ID {
		// The voter to replace was elected meanwhile; it is not lost.
		return
	}
	l.Learner, l.Replaces = false, 0
	n.proposeMembers(now, members)
}
