package crlog

import "time"

// flush sends new entries, and the commit index when it rose, to all peers.
func (n *Node) flush() {
	for _, id := range n.lead.peerIDs() {
		n.replicate(id, n.lead.peers[id], n.commit > n.lead.sentCommit)
	}
	n.lead.sentCommit = n.commit
}

// messagesPerFlush bounds how many messages one peer gets at once.
const messagesPerFlush = 8

// replicate sends a peer what it lacks; with always set it sends an empty message when there is nothing else.
func (n *Node) replicate(id uint64, p *peer, always bool) {
	if p.next <= n.log.base {
		n.sendChunk(id, p)
		return
	}
	for i := 0; i < messagesPerFlush && (always || p.next <= n.log.last()); i++ {
		if p.probing && p.waiting {
			return
		}
		var entries []Entry
		if p.next-1-p.match < maxInflight || p.probing {
			entries = n.log.slice(p.next, n.log.last(), n.cfg.MessageBytes)
		}
		if len(entries) == 0 && !always {
			return
		}
		prev := p.next - 1
		n.send(Message{
			Kind: AppendRequest, To: id, Index: prev, LogTerm: n.log.term(prev), Commit: n.commit,
			Entries: entries, Round: n.lead.round,
		})
		always = false
		if p.probing {
			p.waiting = true
		} else {
			p.next += uint64(len(entries))
		}
	}
}

// stepAppend takes in entries of the leader.
func (n *Node) stepAppend(m Message) {
	r := Message{Kind: AppendResponse, To: m.From, Round: m.Round}
	switch {
	case m.Index < n.commit:
		// The committed part is the same everywhere, so the leader may go on after it.
		r.Index = n.commit
	case n.log.term(m.Index) != m.LogTerm || m.Index > n.log.last():
		r.Reject, r.Hint = true, n.hint(m)
	case !n.merge(m.Entries):
		return
	default:
		r.Index = m.Index + uint64(len(m.Entries))
		if c := min(m.Commit, r.Index); c > n.commit {
			n.setCommit(c)
		}
	}
	n.send(r)
}

// hint returns the highest index at which the leader's log may match this one.
func (n *Node) hint(m Message) uint64 {
	h := min(m.Index-1, n.log.last())
	for h > n.commit && n.log.term(h) > m.LogTerm {
		h--
	}
	return max(h, n.commit)
}

// merge adds entries and drops stored ones that conflict; it refuses a message that is not consistent in itself.
func (n *Node) merge(entries []Entry) bool {
	for _, e := range entries {
		if e.Index <= n.log.last() && n.log.term(e.Index) == e.Term {
			continue
		}
		if e.Index <= n.commit || e.Index > n.log.last()+1 {
			return false
		}
		if e.Index <= n.log.last() {
			n.truncate(e.Index)
		}
		if err := n.push(e); err != nil {
			return false
		}
	}
	return true
}

func (n *Node) truncate(index uint64) {
	n.log.truncate(index)
	for len(n.configs) > 1 && n.configs[len(n.configs)-1].index >= index {
		n.configs = n.configs[:len(n.configs)-1]
	}
}

// stepResponse takes in the answer of a peer.
func (n *Node) stepResponse(now time.Time, m Message) {
	if n.role != Leader {
		return
	}
	p := n.lead.peers[m.From]
	if p == nil {
		return
	}
	p.heard = now
	p.round = max(p.round, m.Round)
	n.renew()
	switch {
	case m.Kind == SnapshotResponse:
		n.stepChunkResponse(m.From, p, m)
	case m.Reject:
		if m.Hint >= p.match {
			p.next = min(m.Hint, n.log.last()) + 1
			p.probing, p.waiting = true, false
			n.replicate(m.From, p, true)
		}
	default:
		n.matched(now, m.From, p, m.Index)
	}
}

func (n *Node) matched(now time.Time, id uint64, p *peer, index uint64) {
	if index < p.match || index > n.log.last() {
		return
	}
	p.match = index
	p.next = max(p.next, index+1)
	p.probing, p.sending = false, nil
	n.advanceCommit(now)
	if n.role == Leader && p.next <= n.log.last() {
		n.replicate(id, p, false)
	}
}
