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
	// stateTimeout bounds a round of questions, so that a silent keeper does not delay the replacement of others.
	stateTimeout = time.Second
	// maxAsked bounds the keepers that are asked in one round; the others follow in the next ones.
	maxAsked = 64
)

// handovers is what the control instance in charge knows of hand-overs; only that of the present groups counts.
type handovers struct {
	watch crrecord.Watch
	base  time.Time
	// next is the group from which the next round asks.
	next uint32
}

// observeHandovers asks the members of groups that are not known to have started, and returns the groups whose hand-over
// can't end.
func (c *Control) observeHandovers(ctx context.Context, present []crrecord.Group, live []crrecord.Candidate) map[uint32]uint64 {
	h := &c.handovers
	if h.base.IsZero() {
		h.base = time.Now()
	}
	h.watch.Observe(time.Since(h.base), present)
	ctx, cancel := context.WithTimeout(ctx, stateTimeout)
	defer cancel()
	var (
		mu sync.Mutex
		wg sync.WaitGroup
	)
	for m, numbers := range h.questions(live) {
		wg.Add(1)
		go func() {
			defer wg.Done()
			states, err := crkeeper.States(ctx, c.endpoint, m, numbers)
			if err != nil {
				c.Counters.Add("keeper_states_failed", 1)
				return
			}
			mu.Lock()
			defer mu.Unlock()
			for _, s := range states {
				h.watch.Told(m, s)
			}
		}()
	}
	wg.Wait()
	stuck := h.watch.Stuck(time.Since(h.base), live)
	if len(stuck) > 0 {
		c.Counters.Add("keeper_groups_stuck", int64(len(stuck)))
		_ = level.Info(c.Logger).Log("msg", "hand-overs of records can't end", "groups", len(stuck))
	}
	return stuck
}

// questions returns the groups to ask of each live keeper, and goes on with another group each time.
func (h *handovers) questions(live []crrecord.Candidate) map[crrecord.Member][]uint32 {
	unstarted := h.watch.Unstarted()
	numbers := slices.Sorted(maps.Keys(unstarted))
	first, _ := slices.BinarySearch(numbers, h.next)
	alive := make(map[crrecord.Member]bool, len(live))
	for _, l := range live {
		alive[l.Member] = true
	}
	out := make(map[crrecord.Member][]uint32)
	for i := range numbers {
		n := numbers[(first+i)%len(numbers)]
		if len(out)+crrecord.GroupSize > maxAsked {
			h.next = n
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
