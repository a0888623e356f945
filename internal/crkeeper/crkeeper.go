// Package crkeeper drives the at-most-once records of pkg/crrecord on a node: the keeper's handlers, expiry and group
// changes, and the client through which a gate claims, completes and releases requests.
package crkeeper

import (
	"cmp"
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/citronramp/citronramp/internal/crwire"
	"github.com/citronramp/citronramp/pkg/crclock"
	"github.com/citronramp/citronramp/pkg/crcode"
	"github.com/citronramp/citronramp/pkg/crrecord"
)

// Names of the methods between nodes.
const (
	methodClaim    = "record.claim"
	methodComplete = "record.complete"
	methodRelease  = "record.release"
	methodTake     = "record.take"
	methodSeal     = "record.seal"
	methodAnswer   = "record.answer"
	methodState    = "record.state"
)

const (
	// expirePeriod is how often old records are dropped.
	expirePeriod = time.Second
	// sealPeriod is how long a hand-over waits before it asks the missing members again.
	sealPeriod = 50 * time.Millisecond
	// sealTimeout bounds one attempt to fetch a member's records, at most 48 MiB; a silent member ends it within 2 s,
	// since its session ends.
	sealTimeout = 15 * time.Second
	// sealParallel bounds the groups that change at once, since each holds a copy of its records.
	sealParallel = 64
	// handoverPartBytes bounds one part of a hand-over well below the bound of an envelope.
	handoverPartBytes = 512 << 10
)

// Groups is the configured group table.
type Groups interface {
	// Group returns the newest known membership of a group.
	Group(number uint32) (crrecord.Group, bool)
}

// Clock returns the present time.
type Clock func() crrecord.Instant

// NewClock returns a clock that counts from now, also while the machine is suspended: what a keeper was told before its machine
// slept must not let it grant claims afterwards.
func NewClock() Clock {
	start := crclock.Now()
	return func() crrecord.Instant {
		return crrecord.Instant{Elapsed: crclock.Since(start), UnixMS: time.Now().UnixMilli()}
	}
}

// Keeper serves the records of this node. Set the exported fields, call Register before the first session, then Run.
type Keeper struct {
	// Core holds the records; its Self names this node. Nobody else may use it while the keeper lives.
	Core *crrecord.Keeper
	// Endpoint reaches the previous members of a group.
	Endpoint *crwire.Endpoint
	// Now is the clock of handlers and duties.
	Now Clock

	mu      sync.Mutex
	pending map[uint32]*crrecord.Reconfiguration
	running map[*crrecord.Reconfiguration]bool
	// late holds the epochs of groups whose hand-over was tried in vain; they give way to the others.
	late map[uint32]uint64
	wake chan struct{}
}

// with runs fn on the records.
func (k *Keeper) with(fn func(core *crrecord.Keeper)) {
	k.mu.Lock()
	defer k.mu.Unlock()
	fn(k.Core)
}

// Stats returns what the keeper holds, and the number of groups whose hand-over is not done.
func (k *Keeper) Stats() (s crrecord.Stats, pending int) {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.Core.Stats(), len(k.pending)
}

// Confirm tells that the configuration was confirmed; now is the time before the confirmation was asked for, since an
// answer that arrives late says nothing about the time of its arrival.
func (k *Keeper) Confirm(now crrecord.Instant) {
	k.with(func(core *crrecord.Keeper) { core.Confirm(now) })
}

// Configure tells the keeper the membership of groups that changed; hand-overs run in the background.
func (k *Keeper) Configure(groups []crrecord.Group) {
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, g := range groups {
		if k.Core.Configure(g) {
			if old := k.pending[g.Number]; old == nil || old.Group().Epoch < g.Epoch {
				if k.pending == nil {
					k.pending = make(map[uint32]*crrecord.Reconfiguration)
				}
				k.pending[g.Number] = crrecord.NewReconfiguration(g)
			}
			continue
		}
		if old := k.pending[g.Number]; old != nil && old.Group().Epoch < g.Epoch {
			delete(k.pending, g.Number)
		}
	}
	select {
	case k.wakeLocked() <- struct{}{}:
	default:
	}
}

func (k *Keeper) wakeLocked() chan struct{} {
	if k.wake == nil {
		k.wake = make(chan struct{}, 1)
	}
	return k.wake
}

// Run expires records and changes groups until ctx ends.
func (k *Keeper) Run(ctx context.Context) {
	var wg sync.WaitGroup
	wg.Add(2)
	go func() {
		defer wg.Done()
		k.expire(ctx)
	}()
	go func() {
		defer wg.Done()
		k.change(ctx)
	}()
	wg.Wait()
}

