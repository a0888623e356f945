package crrecord

import (
	"cmp"
	"slices"
	"time"
)

// maxPending limits the stored memberships whose records have not been taken over.
const maxPending = 8

// group is the state of one keeper group at this keeper.
type group struct {
	// activeEpoch is the epoch in which claims are granted, or zero.
	activeEpoch uint64
	// completeEpoch is the highest epoch whose records were taken over completely.
	completeEpoch uint64
	// promisedEpoch is the highest epoch seen; claims of lower epochs are not granted any more.
	promisedEpoch uint64
	// fenceMS is the creation time up to which records may have been dropped.
	fenceMS int64
	// pending are the memberships of epochs above completeEpoch, oldest first.
	pending []Group
	records map[string]*record
	// first and last are the oldest and the newest record.
	first, last *record
}

func (g *group) newestEpoch() uint64 {
	if g == nil {
		return 0
	}
	return g.promisedEpoch
}

// current reports whether the keeper serves the newest epoch or will serve it after its hand-over.
func (g *group) current() bool {
	return g.activeEpoch == g.promisedEpoch || len(g.pending) > 0 && g.pending[len(g.pending)-1].Epoch == g.promisedEpoch
}

func (k *Keeper) group(number uint32) *group {
	g := k.groups[number]
	if g == nil {
		g = &group{records: make(map[string]*record), fenceMS: -1}
		if k.groups == nil {
			k.groups = make(map[uint32]*group)
		}
		k.groups[number] = g
	}
	return g
}

// promise refuses all epochs below e from now on.
func (g *group) promise(e uint64) {
	g.promisedEpoch = max(g.promisedEpoch, e)
	if g.activeEpoch < g.promisedEpoch {
		g.activeEpoch = 0
	}
}

// Configure sets the configured membership of a group. It reports whether a hand-over is required, which the caller
// performs with a Reconfiguration and completes with Install.
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
	if !member || g.completeEpoch >= cfg.Epoch {
		return false
	}
	g.addPending(cfg)
	return cfg.Epoch == g.promisedEpoch
}

// addPending stores a membership whose records were not taken over, for the keepers of later epochs.
func (g *group) addPending(cfg Group) {
	i, ok := slices.BinarySearchFunc(g.pending, cfg.Epoch, func(o Group, e uint64) int { return cmp.Compare(o.Epoch, e) })
	if ok {
		return
	}
	g.pending = slices.Insert(g.pending, i, cfg)
	if len(g.pending) > maxPending {
		g.pending = g.pending[1:]
	}
}

// ActiveEpoch returns the group epoch in which this keeper grants claims, or zero.
func (k *Keeper) ActiveEpoch(number uint32) uint64 {
	if g := k.groups[number]; g != nil {
		return g.activeEpoch
	}
	return 0
}

// HeldRecord is a record in a hand-over.
type HeldRecord struct {
	ID     ID
	Age    time.Duration
	Claims []HeldClaim
	// Done is set if the request ran with the result Answer.
	Done   bool
	Answer Answer
	Slots  []Token
}

// HeldClaim is a granted claim whose request may have run.
type HeldClaim struct {
	Token  Token
	Digest Digest
	Epoch  uint64
}

// Handover is the state that a sealed keeper sends to the members of the next epoch.
type Handover struct {
	// Complete is set if the records cover the sealed epoch and all epochs before it.
	Complete bool
	// Known is the membership of the sealed epoch if the keeper never took over its records.
	Known   *Group
	FenceMS int64
	Records []HeldRecord
}

