package crrecord

import (
	"cmp"
	"slices"
	"time"
)

// maxKnown bounds the memberships that a keeper remembers without having taken over their records.
const maxKnown = 8

// group is the state of one keeper group at this keeper.
type group struct {
	// active is the epoch in which claims are granted, or zero.
	active uint64
	// complete is the highest epoch whose records were taken over in full.
	complete uint64
	// promised is the highest epoch heard of; no lower one is granted any more.
	promised uint64
	// fence is the creation time up to which records may have been dropped.
	fence int64
	// known are memberships above complete, oldest first.
	known   []Group
	records map[string]*record
	// first and last are the oldest and the newest record.
	first, last *record
}

func (g *group) knownEpoch() uint64 {
	if g == nil {
		return 0
	}
	return g.promised
}

// current reports whether the keeper serves the newest epoch or will after its hand-over.
func (g *group) current() bool {
	return g.active == g.promised || len(g.known) > 0 && g.known[len(g.known)-1].Epoch == g.promised
}

func (k *Keeper) group(number uint32) *group {
	g := k.groups[number]
	if g == nil {
		g = &group{records: make(map[string]*record), fence: -1}
		if k.groups == nil {
			k.groups = make(map[uint32]*group)
		}
		k.groups[number] = g
	}
	return g
}

// promise refuses every epoch below e from now on.
func (g *group) promise(e uint64) {
	g.promised = max(g.promised, e)
	if g.active < g.promised {
		g.active = 0
	}
}

// Configure tells the keeper the configured membership of a group; it reports whether a hand-over is due, which the
// caller does with a Reconfiguration and ends with Install.
func (k *Keeper) Configure(cfg Group) bool {
	if cfg.Number >= Groups || cfg.Epoch == 0 {
		return false
	}
	member := cfg.Has(k.Self)
	if !member && k.groups[cfg.Number] == nil {
		return false
	}
	g := k.group(cfg.Number)
	g.promise(cfg.Epoch)
	if !member || g.complete >= cfg.Epoch {
		return false
	}
	g.learn(cfg)
	return cfg.Epoch == g.promised
}

// learn remembers a membership whose records were not taken over, for the keepers of later epochs.
func (g *group) learn(cfg Group) {
	i, ok := slices.BinarySearchFunc(g.known, cfg.Epoch, func(o Group, e uint64) int { return cmp.Compare(o.Epoch, e) })
	if ok {
		return
	}
	g.known = slices.Insert(g.known, i, cfg)
	if len(g.known) > maxKnown {
		g.known = g.known[1:]
	}
}

// Epoch returns the group epoch in which this keeper grants, or zero.
func (k *Keeper) Epoch(number uint32) uint64 {
	if g := k.groups[number]; g != nil {
		return g.active
	}
	return 0
}

// HeldRecord is one record as it is handed over.
type HeldRecord struct {
	ID    ID
	Age   time.Duration
	Claim []HeldClaim
	// Done is set when the request ran with Answer.
	Done   bool
	Answer Answer
	Slots  []Token
}

// HeldClaim is a claim that may have run.
type HeldClaim struct {
	Token  Token
	Digest Digest
	Epoch  uint64
}

// Handover is what a sealed keeper passes on.
type Handover struct {
	// Complete is set when the records cover the sealed epoch and all before it.
	Complete bool
	// Known is the membership of the sealed epoch when the keeper never took over its records.
	Known   *Group
	FenceMS int64
	Records []HeldRecord
}

// Seal ends grants below the epoch next and returns the records for the members of next; epoch is the sealed one.
// The caller has checked that the message is meant for this incarnation.
func (k *Keeper) Seal(now Instant, number uint32, epoch, next uint64) (Handover, bool) {
	if number >= Groups || epoch >= next {
		return Handover{}, false
	}
	g := k.group(number)
	g.promise(next)
	out := Handover{Complete: g.complete >= epoch, FenceMS: g.fence}
	for i := range g.known {
		if g.known[i].Epoch == epoch && !out.Complete {
			known := g.known[i]
			out.Known = &known
		}
	}
	out.Records = make([]HeldRecord, 0, len(g.records))
	for r := g.first; r != nil; r = r.next {
		id, err := ParseID(r.id)
		if err != nil {
			continue
		}
		h := HeldRecord{ID: id, Age: now.Elapsed - r.at, Done: r.done, Answer: r.answer, Slots: slices.Clone(r.slots)}
		for _, c := range r.holders {
			h.Claim = append(h.Claim, HeldClaim{c.token, c.digest, c.epoch})
		}
		out.Records = append(out.Records, h)
	}
	return out, true
}

