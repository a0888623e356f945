package crrecord

import (
	"math/bits"

	"github.com/citronramp/citronramp/pkg/crcode"
)

// Claimer decides one claim from the replies of the group's members; it decides once, so later replies change nothing.
// After a decision other than OK the caller releases the token at every member.
type Claimer struct {
	replies  []Reply
	answered int
	grants   int
	decided  bool
	decision Decision
}

// NewClaimer returns a claimer for a group of n members.
func NewClaimer(n int) *Claimer { return &Claimer{replies: make([]Reply, n)} }

// Reply takes the reply of the member with the given index; only its first reply counts.
func (c *Claimer) Reply(member int, r Reply) {
	if c.decided || member < 0 || member >= len(c.replies) || c.replies[member].Status != 0 || r.Status == 0 {
		return
	}
	c.replies[member] = r
	c.answered++
	if r.Status == Granted {
		c.grants++
	}
	switch {
	case c.grants >= Majority(len(c.replies)):
		c.decide(crcode.OK, "")
	case r.Status == Done:
		c.decide(crcode.Replayed, "")
		c.decision.Answer = r.Answer
	case c.answered == len(c.replies):
		c.Finish()
	}
}

// Decision returns the decision once it is certain.
func (c *Claimer) Decision() (Decision, bool) { return c.decision, c.decided }

func (c *Claimer) decide(code crcode.Code, detail string) {
	c.decided, c.decision = true, Decision{Code: code, Detail: detail}
}

// Finish decides on the replies so far, for example at a deadline; a missing reply counts as no grant.
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
	case count[InProgress] > 0 && c.split(holders, count):
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

// split reports whether every member answered with a grant or a claim in progress and no other claim has a majority.
// A claim that already won would show at a majority of the members.
func (c *Claimer) split(holders map[Token]int, count map[Status]int) bool {
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

// Taker decides how many retry slots an arrival won.
type Taker struct {
	held     []uint64
	replied  []bool
	want     int
	statuses map[Status]int
	answered int
}

// NewTaker returns a taker for a group of n members.
func NewTaker(n, want int) *Taker {
	return &Taker{held: make([]uint64, n), replied: make([]bool, n), want: want, statuses: make(map[Status]int)}
}

// Reply takes the reply of the member with the given index; only its first reply counts.
func (t *Taker) Reply(member int, s Status, held uint64) {
	if member < 0 || member >= len(t.held) || t.replied[member] || s == 0 {
		return
	}
	t.replied[member] = true
	t.answered++
	t.statuses[s]++
	if s == Granted {
		t.held[member] = held
	}
}

// Won returns the slots that a majority gave, and whether no later reply can be of use.
func (t *Taker) Won() (int, bool) {
	n := min(t.want, bits.OnesCount64(t.won()))
	return n, n == t.want || t.answered == len(t.held)
}

func (t *Taker) won() uint64 {
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

// Finish returns the slots won so far; the code is OK when there is one.
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
