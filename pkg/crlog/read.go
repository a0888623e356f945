package crlog

import "time"

// pendingRead is a read that waits for a heartbeat round; from is 0 for a read of this node.
type pendingRead struct {
	id, from uint64
	address  string
	index    uint64
	round    uint64
}

// ReadIndex starts a linearizable read; a later Ready returns a Read with the same id. Request and response may get lost,
// so the caller needs a timeout after which it starts the read again.
func (n *Node) ReadIndex(now time.Time, id uint64) {
	switch {
	case n.role == Leader:
		n.stepRead(now, Message{ID: id})
	case n.leaderID != 0:
		n.send(Message{Kind: ReadRequest, To: n.leaderID, Address: n.leaderAddress, ID: id})
	default:
		n.readResults = append(n.readResults, Read{ID: id})
	}
}

// stepRead queues a read until a majority has answered the next heartbeat round, which shows that there was no newer
// leader when the read arrived. The lease would show this without a round only if the clock counted the time that the
// machine was suspended.
func (n *Node) stepRead(now time.Time, m Message) {
	r := pendingRead{id: m.ID, from: m.From, address: m.FromAddress, index: n.commitIndex}
	if n.role != Leader || n.log.term(n.commitIndex) != n.hardState.Term || len(n.leaderState.pendingReads) >= maxPendingReads {
		n.answerRead(r, false)
		return
	}
	r.round = n.leaderState.round + 1
	n.leaderState.pendingReads = append(n.leaderState.pendingReads, r)
	if earliest := now.Add(n.config.Heartbeat / maxReadRounds); earliest.Before(n.leaderState.nextHeartbeat) {
		n.leaderState.nextHeartbeat = earliest
	}
}

func (n *Node) answerRead(r pendingRead, ok bool) {
	if r.from == 0 {
		n.readResults = append(n.readResults, Read{ID: r.id, Index: r.index, OK: ok})
		return
	}
	n.send(Message{Kind: ReadResponse, To: r.from, Address: r.address, ID: r.id, Index: r.index, Reject: !ok})
}

// answerConfirmedReads allows the reads whose heartbeat round a majority has answered.
func (n *Node) answerConfirmedReads() {
	keep := n.leaderState.pendingReads[:0]
	for _, r := range n.leaderState.pendingReads {
		if r.round <= n.leaderState.confirmedRound {
			n.answerRead(r, true)
		} else {
			keep = append(keep, r)
		}
	}
	n.leaderState.pendingReads = keep
}

func (n *Node) rejectPendingReads() {
	if n.leaderState == nil {
		return
	}
	for _, r := range n.leaderState.pendingReads {
		n.answerRead(r, false)
	}
	n.leaderState.pendingReads = nil
}