// Install ends the hand-over into cfg's epoch with the records that its Reconfiguration collected.
// Records are taken over even above the memory bounds; answers are left out instead.
// It reports whether the keeper grants in that epoch now.
func (k *Keeper) Install(now Instant, cfg Group, handovers []Handover) bool {
	if cfg.Number >= Groups || !cfg.Has(k.Self) {
		return false
	}
	g := k.group(cfg.Number)
	if g.complete >= cfg.Epoch {
		return g.active == cfg.Epoch
	}
	g.promise(cfg.Epoch)
	g.fence = max(g.fence, cfg.FenceMS)
	for _, h := range handovers {
		g.fence = max(g.fence, h.FenceMS)
		for i := range h.Records {
			k.merge(now, g, &h.Records[i])
		}
	}
	g.relink()
	g.complete = cfg.Epoch
	g.known = slices.DeleteFunc(g.known, func(o Group) bool { return o.Epoch <= cfg.Epoch })
	if g.promised > cfg.Epoch {
		return false
	}
	g.active = cfg.Epoch
	return true
}

// merge adds what another keeper knows of one id; a run that ended wins, claims that may have run add up.
func (k *Keeper) merge(now Instant, g *group, h *HeldRecord) {
	claims := slices.DeleteFunc(slices.Clone(h.Claim), func(c HeldClaim) bool {
		_, released := k.tombs[c.Token]
		return released && !h.Done
	})
	if h.ID.Group() >= Groups || len(claims) == 0 && !h.Done && len(h.Slots) == 0 {
		return
	}
	key := h.ID.String()
	r := g.records[key]
	if r == nil {
		r = k.insert(now, g, h.ID, key)
		r.at = now.Elapsed - h.Age
	}
	r.at = max(r.at, now.Elapsed-h.Age)
	k.growSlots(r, len(h.Slots))
	for i, s := range h.Slots {
		switch {
		case r.slots[i] == 0:
			r.slots[i] = s
		case s != 0 && s != r.slots[i]:
			// Either token may have won the slot; no token has this value, so nobody is given it again.
			r.slots[i] = ^Token(0)
		}
	}
	if r.done {
		return
	}
	if h.Done {
		r.holders = r.holders[:0]
	}
	for _, c := range claims {
		if !slices.ContainsFunc(r.holders, func(o holder) bool { return o.token == c.Token }) {
			r.holders = append(r.holders, holder{c.Token, c.Digest, c.Epoch})
		}
	}
	if h.Done {
		k.storeAnswer(r, h.Answer)
	}
}

// relink orders the list by age after records of other keepers were added.
func (g *group) relink() {
	all := make([]*record, 0, len(g.records))
	for _, r := range g.records {
		all = append(all, r)
	}
	slices.SortFunc(all, func(a, b *record) int { return cmp.Compare(a.at, b.at) })
	g.first, g.last = nil, nil
	for _, r := range all {
		r.prev, r.next = nil, nil
		g.push(r)
	}
}

// Expire drops records older than Lifetime, raises the fence to their creation times and returns how many it dropped.
func (k *Keeper) Expire(now Instant) int {
	n := 0
	for _, g := range k.groups {
		for g.first != nil && now.Elapsed-g.first.at >= Lifetime {
			g.fence = max(g.fence, g.first.created)
			k.remove(g, g.first)
			n++
		}
	}
	return n
}

func (k *Keeper) insert(now Instant, g *group, id ID, key string) *record {
	r := &record{id: key, created: id.created, at: now.Elapsed, size: recordOverhead + int64(len(key))}
	g.records[key] = r
	g.push(r)
	k.records++
	k.bytes += r.size
	return r
}

func (g *group) push(r *record) {
	r.prev = g.last
	if g.last != nil {
		g.last.next = r
	} else {
		g.first = r
	}
	g.last = r
}

func (k *Keeper) remove(g *group, r *record) {
	if r.prev != nil {
		r.prev.next = r.next
	} else {
		g.first = r.next
	}
	if r.next != nil {
		r.next.prev = r.prev
	} else {
		g.last = r.prev
	}
	delete(g.records, r.id)
	k.records--
	k.bytes -= r.size
}
