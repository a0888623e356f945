package crforward

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/citronramp/citronramp/internal/crcoord"
	"github.com/citronramp/citronramp/internal/crwire"
)

// Limits of the search for a coordinator.
const (
	// helloTimeout limits one hello exchange, in which a coordinator reports the members of the coordinator group.
	helloTimeout = time.Second
	// nextCandidateDelay is how long a coordinator may stay silent before the next one is tried in parallel. It is
	// several round trips within a region, and short compared with the 2 s within which a document must be in force.
	nextCandidateDelay = 100 * time.Millisecond
	// maxParallelHellos limits the parallel hello exchanges of one node, so that when the coordinators are slow not
	// every node sends a hello to every one of them.
	maxParallelHellos = 8
	// probeInterval is the time between hellos to further coordinators while the linked one is not confirmed. A document
	// must be in force within 2 s, in which this reaches every coordinator of a small group.
	probeInterval = 200 * time.Millisecond
)

// contact is a coordinator that has answered a hello.
type contact struct {
	address string
	session *crwire.Session
	view    *crwire.CoreView
}

// grade ranks how suitable a coordinator is for a link.
type grade int

const (
	gradeUnusable grade = iota
	// gradeNonMember is a coordinator outside the voting group: it serves the directory but receives no documents.
	gradeNonMember
	// gradeUnconfirmed is a voting member without contact to a leader.
	gradeUnconfirmed
	// gradeShared is a confirmed member that the other link uses.
	gradeShared
	gradeWanted
)

// helloResult is the result of one hello exchange.
type helloResult struct {
	contact contact
	grade   grade
}

// findCoordinator sends hellos to the addresses in order until a coordinator has the best grade; otherwise it returns
// the best of those that answered. A silent coordinator delays the next one by nextCandidateDelay only.
func findCoordinator(ctx context.Context, addresses []string, hello func(context.Context, string) (contact, grade)) (contact, bool) {
	var wg sync.WaitGroup
	defer wg.Wait()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	answers := make(chan helloResult, len(addresses))
	var best helloResult
	for started, pending := 0, 0; best.grade < gradeWanted && (started < len(addresses) || pending > 0); {
		if started < len(addresses) && pending < maxParallelHellos {
			a := addresses[started]
			wg.Go(func() {
				c, g := hello(ctx, a)
				answers <- helloResult{c, g}
			})
			started++
			pending++
		}
		turnCtx, stop := context.WithTimeout(ctx, nextCandidateDelay)
		select {
		case a := <-answers:
			pending--
			if a.grade > best.grade {
				best = a
			}
		case <-turnCtx.Done():
			if ctx.Err() != nil || started == len(addresses) && best.grade > gradeUnusable {
				stop()
				return best.contact, best.grade > gradeUnusable
			}
		}
		stop()
	}
	return best.contact, best.grade > gradeUnusable
}

// probe looks for a confirmed coordinator other than the linked one, as long as that one is not confirmed. It returns nil
// when ctx ends first. Unlike findCoordinator it does not settle for a coordinator that answers sooner.
func (n *Node) probe(ctx context.Context, linked string, link coordinatorLink, unconfirmed *atomic.Bool) *contact {
	var wg sync.WaitGroup
	defer wg.Wait()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	found := make(chan contact, 1)
	tick := time.NewTicker(probeInterval)
	defer tick.Stop()
	var round []string
	for {
		select {
		case c := <-found:
			if unconfirmed.Load() {
				return &c
			}
		case <-ctx.Done():
			return nil
		case now := <-tick.C:
			if !unconfirmed.Load() {
				continue
			}
			var address string
			if address, round = n.nextProbe(now, linked, round); address != "" {
				wg.Go(func() { n.probeOnce(ctx, address, link, found) })
			}
		}
	}
}

// nextProbe takes the next address from a round of probes, and starts a new round when none is left. The address is empty
// if only the linked coordinator is known.
func (n *Node) nextProbe(now time.Time, linked string, round []string) (string, []string) {
	if len(round) == 0 {
		round = slices.DeleteFunc(n.coordinators.candidates(now), func(a string) bool { return a == linked })
	}
	if len(round) == 0 {
		return "", nil
	}
	return round[0], round[1:]
}

// probeOnce passes on a coordinator if it is confirmed.
func (n *Node) probeOnce(ctx context.Context, address string, link coordinatorLink, found chan<- contact) {
	c, g := n.hello(ctx, address, link, false)
	if g != gradeWanted {
		return
	}
	select {
	case found <- c:
	default:
		// Another one has been found.
	}
}

// hello asks a coordinator for the members of the coordinator group and grades its answer.
func (n *Node) hello(ctx context.Context, address string, link coordinatorLink, acceptAny bool) (contact, grade) {
	if !link.carriesDirectory && n.coordinators.heldByOtherLink(address, link) {
		return contact{}, gradeUnusable
	}
	callCtx, cancel := context.WithTimeout(ctx, helloTimeout)
	defer cancel()
	c := contact{address: address}
	var err error
	if c.session, err = n.endpoint.Session(callCtx, address); err == nil {
		c.view, err = crwire.Call[crwire.CoreView](callCtx, c.session, crcoord.MethodHello, &crwire.CoreHello{Name: n.Settings.Name})
	}
	if err != nil {
		if ctx.Err() == nil {
			n.Counters.Add("coordinator_unreachable", 1)
			n.coordinators.unreachable(time.Now(), address)
		}
		return contact{}, gradeUnusable
	}
	n.coordinators.update(c.view.GetVoters(), c.view.GetOthers())
	return c, c.grade(n.coordinators.heldByOtherLink(address, link), acceptAny)
}

// grade ranks a coordinator that answered. held is set if the other link uses it, acceptAny if even a non-member is
// better than none.
func (c contact) grade(held, acceptAny bool) grade {
	switch {
	case c.view.GetConfirmed() && held:
		return gradeShared
	case c.view.GetConfirmed():
		return gradeWanted
	case slices.Contains(c.view.GetVoters(), c.address):
		return gradeUnconfirmed
	case acceptAny:
		return gradeNonMember
	default:
		return gradeUnusable
	}
}
