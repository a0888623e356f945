package crlog

import "time"

// pendingRead waits for a heartbeat round; from is 0 for a read of this node.
type pendingRead struct {
	id, from uint64
	address  string
	index    uint64
	round    uint64
}

// ReadIndex asks for a linearizable read; Ready returns a Read with the same id. An answer may get lost when a message
// does, so the caller sets a time limit and asks again.
func (n *Node) ReadIndex(now time.Time, id uint64) {
	switch {
	case n.role == Leader:
		n.stepRead(now, Message{ID: id})
	case n.leader != 0:
		n.send(Message{Kind: ReadRequest, To: n.leader, Address: n.leaderAddr, ID: id})
	default:
		n.reads = append(n.reads, Read{ID: id})
	}
}

// stepRead lets a read wait for the next heartbeat round. A majority that answers it had no other leader when the read came.
// The lease would say so without a round, but only if the clock went on since it was granted, also while the machine was
// suspended.
func (n *Node) stepRead(now time.Time, m Message) {
	r := pendingRead{id: m.ID, from: m.From, address: m.FromAddress, index: n.commit}
	if n.role != Leader || n.log.term(n.commit) != n.hard.Term || len(n.lead.reads) >= maxReads {
		n.answerRead(r, false)
		return
	}
	r.round = n.lead.round + 1
	n.lead.reads = append(n.lead.reads, r)
	if soon := now.Add(n.cfg.Heartbeat / readBeats); soon.Before(n.lead.nextBeat) {
		n.lead.nextBeat = soon
	}
}

func (n *Node) answerRead(r pendingRead, ok bool) {
	if r.from == 0 {
		n.reads = append(n.reads, Read{ID: r.id, Index: r.index, OK: ok})
		return
	}
	n.send(Message{Kind: ReadResponse, To: r.from, Address: r.address, ID: r.id, Index: r.index, Reject: !ok})
}

// releaseReads answers the reads whose round a majority has confirmed.
func (n *Node) releaseReads() {
	keep := n.lead.reads[:0]
	for _, r := range n.lead.reads {
		if r.round <= n.lead.confirmed {
			n.answerRead(r, true)
		} else {
			keep = append(keep, r)
		}
	}
	n.lead.reads = keep
}

func (n *Node) dropReads() {
	if n.lead == nil {
		return
	}
	for _, r := range n.lead.reads {
		n.answerRead(r, false)
	}
	n.lead.reads = nil
}
