package crrecord

import (
	"slices"
	"time"
)

// Default limits of a keeper.
const (
	defaultMaxRecords = 200_000
	defaultMaxBytes   = 48 << 20
	// maxTombstones limits the stored tombstones of released tokens. If one is evicted, a delayed claim message may
	// reserve the id for a token that never runs. This blocks the id until the record expires, but allows no second
	// run.
	maxTombstones = 4096
	// answerMemoryDivisor limits answer bodies to the first half of the memory limit: without the body a repeated
	// request still gets the result that the request ran, but without memory for its record a request is refused.
	answerMemoryDivisor = 2
	// recordOverhead approximates the memory of a record apart from its strings and body: map entry, struct and
	// pointers.
	recordOverhead = 320
)

// Keeper stores the records of the groups that this node is a member of.
type Keeper struct {
	// Self is this node in its current incarnation.
	Self Member
	// MaxRecords limits the number of records; zero means 200,000.
	MaxRecords int
	// MaxBytes limits the memory of records and answers; zero means 48 MiB. Answer bodies may use half of it.
	MaxBytes int64
	// ConfirmWithin, if not zero, makes the keeper refuse claims when Confirm was not called for this long. Without it
	// a majority that is disconnected from the control instances may grant ids that a fenced successor group grants
	// too.
	ConfirmWithin time.Duration

	groups         map[uint32]*group
	records        int
	bytes          int64
	confirmedAt    time.Duration
	tombstones     map[Token]struct{}
	tombstoneOrder []Token
	tombstoneNext  int
}

// holder is a granted claim whose request may have run.
type holder struct {
	token  Token
	digest Digest
	epoch  uint64
}

// record is the state of one id. Records are in a linked list of their group, oldest first.
type record struct {
	id         string
	createdMS  int64
	insertedAt time.Duration
	holders    []holder
	done       bool
	answer     Answer
	slots      []Token
	size       int64
	prev, next *record
}

// Stats are the sizes of a keeper's state. Active is the number of groups in which the keeper grants claims.
type Stats struct {
	Groups, Active, Records int
	Bytes                   int64
}

// Stats returns the current sizes of the keeper's state.
func (k *Keeper) Stats() Stats {
	s := Stats{Groups: len(k.groups), Records: k.records, Bytes: k.bytes}
	for _, g := range k.groups {
		if g.activeEpoch != 0 {
			s.Active++
		}
	}
	return s
}

// Confirm records that the keeper's configuration was confirmed; now is the time before the confirmation was
// requested.
func (k *Keeper) Confirm(now Instant) { k.confirmedAt = max(k.confirmedAt, now.Elapsed) }

// Claim requests that the keeper reserves an id for a token.
type Claim struct {
	ID     ID
	Digest Digest
	Token  Token
	Epoch  uint64
}

// Claim grants the id to the token, or returns the existing state of the id.
func (k *Keeper) Claim(now Instant, c Claim) Reply {
	g := k.groups[c.ID.Group()]
	if s := k.checkServes(now, g, c.Epoch); s != Granted {
		return Reply{Status: s, Epoch: g.newestEpoch()}
	}
	if c.Token == 0 {
		return Reply{Status: BadMessage, Epoch: g.activeEpoch}
	}
	key := c.ID.String()
	r := g.records[key]
	if r != nil && (r.done || len(r.holders) > 0) {
		return r.reply(c, g.activeEpoch)
	}
	if _, ok := k.tombstones[c.Token]; ok {
		return Reply{Status: Released, Epoch: g.activeEpoch}
	}
	// A record without claims may still contain slots after a claim of the id expired at the keeper that the record
	// came from. So the fence applies to such a record too.
	if s := k.checkAdmission(now, g, c.ID, r, key); s != Granted {
		return Reply{Status: s, Epoch: g.activeEpoch}
	}
	if r == nil {
		r = k.insert(now, g, c.ID, key)
	}
	r.holders = []holder{{c.Token, c.Digest, c.Epoch}}
	return Reply{Status: Granted, Epoch: g.activeEpoch}
}

// reply returns the reply to a claim of an id that has a record.
func (r *record) reply(c Claim, epoch uint64) Reply {
	out := Reply{Status: OtherDigest, Epoch: epoch}
	for _, h := range r.holders {
		if h.digest != c.Digest {
			continue
		}
		out.Holder = h.token
		switch {
		case r.done:
			out.Status, out.Answer = Done, r.answer
		case h.token == c.Token && h.epoch == c.Epoch && len(r.holders) == 1:
			out.Status = Granted
			return out
		default:
			out.Status = InProgress
		}
	}
	return out
}

// checkServes returns Granted if the keeper may decide in the epoch.
func (k *Keeper) checkServes(now Instant, g *group, epoch uint64) Status {
	if g == nil || g.activeEpoch == 0 || g.activeEpoch != epoch {
		return WrongEpoch
	}
	if k.ConfirmWithin > 0 && now.Elapsed-k.confirmedAt >= k.ConfirmWithin {
		return Unconfirmed
	}
	return Granted
}

