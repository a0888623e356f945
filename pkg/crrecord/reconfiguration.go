package crrecord

import "slices"

// Target is a keeper to seal: the member, the epoch to seal and the next epoch, which replaces it.
type Target struct {
	Member Member
	Epoch  uint64
	Next   uint64
}

// Reconfiguration collects the hand-over that one member needs before it grants claims in a new group epoch. It is
// ready when a majority of the previous members is sealed and one of them has complete records. If none has, the
// previous epoch never granted a claim, and the members of the epoch before it are sealed as well.
type Reconfiguration struct {
	cfg       Group
	sealing   Group
	answered  []bool
	complete  bool
	ready     bool
	handovers []Handover
}

// NewReconfiguration returns the hand-over into cfg's epoch. It is ready at once if cfg has no previous members or has
// a fence.
func NewReconfiguration(cfg Group) *Reconfiguration {
	r := &Reconfiguration{cfg: cfg}
	r.seal(cfg)
	return r
}

// seal starts to seal the previous members of g.
func (r *Reconfiguration) seal(g Group) {
	r.sealing = g
	r.complete = false
	r.answered = make([]bool, len(g.Previous))
	if len(g.Previous) == 0 || g.FenceMS != 0 {
		r.handovers = append(r.handovers, Handover{FenceMS: g.FenceMS})
		r.ready = true
	}
}

// Group returns the membership that the hand-over is for.
func (r *Reconfiguration) Group() Group { return r.cfg }

// Targets returns the keepers that have not replied yet.
func (r *Reconfiguration) Targets() []Target {
	if r.ready {
		return nil
	}
	var out []Target
	for i, m := range r.sealing.Previous {
		if !r.answered[i] {
			out = append(out, Target{Member: m, Epoch: r.sealing.Epoch - 1, Next: r.cfg.Epoch})
		}
	}
	return out
}

// PendingReplies returns how many of the targets must still reply, and the targets. The number is at least one until the
// hand-over is ready, since a majority without complete records and without the membership of their epoch is not
// sufficient.
func (r *Reconfiguration) PendingReplies() (int, []Target) {
	if r.ready {
		return 0, nil
	}
	targets := r.Targets()
	answered := len(r.answered) - len(targets)
	return max(1, Majority(len(r.answered))-answered), targets
}

// AddHandover adds the hand-over of one target; a repeated one is ignored.
func (r *Reconfiguration) AddHandover(t Target, h Handover) {
	i := indexOf(r.sealing.Previous, t.Member)
	if r.ready || i < 0 || r.answered[i] || t.Epoch != r.sealing.Epoch-1 || t.Next != r.cfg.Epoch {
		return
	}
	r.answered[i] = true
	r.handovers = append(r.handovers, h)
	r.complete = r.complete || h.Complete
	n := 0
	for _, a := range r.answered {
		if a {
			n++
		}
	}
	if n < Majority(len(r.answered)) {
		return
	}
	if r.complete {
		r.ready = true
		return
	}
	// No keeper of the sealed majority ever granted a claim in this epoch, so only earlier epochs can have granted
	// claims.
	for _, o := range slices.Backward(r.handovers) {
		if o.Known != nil && o.Known.Epoch == t.Epoch {
			r.seal(*o.Known)
			return
		}
	}
}

// Ready returns the collected hand-overs, and whether they are complete so that a keeper may install them.
func (r *Reconfiguration) Ready() ([]Handover, bool) { return r.handovers, r.ready }
