package crrecord

import (
	"math/bits"

	"github.com/citronramp/citronramp/pkg/crcode"
)

// Claimer decides one claim from the replies of the group's members. It decides once; later replies change nothing.
// After a decision other than OK the caller releases the token at every member.
type Claimer struct {
	replies    []Reply
	replyCount int
	grants     int
	decided    bool
	decision   Decision
}

// NewClaimer returns a claimer for a group of n members.
func NewClaimer(n int) *Claimer { return &Claimer{replies: make([]Reply, n)} }

// AddReply adds the reply of the member with the given index; only its first reply counts.
func (c *Claimer) AddReply(member int, r Reply) {
	if c.decided || member < 0 || member >= len(c.replies) || c.replies[member].Status != 0 || r.Status == 0 {
		return
	}
	c.replies[member] = r
	c.replyCount++
	if r.Status == Granted {
		c.grants++
	}
	switch {
	case c.grants >= Majority(len(c.replies)):
		c.decide(crcode.OK, "")
	case r.Status == Done:
		c.decide(crcode.Replayed, "")
		c.decision.Answer = r.Answer
	case c.replyCount == len(c.replies):
		c.Finish()
	}
}

// Decision returns the decision and whether it has been made.
func (c *Claimer) Decision() (Decision, bool) { return c.decision, c.decided }

func (c *Claimer) decide(code crcode.Code, detail string) {
	c.decided, c.decision = true, Decision{Code: code, Detail: detail}
}

// Finish makes the decision from the replies so far, for example at a deadline. A missing reply counts as not granted.
func (c *Claimer) Finish() Decision {
	if c.decided {
		return c.decision
	}
	count := make(map[Status]int)
	holders := make(map[Token]int)
	for _, r := range c.replies {
		count[r.Status]++
		if r.Status == InProgress {
			holders[r.Holder]++
		}
	}
	majority := Majority(len(c.replies))
	switch {
	case count[InProgress] > 0 && c.splitVote(holders, count):
		c.decide(crcode.ClaimFailed, "two sends of the id claimed it at once")
	case count[InProgress] > 0:
		c.decide(crcode.InProgress, "")
	case count[TooOld] > 0:
		c.decide(crcode.IDTooOld, "")
	case count[OtherDigest] > 0:
		c.decide(crcode.IDOtherBody, "")
	case count[Future] >= majority:
		c.decide(crcode.IDFromFuture, "")
	case count[Full] > 0:
		c.decide(crcode.ClaimFailed, "a keeper is at its memory bound")
	case count[WrongEpoch] > 0:
		c.decide(crcode.ClaimFailed, "the keeper group changes")
	case count[Unconfirmed] > 0:
		c.decide(crcode.ClaimFailed, "a keeper has not confirmed its configuration")
	default:
		c.decide(crcode.ClaimFailed, "no majority of keepers answered")
	}
	return c.decision
}

// splitVote reports whether every member replied with Granted or InProgress and no other claim has a majority. A claim
// that already won would be reported by a majority of the members.
func (c *Claimer) splitVote(holders map[Token]int, count map[Status]int) bool {
	if count[Granted]+count[InProgress] != len(c.replies) || c.grants == 0 {
		return false
	}
	for _, n := range holders {
		if n >= Majority(len(c.replies)) {
			return false
		}
	}
	return true
}

// Taker determines how many retry slots a request won from the replies of the group's members.
type Taker struct {
	held       []uint64
	replied    []bool
	want       int
	statuses   map[Status]int
	replyCount int
}

// NewTaker returns a taker for a group of n members.
func NewTaker(n, want int) *Taker {
	return &Taker{held: make([]uint64, n), replied: make([]bool, n), want: want, statuses: make(map[Status]int)}
}

// AddReply adds the reply of the member with the given index; only its first reply counts.
func (t *Taker) AddReply(member int, s Status, held uint64) {
	if member < 0 || member >= len(t.held) || t.replied[member] || s == 0 {
		return
	}
	t.replied[member] = true
	t.replyCount++
	t.statuses[s]++
	if s == Granted {
		t.held[member] = held
	}
}

// Won returns the number of slots that a majority assigned, and whether later replies cannot change it.
func (t *Taker) Won() (int, bool) {
	n := min(t.want, bits.OnesCount64(t.wonSlots()))
	return n, n == t.want || t.replyCount == len(t.held)
}

func (t *Taker) wonSlots() uint64 {
	var out uint64
	for i := range MaxSlots {
		n := 0
		for _, h := range t.held {
			n += int(h >> i & 1)
		}
		if n >= Majority(len(t.held)) {
			out |= 1 << i
		}
	}
	return out
}

// Finish returns the number of slots won so far; the code is OK if it is not zero.
func (t *Taker) Finish() (int, crcode.Code) {
	n, _ := t.Won()
	switch {
	case n > 0:
		return n, crcode.OK
	case t.statuses[Granted] >= Majority(len(t.held)):
		return 0, crcode.RetriesSpent
	case t.statuses[TooOld] > 0:
		return 0, crcode.IDTooOld
	}
	return 0, crcode.ClaimFailed
}