// Seal stops grants in epochs below next and returns the records for the members of next; epoch is the sealed epoch.
// The caller must have checked that the message is addressed to this incarnation.
func (k *Keeper) Seal(now Instant, number uint32, epoch, next uint64) (Handover, bool) {
	if number >= Groups || epoch >= next {
		return Handover{}, false
	}
	g := k.group(number)
	g.promise(next)
	out := Handover{Complete: g.completeEpoch >= epoch, FenceMS: g.fenceMS}
	for i := range g.pending {
		if g.pending[i].Epoch == epoch && !out.Complete {
			known := g.pending[i]
			out.Known = &known
		}
	}
	out.Records = make([]HeldRecord, 0, len(g.records))
	for r := g.first; r != nil; r = r.next {
		id, err := ParseID(r.id)
		if err != nil {
			continue
		}
		h := HeldRecord{ID: id, Age: now.Elapsed - r.insertedAt, Done: r.done, Answer: r.answer, Slots: slices.Clone(r.slots)}
		for _, c := range r.holders {
			h.Claims = append(h.Claims, HeldClaim{c.token, c.digest, c.epoch})
		}
		out.Records = append(out.Records, h)
	}
	return out, true
}

// Install completes the hand-over into cfg's epoch with the records that its Reconfiguration collected. Records are
// taken over even beyond the memory limits; answer bodies are omitted instead. It reports whether the keeper now
// grants claims in that epoch.
func (k *Keeper) Install(now Instant, cfg Group, handovers []Handover) bool {
	if cfg.Number >= Groups || !cfg.Has(k.Self) {
		return false
	}
	g := k.group(cfg.Number)
	if g.completeEpoch >= cfg.Epoch {
		return g.activeEpoch == cfg.Epoch
	}
	g.promise(cfg.Epoch)
	g.fenceMS = max(g.fenceMS, cfg.FenceMS)
	for _, h := range handovers {
		g.fenceMS = max(g.fenceMS, h.FenceMS)
		for i := range h.Records {
			k.merge(now, g, &h.Records[i])
		}
	}
	g.relink()
	g.completeEpoch = cfg.Epoch
	g.pending = slices.DeleteFunc(g.pending, func(o Group) bool { return o.Epoch <= cfg.Epoch })
	if g.promisedEpoch > cfg.Epoch {
		return false
	}
	g.activeEpoch = cfg.Epoch
	return true
}

// merge adds another keeper's record of one id. A completed run takes precedence; claims that may have run are
// combined.
func (k *Keeper) merge(now Instant, g *group, h *HeldRecord) {
	claims := slices.DeleteFunc(slices.Clone(h.Claims), func(c HeldClaim) bool {
		_, released := k.tombstones[c.Token]
		return released && !h.Done
	})
	if h.ID.Group() >= Groups || len(claims) == 0 && !h.Done && len(h.Slots) == 0 {
		return
	}
	key := h.ID.String()
	r := g.records[key]
	if r == nil {
		r = k.insert(now, g, h.ID, key)
		r.insertedAt = now.Elapsed - h.Age
	}
	r.insertedAt = max(r.insertedAt, now.Elapsed-h.Age)
	k.growSlots(r, len(h.Slots))
	for i, s := range h.Slots {
		switch {
		case r.slots[i] == 0:
			r.slots[i] = s
		case s != 0 && s != r.slots[i]:
			// Either token may have won the slot. No request has this token value, so the slot is not assigned again.
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

// relink sorts the list by age after records of other keepers were added.
func (g *group) relink() {
	all := make([]*record, 0, len(g.records))
	for _, r := range g.records {
		all = append(all, r)
	}
	slices.SortFunc(all, func(a, b *record) int { return cmp.Compare(a.insertedAt, b.insertedAt) })
	g.first, g.last = nil, nil
	for _, r := range all {
		r.prev, r.next = nil, nil
		g.push(r)
	}
}

// Expire drops records older than Lifetime, raises the fence to their creation times and returns the number of dropped
// records.
func (k *Keeper) Expire(now Instant) int {
	n := 0
	for _, g := range k.groups {
		for g.first != nil && now.Elapsed-g.first.insertedAt >= Lifetime {
			g.fenceMS = max(g.fenceMS, g.first.createdMS)
			k.remove(g, g.first)
			n++
		}
	}
	return n
}

func (k *Keeper) insert(now Instant, g *group, id ID, key string) *record {
	r := &record{id: key, createdMS: id.created, insertedAt: now.Elapsed, size: recordOverhead + int64(len(key))}
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