// checkAdmission returns Granted if a claim or slots of the id may be added to r; r is nil if there is no record.
func (k *Keeper) checkAdmission(now Instant, g *group, id ID, r *record, key string) Status {
	switch {
	case id.created <= g.fenceMS:
		return TooOld
	case id.created > now.UnixMS+MaxFuture.Milliseconds():
		return Future
	case r != nil:
		return Granted
	case k.records >= k.maxRecords(), k.bytes+recordOverhead+int64(len(key)) > k.maxBytes():
		return Full
	}
	return Granted
}

func (k *Keeper) maxRecords() int {
	if k.MaxRecords > 0 {
		return k.MaxRecords
	}
	return defaultMaxRecords
}

func (k *Keeper) maxBytes() int64 {
	if k.MaxBytes > 0 {
		return k.MaxBytes
	}
	return defaultMaxBytes
}

// Completion reports that the token's run ended with the answer. Only the token that won the claim may send it.
type Completion struct {
	ID     ID
	Digest Digest
	Token  Token
	Answer Answer
}

// Complete stores the answer. It is accepted in every group epoch, also before a hand-over. The result is Done if the
// answer was stored, WrongEpoch if this keeper no longer serves the group and the completion must also be sent to the
// current members, and TooOld or Full if the answer was not stored.
func (k *Keeper) Complete(now Instant, c Completion) Status {
	g := k.groups[c.ID.Group()]
	if g == nil {
		return WrongEpoch
	}
	if c.Token == 0 {
		return BadMessage
	}
	key := c.ID.String()
	r := g.records[key]
	if r == nil {
		if s := k.checkAdmission(now, g, c.ID, nil, key); s != Granted {
			return s
		}
		r = k.insert(now, g, c.ID, key)
	}
	if !r.done {
		// The token was granted by a majority, so no other holder can have won and run.
		r.holders = []holder{{token: c.Token, digest: c.Digest}}
		k.storeAnswer(r, c.Answer)
	}
	if !g.current() {
		return WrongEpoch
	}
	return Done
}

func (k *Keeper) storeAnswer(r *record, a Answer) {
	r.done = true
	if len(a.Body) > MaxAnswerBytes || k.bytes+int64(len(a.Body)) > k.maxBytes()/answerMemoryDivisor {
		a.Body, a.Omitted = nil, true
	}
	a.Body = slices.Clone(a.Body)
	r.answer = a
	size := int64(len(a.Body) + len(a.ContentType) + len(a.Runner.Node) + len(a.Runner.Incarnation) + len(a.Runner.Address))
	r.size += size
	k.bytes += size
}

// Release ends a claim whose request did not run and never will. It is accepted in every group epoch. The result is
// Released, or WrongEpoch if the release must also be sent to the current members.
func (k *Keeper) Release(id ID, token Token) Status {
	k.tombstone(token)
	g := k.groups[id.Group()]
	if g == nil {
		return Released
	}
	if r := g.records[id.String()]; r != nil && !r.done {
		r.holders = slices.DeleteFunc(r.holders, func(h holder) bool { return h.token == token })
		if len(r.holders) == 0 && len(r.slots) == 0 {
			k.remove(g, r)
		}
	}
	if !g.current() {
		return WrongEpoch
	}
	return Released
}

func (k *Keeper) tombstone(t Token) {
	if k.tombstones == nil {
		k.tombstones = make(map[Token]struct{})
	}
	if _, ok := k.tombstones[t]; ok || t == 0 {
		return
	}
	if len(k.tombstoneOrder) < maxTombstones {
		k.tombstoneOrder = append(k.tombstoneOrder, t)
	} else {
		delete(k.tombstones, k.tombstoneOrder[k.tombstoneNext])
		k.tombstoneOrder[k.tombstoneNext] = t
		k.tombstoneNext = (k.tombstoneNext + 1) % maxTombstones
	}
	k.tombstones[t] = struct{}{}
}

// Take requests retry slots of an id; Slots is floor(R/2) of the request's kind.
type Take struct {
	ID    ID
	Token Token
	Epoch uint64
	Slots int
	Want  int
}

// Take assigns up to Want free slots to the token and returns the set of slots that the token holds, as a bit set.
// Each slot is a separate claim, which a token wins when a majority of keepers assigned the slot to it.
func (k *Keeper) Take(now Instant, t Take) (Status, uint64) {
	g := k.groups[t.ID.Group()]
	if s := k.checkServes(now, g, t.Epoch); s != Granted {
		return s, 0
	}
	if t.Token == 0 || t.Slots < 0 || t.Slots > MaxSlots {
		return BadMessage, 0
	}
	key := t.ID.String()
	r := g.records[key]
	if s := k.checkAdmission(now, g, t.ID, r, key); s != Granted {
		return s, 0
	}
	if r == nil {
		r = k.insert(now, g, t.ID, key)
	}
	k.growSlots(r, t.Slots)
	var held uint64
	n := 0
	for i, s := range r.slots[:t.Slots] {
		if s == t.Token {
			held |= 1 << i
			n++
		}
	}
	for i := 0; i < t.Slots && n < t.Want; i++ {
		if r.slots[i] == 0 {
			r.slots[i] = t.Token
			held |= 1 << i
			n++
		}
	}
	return Granted, held
}

func (k *Keeper) growSlots(r *record, n int) {
	if grow := n - len(r.slots); grow > 0 {
		r.slots = append(r.slots, make([]Token, grow)...)
		r.size += int64(8 * grow)
		k.bytes += int64(8 * grow)
	}
}
