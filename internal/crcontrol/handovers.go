package crcontrol

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/go-kit/log/level"

	"github.com/citronramp/citronramp/internal/crkeeper"
	"github.com/citronramp/citronramp/pkg/crrecord"
)

const (
	// stateQueryTimeout bounds one round of queries, so that an unresponsive keeper does not delay the replacement of
	// others.
	stateQueryTimeout = time.Second
	// maxQueriedKeepers bounds the keepers queried in one round; the remaining ones are queried in later rounds.
	maxQueriedKeepers = 64
)

// handoverTracker tracks on the leader which keeper groups still wait for records to be handed over from their previous
// members. Only observations of the current group epochs count.
type handoverTracker struct {
	watch crrecord.HandoverMonitor
	// startedAt is the time of the first observation; the watch counts time from it.
	startedAt time.Time
	// nextGroup is the number of the group with which the next round of queries starts.
	nextGroup uint32
}

// observeHandovers queries the live members of groups that have not reported completing their hand-over of records. It
// returns the groups whose hand-over cannot complete.
func (c *Control) observeHandovers(ctx context.Context, groups []crrecord.Group, live []crrecord.Candidate) map[uint32]uint64 {
	h := &c.handovers
	if h.startedAt.IsZero() {
		h.startedAt = time.Now()
	}
	h.watch.Observe(time.Since(h.startedAt), groups)
	ctx, cancel := context.WithTimeout(ctx, stateQueryTimeout)
	defer cancel()
	var (
		mu sync.Mutex
		wg sync.WaitGroup
	)
	for m, numbers := range h.groupsByKeeper(live) {
		wg.Add(1)
		go func() {
			defer wg.Done()
			states, err := crkeeper.HandOverStates(ctx, c.endpoint, m, numbers)
			if err != nil {
				c.Counters.Add("keeper_states_failed", 1)
				return
			}
			mu.Lock()
			defer mu.Unlock()
			for _, s := range states {
				h.watch.AddReport(m, s)
			}
		}()
	}
	wg.Wait()
	stuck := h.watch.Stuck(time.Since(h.startedAt), live)
	if len(stuck) > 0 {
		c.Counters.Add("keeper_groups_stuck", int64(len(stuck)))
		_ = level.Info(c.Logger).Log("msg", "keeper groups whose record hand-over cannot complete", "groups", len(stuck))
	}
	return stuck
}

// groupsByKeeper returns for each live keeper the groups to query it about. If there are more keepers than one round may
// query, the next round starts with the first group left out.
func (h *handoverTracker) groupsByKeeper(live []crrecord.Candidate) map[crrecord.Member][]uint32 {
	unstarted := h.watch.Unstarted()
	numbers := slices.Sorted(maps.Keys(unstarted))
	first, _ := slices.BinarySearch(numbers, h.nextGroup)
	alive := make(map[crrecord.Member]bool, len(live))
	for _, l := range live {
		alive[l.Member] = true
	}
	out := make(map[crrecord.Member][]uint32)
	for i := range numbers {
		n := numbers[(first+i)%len(numbers)]
		if len(out)+crrecord.GroupSize > maxQueriedKeepers {
			h.nextGroup = n
			break
		}
		for _, m := range unstarted[n].Members {
			if alive[m] {
				out[m] = append(out[m], n)
			}
		}
	}
	return out
}
