// Package crkeeper runs the at-most-once records of pkg/crrecord on a node. It contains the keeper, the node that stores the
// request ids of its groups, with its RPC handlers, expiry and hand-overs between groups' members, and the client with which
// a gate claims, completes and releases requests.
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

// RPC methods between nodes.
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
	// expirePeriod is the interval between removals of expired records.
	expirePeriod = time.Second
	// sealRetryPeriod is how long a hand-over waits before it sends another seal request to members that haven't
	// answered.
	sealRetryPeriod = 50 * time.Millisecond
	// sealTimeout limits one attempt to fetch a member's records, at most 48 MiB. With a member that doesn't respond the
	// attempt ends within 2 s, because the session ends.
	sealTimeout = 15 * time.Second
	// maxParallelHandOvers bounds the number of concurrent hand-overs, since each holds a copy of its group's records.
	maxParallelHandOvers = 64
	// handoverPartBytes is the size at which a part of a hand-over is sent; it is well below the limit of an envelope.
	handoverPartBytes = 512 << 10
)

// Groups is the configured table of keeper groups.
type Groups interface {
	// Group returns the latest known membership of a group.
	Group(number uint32) (crrecord.Group, bool)
}

// Clock returns the current time.
type Clock func() crrecord.Instant

// NewClock returns a clock that counts from now and continues while the machine is suspended. A confirmation from before a
// suspension must not let a keeper grant claims afterwards.
func NewClock() Clock {
	start := crclock.Now()
	return func() crrecord.Instant {
		return crrecord.Instant{Elapsed: crclock.Since(start), UnixMS: time.Now().UnixMilli()}
	}
}

// Keeper serves the records that this node stores for its groups. Set the exported fields, call Register before the first
// session, then Run.
type Keeper struct {
	// Core holds the records; its Self names this node. Only the Keeper may use it while the Keeper runs.
	Core *crrecord.Keeper
	// Endpoint connects to the previous members of a group.
	Endpoint *crwire.Endpoint
	// Now is the clock of the RPC handlers and background tasks.
	Now Clock

	mu      sync.Mutex
	pending map[uint32]*crrecord.Reconfiguration
	running map[*crrecord.Reconfiguration]bool
	// failedEpochs holds, by group, the epoch of the last hand-over that failed; other hand-overs start before its retry.
	failedEpochs map[uint32]uint64
	wake         chan struct{}
}

// withCore runs fn on the core while holding the lock.
func (k *Keeper) withCore(fn func(core *crrecord.Keeper)) {
	k.mu.Lock()
	defer k.mu.Unlock()
	fn(k.Core)
}

// Stats returns the statistics of the stored records and the number of groups with an unfinished hand-over.
func (k *Keeper) Stats() (s crrecord.Stats, pending int) {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.Core.Stats(), len(k.pending)
}

// RecordConfirmation records that the configuration was confirmed. now must be a time before the confirmation was requested, since a
// delayed confirmation says nothing about the time of its arrival.
func (k *Keeper) RecordConfirmation(now crrecord.Instant) {
	k.withCore(func(core *crrecord.Keeper) { core.Confirm(now) })
}

// UpdateGroups sets the membership of changed groups; the hand-overs that this needs run in the background.
func (k *Keeper) UpdateGroups(groups []crrecord.Group) {
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
	case k.wakeChanLocked() <- struct{}{}:
	default:
	}
}

func (k *Keeper) wakeChanLocked() chan struct{} {
	if k.wake == nil {
		k.wake = make(chan struct{}, 1)
	}
	return k.wake
}

// Run removes expired records and runs hand-overs until ctx ends.
func (k *Keeper) Run(ctx context.Context) {
	var wg sync.WaitGroup
	wg.Add(2)
	go func() {
		defer wg.Done()
		k.runExpiry(ctx)
	}()
	go func() {
		defer wg.Done()
		k.runHandOvers(ctx)
	}()
	wg.Wait()
}

func (k *Keeper) runExpiry(ctx context.Context) {
	tick := time.NewTicker(expirePeriod)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			now := k.Now()
			k.withCore(func(core *crrecord.Keeper) { core.Expire(now) })
		}
	}
}