func (k *Keeper) expire(ctx context.Context) {
	tick := time.NewTicker(expirePeriod)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			now := k.Now()
			k.with(func(core *crrecord.Keeper) { core.Expire(now) })
		}
	}
}

// change starts the hand-over of each pending group, and starts it again until it is done.
func (k *Keeper) change(ctx context.Context) {
	k.mu.Lock()
	wake := k.wakeLocked()
	k.mu.Unlock()
	tick := time.NewTicker(sealPeriod)
	defer tick.Stop()
	var wg sync.WaitGroup
	defer wg.Wait()
	for {
		select {
		case <-ctx.Done():
			return
		case <-wake:
		case <-tick.C:
		}
		for _, r := range k.due() {
			wg.Add(1)
			go func() {
				defer wg.Done()
				k.handOver(ctx, r)
				k.ended(r)
			}()
		}
	}
}

// ended makes room for another hand-over; after one that is done, the next ones start without waiting for their turn,
// since claims of a group fail until its hand-over is done.
func (k *Keeper) ended(r *crrecord.Reconfiguration) {
	k.mu.Lock()
	defer k.mu.Unlock()
	delete(k.running, r)
	if k.pending[r.Group().Number] == r {
		if k.late == nil {
			k.late = make(map[uint32]uint64)
		}
		k.late[r.Group().Number] = r.Group().Epoch
		return
	}
	select {
	case k.wakeLocked() <- struct{}{}:
	default:
	}
}

// due returns the hand-overs to start now, so that one with an unreachable member delays no other. All members take the
// groups in the same order, so that the time between the first seal and the last installation of a group is short.
func (k *Keeper) due() []*crrecord.Reconfiguration {
	k.mu.Lock()
	defer k.mu.Unlock()
	var out []*crrecord.Reconfiguration
	numbers := slices.SortedFunc(maps.Keys(k.pending), func(a, b uint32) int {
		return cmp.Or(k.lateness(a)-k.lateness(b), cmp.Compare(a, b))
	})
	for _, number := range numbers {
		r := k.pending[number]
		if len(k.running) >= sealParallel {
			break
		}
		if !k.running[r] {
			if k.running == nil {
				k.running = make(map[*crrecord.Reconfiguration]bool)
			}
			k.running[r] = true
			out = append(out, r)
		}
	}
	return out
}

// lateness is 1 for a group whose present hand-over was tried in vain; the caller holds the lock.
func (k *Keeper) lateness(number uint32) int {
	if k.late[number] == k.pending[number].Group().Epoch {
		return 1
	}
	return 0
}

type sealed struct {
	target crrecord.Target
	out    crrecord.Handover
	err    error
}

// handOver asks every missing target once and installs the records as soon as enough have answered.
func (k *Keeper) handOver(ctx context.Context, r *crrecord.Reconfiguration) {
	if k.install(r) {
		return
	}
	targets := r.Targets()
	ctx, cancel := context.WithTimeout(ctx, sealTimeout)
	defer cancel()
	results := make(chan sealed, len(targets))
	for _, t := range targets {
		go func() {
			out, err := k.seal(ctx, r.Group().Number, t)
			results <- sealed{t, out, err}
		}()
	}
	for range targets {
		s := <-results
		if s.err != nil {
			continue
		}
		// The lock is for onState, which reads the hand-over.
		k.with(func(*crrecord.Keeper) { r.Sealed(s.target, s.out) })
		if k.install(r) {
			// The remaining calls end soon, since their context is cancelled; their results are not needed.
			cancel()
		}
	}
}

// install ends the hand-over when it is ready.
func (k *Keeper) install(r *crrecord.Reconfiguration) bool {
	handovers, ready := r.Ready()
	if !ready {
		return false
	}
	now := k.Now()
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.pending[r.Group().Number] == r {
		k.Core.Install(now, r.Group(), handovers)
		delete(k.pending, r.Group().Number)
	}
	return true
}

// seal seals one previous member, this node without the network.
func (k *Keeper) seal(ctx context.Context, number uint32, t crrecord.Target) (crrecord.Handover, error) {
	if t.Member.Same(k.Core.Self) {
		now := k.Now()
		var (
			out crrecord.Handover
			ok  bool
		)
		k.with(func(core *crrecord.Keeper) { out, ok = core.Seal(now, number, t.Epoch, t.Next) })
		if !ok {
			return out, crcode.New(crcode.MalformedMessage, "group %d epoch %d", number, t.Epoch)
		}
		return out, nil
	}
	s, err := reach(ctx, k.Endpoint, t.Member)
	if err != nil {
		return crrecord.Handover{}, err
	}
	req := &crwire.RecordSeal{TargetIncarnation: t.Member.Incarnation, Number: number, GroupEpoch: t.Epoch, Next: t.Next}
	return fetch(ctx, s, req)
}
