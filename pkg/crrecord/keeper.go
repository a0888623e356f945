package crrecord

import (
	"slices"
	"time"
)

// Defaults of a keeper's bounds.
const (
	defaultMaxRecords = 200_000
	defaultMaxBytes   = 48 << 20
	// maxTombstones bounds remembered releases. A forgotten one lets a delayed claim message take the id for a token
	// that never runs, which blocks the id until the record expires but allows no second run.
	maxTombstones = 4096
	// answerShare keeps bodies out of all but the first half of the memory bound: without a body a resend is still told
	// that the request ran, but without room for its record a request is refused.
	answerShare = 2
	// recordOverhead approximates the memory of a record besides its strings and body: map entry, struct, pointers.
	recordOverhead = 320
)

// Keeper holds the records of the groups that this node is a member of.
type Keeper struct {
	// Self is this node in its present incarnation.
	Self Member
	// MaxRecords bounds the number of records; zero means 200,000.
	MaxRecords int
	// MaxBytes bounds the memory of records and answers; zero means 48 MiB. Bodies of answers are stored up to half of it.
	MaxBytes int64
	// ConfirmWithin, when set, refuses claims if Confirm was not called for this long. Without it a majority that is
	// cut off from the control instances may grant ids that a fenced successor grants as well.
	ConfirmWithin time.Duration

	groups    map[uint32]*group
	records   int
	bytes     int64
	confirmed time.Duration
	tombs     map[Token]struct{}
	tombOrder []Token
	tombNext  int
}

// holder is a claim that may have run.
type holder struct {
	token  Token
	digest Digest
	epoch  uint64
}

// record is what a keeper knows of one id; it is linked into its group's list, oldest first.
type record struct {
	id         string
	created    int64
	at         time.Duration
	holders    []holder
	done       bool
	answer     Answer
	slots      []Token
	size       int64
	prev, next *record
}

// Stats counts what a keeper holds.
type Stats struct {
	Groups, Active, Records int
	Bytes                   int64
}

// Stats returns the present counts.
func (k *Keeper) Stats() Stats {
	s := Stats{Groups: len(k.groups), Records: k.records, Bytes: k.bytes}
	for _, g := range k.groups {
		if g.active != 0 {
			s.Active++
		}
	}
	return s
}

// Confirm tells the keeper that its configuration was confirmed; now is the time before the confirmation was asked for.
func (k *Keeper) Confirm(now Instant) { k.confirmed = max(k.confirmed, now.Elapsed) }

// Claim asks the keeper to hold an id for a token.
type Claim struct {
	ID     ID
	Digest Digest
	Token  Token
	Epoch  uint64
}

// Claim grants the id to the token, or tells what it knows of the id.
func (k *Keeper) Claim(now Instant, c Claim) Reply {
	g := k.groups[c.ID.Group()]
	if s := k.serves(now, g, c.Epoch); s != Granted {
		return Reply{Status: s, Epoch: g.knownEpoch()}
	}
	if c.Token == 0 {
		return Reply{Status: BadMessage, Epoch: g.active}
	}
	key := c.ID.String()
	r := g.records[key]
	if r != nil && (r.done || len(r.holders) > 0) {
		return r.reply(c, g.active)
	}
	if _, ok := k.tombs[c.Token]; ok {
		return Reply{Status: Released, Epoch: g.active}
	}
	// A record without claims may hold slots only, while a claim of the id was dropped by the keeper it came from, so
	// the fence applies to it too.
	if s := k.admits(now, g, c.ID, r, key); s != Granted {
		return Reply{Status: s, Epoch: g.active}
	}
	if r == nil {
		r = k.insert(now, g, c.ID, key)
	}
	r.holders = []holder{{c.Token, c.Digest, c.Epoch}}
	return Reply{Status: Granted, Epoch: g.active}
}

// reply tells what the record says about a claim.
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

// serves reports Granted when the keeper may decide for the epoch.
func (k *Keeper) serves(now Instant, g *group, epoch uint64) Status {
	if g == nil || g.active == 0 || g.active != epoch {
		return WrongEpoch
	}
	if k.ConfirmWithin > 0 && now.Elapsed-k.confirmed >= k.ConfirmWithin {
		return Unconfirmed
	}
	return Granted
}

// admits reports Granted when a claim or slots of the id may be added to r; r is nil when there is no record.
func (k *Keeper) admits(now Instant, g *group, id ID, r *record, key string) Status {
	switch {
	case id.created <= g.fence:
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

// Completion tells that the token's run ended with the answer; only the token that won the claim may send it.
type Completion struct {
	ID     ID
	Digest Digest
	Token  Token
	Answer Answer
}

// Complete stores the answer; it is taken in every group epoch, also before a hand-over.
// The result is Done when stored, WrongEpoch when this keeper no longer serves the group and the present members must
// be told as well, and TooOld or Full when it was not stored.
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
		if s := k.admits(now, g, c.ID, nil, key); s != Granted {
			return s
		}
		r = k.insert(now, g, c.ID, key)
	}
	if !r.done {
		// The token won a majority, so every other holder lost and never runs.
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
	if len(a.Body) > MaxAnswerBytes || k.bytes+int64(len(a.Body)) > k.maxBytes()/answerShare {
		a.Body, a.Omitted = nil, true
	}
	a.Body = slices.Clone(a.Body)
	r.answer = a
	size := int64(len(a.Body) + len(a.ContentType) + len(a.Runner.Node) + len(a.Runner.Incarnation) + len(a.Runner.Address))
	r.size += size
	k.bytes += size
}

// Release gives up a claim whose token never ran and never will; it is taken in every group epoch.
// The result is Released, or WrongEpoch when the present members must be told as well.
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
	if k.tombs == nil {
		k.tombs = make(map[Token]struct{})
	}
	if _, ok := k.tombs[t]; ok || t == 0 {
		return
	}
	if len(k.tombOrder) < maxTombstones {
		k.tombOrder = append(k.tombOrder, t)
	} else {
		delete(k.tombs, k.tombOrder[k.tombNext])
		k.tombOrder[k.tombNext] = t
		k.tombNext = (k.tombNext + 1) % maxTombstones
	}
	k.tombs[t] = struct{}{}
}

// Take asks for retry slots of an id; Slots is floor(R/2) of the request's kind.
type Take struct {
	ID    ID
	Token Token
	Epoch uint64
	Slots int
	Want  int
}

// Take gives the token up to Want free slots and returns the set of slots that it holds, as bits.
// Each slot is a claim of its own: it is won when a majority of keepers gave it to the same token.
func (k *Keeper) Take(now Instant, t Take) (Status, uint64) {
	g := k.groups[t.ID.Group()]
	if s := k.serves(now, g, t.Epoch); s != Granted {
		return s, 0
	}
	if t.Token == 0 || t.Slots < 0 || t.Slots > MaxSlots {
		return BadMessage, 0
	}
	key := t.ID.String()
	r := g.records[key]
	if s := k.admits(now, g, t.ID, r, key); s != Granted {
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