// runHandOvers runs the hand-over of each pending group and repeats it until it succeeds.
func (k *Keeper) runHandOvers(ctx context.Context) {
	k.mu.Lock()
	wake := k.wakeChanLocked()
	k.mu.Unlock()
	tick := time.NewTicker(sealRetryPeriod)
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
		for _, r := range k.takeDueHandOvers() {
			wg.Add(1)
			go func() {
				defer wg.Done()
				k.handOver(ctx, r)
				k.handOverEnded(r)
			}()
		}
	}
}

// handOverEnded removes a hand-over from the running ones and notes whether it failed. After a success it wakes
// runHandOvers without waiting for the next tick, since claims in a group fail until its hand-over is done.
func (k *Keeper) handOverEnded(r *crrecord.Reconfiguration) {
	k.mu.Lock()
	defer k.mu.Unlock()
	delete(k.running, r)
	if k.pending[r.Group().Number] == r {
		if k.failedEpochs == nil {
			k.failedEpochs = make(map[uint32]uint64)
		}
		k.failedEpochs[r.Group().Number] = r.Group().Epoch
		return
	}
	select {
	case k.wakeChanLocked() <- struct{}{}:
	default:
	}
}

// takeDueHandOvers returns the hand-overs to start now and marks them as running. They run in parallel, so that one with
// an unreachable member doesn't delay the others. All members process the groups in the same order, so that little time
// passes between the first seal and the last installation of a group.
func (k *Keeper) takeDueHandOvers() []*crrecord.Reconfiguration {
	k.mu.Lock()
	defer k.mu.Unlock()
	var out []*crrecord.Reconfiguration
	numbers := slices.SortedFunc(maps.Keys(k.pending), func(a, b uint32) int {
		return cmp.Or(k.retryRank(a)-k.retryRank(b), cmp.Compare(a, b))
	})
	for _, number := range numbers {
		r := k.pending[number]
		if len(k.running) >= maxParallelHandOvers {
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

// retryRank returns 1 for a group whose current hand-over has failed before, else 0. The caller must hold the lock.
func (k *Keeper) retryRank(number uint32) int {
	if k.failedEpochs[number] == k.pending[number].Group().Epoch {
		return 1
	}
	return 0
}

type sealResult struct {
	target   crrecord.Target
	handover crrecord.Handover
	err      error
}

// handOver sends one seal request to every target that hasn't answered and installs the records as soon as enough targets
// have answered.
func (k *Keeper) handOver(ctx context.Context, r *crrecord.Reconfiguration) {
	if k.installIfReady(r) {
		return
	}
	targets := r.Targets()
	ctx, cancel := context.WithTimeout(ctx, sealTimeout)
	defer cancel()
	results := make(chan sealResult, len(targets))
	for _, t := range targets {
		go func() {
			out, err := k.seal(ctx, r.Group().Number, t)
			results <- sealResult{t, out, err}
		}()
	}
	for range targets {
		s := <-results
		if s.err != nil {
			continue
		}
		// onState reads the hand-over concurrently, so the update needs the lock.
		k.withCore(func(*crrecord.Keeper) { r.AddHandover(s.target, s.handover) })
		if k.installIfReady(r) {
			// Cancels the remaining calls, whose results are not needed.
			cancel()
		}
	}
}

// installIfReady installs the records when enough targets have answered, and reports whether that was so.
func (k *Keeper) installIfReady(r *crrecord.Reconfiguration) bool {
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

// seal seals the group at one previous member and returns its records; for this node it calls the core directly.
func (k *Keeper) seal(ctx context.Context, number uint32, t crrecord.Target) (crrecord.Handover, error) {
	if t.Member.Same(k.Core.Self) {
		now := k.Now()
		var (
			out crrecord.Handover
			ok  bool
		)
		k.withCore(func(core *crrecord.Keeper) { out, ok = core.Seal(now, number, t.Epoch, t.Next) })
		if !ok {
			return out, crcode.New(crcode.MalformedMessage, "group %d epoch %d", number, t.Epoch)
		}
		return out, nil
	}
	s, err := memberSession(ctx, k.Endpoint, t.Member)
	if err != nil {
		return crrecord.Handover{}, err
	}
	req := &crwire.RecordSeal{TargetIncarnation: t.Member.Incarnation, Number: number, GroupEpoch: t.Epoch, Next: t.Next}
	return fetchHandover(ctx, s, req)
}
