package crforward

import (
	"context"
	"io"
	"log"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/citronramp/citronramp/internal/crcoord"
	"github.com/citronramp/citronramp/internal/crdirectory"
	"github.com/citronramp/citronramp/internal/crevent"
	"github.com/citronramp/citronramp/internal/crpause"
	"github.com/citronramp/citronramp/internal/crwire"
)

// discardLog drops the errors that the HTTP servers log about single client connections.
var discardLog = log.New(io.Discard, "", 0)

// Timings of a node's links to coordinators.
const (
	// feedTimeout is how long a feed may be silent or unconfirmed before the node switches to another coordinator;
	// three messages are due in that time.
	feedTimeout = 3 * crcoord.FeedInterval
	// leaderlessTimeout is how long a node stays with a coordinator that has just lost contact to the leader. An
	// election takes up to 0.3 s from the end of the lease, plus some round trips.
	leaderlessTimeout = 700 * time.Millisecond
	// primaryRetryPause is the mean pause after all known coordinators failed. unconfiguredRetryPause applies to a
	// node that has no configuration yet and cannot serve.
	primaryRetryPause      = 300 * time.Millisecond
	unconfiguredRetryPause = 100 * time.Millisecond
	// failurePenaltyTime is how long a coordinator that failed is tried after the others.
	failurePenaltyTime = 5 * time.Second
	// acceptUnconfirmedAfter is how long a node looks for a confirmed feed before it accepts documents from a
	// coordinator without a leader.
	acceptUnconfirmedAfter = time.Second
)

// coordinators holds the known addresses of coordinators.
type coordinators struct {
	mu         sync.Mutex
	configured []string
	voters     []string
	others     []string
	// primary and secondary are the addresses that the two links use. failed holds when a coordinator was last
	// unreachable or lost.
	primary   string
	secondary string
	failed    map[string]time.Time
}

// claim assigns an address to a link and reports whether the link may use it. The secondary link may not use the
// address of the primary. The primary may use any: if one coordinator remains, that link must have it for the
// directory.
func (c *coordinators) claim(address string, link coordinatorLink) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case link.carriesDirectory:
		c.primary = address
	case address == c.primary:
		return false
	default:
		c.secondary = address
	}
	return true
}

// released records that a link to an address has ended.
func (c *coordinators) released(now time.Time, address string, link coordinatorLink) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if link.carriesDirectory {
		c.primary = ""
	} else {
		c.secondary = ""
	}
	c.markFailed(now, address)
}

// unreachable records that an address did not answer.
func (c *coordinators) unreachable(now time.Time, address string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.markFailed(now, address)
}

// markFailed ranks an address after the others for failurePenaltyTime. The caller holds the lock.
func (c *coordinators) markFailed(now time.Time, address string) {
	if c.failed == nil {
		c.failed = map[string]time.Time{}
	}
	c.failed[address] = now
}

// heldByOtherLink reports whether the other link uses the address.
func (c *coordinators) heldByOtherLink(address string, link coordinatorLink) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if link.carriesDirectory {
		return address == c.secondary
	}
	return address == c.primary
}

// linked returns the addresses that the two links use.
func (c *coordinators) linked() (out []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, a := range []string{c.primary, c.secondary} {
		if a != "" && !slices.Contains(out, a) {
			out = append(out, a)
		}
	}
	return out
}

// configure replaces the coordinators from the settings.
func (c *coordinators) configure(addresses []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.configured = slices.Clone(addresses)
}

func (c *coordinators) update(voters, others []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(voters) > 0 {
		c.voters = voters
	}
	if len(others) > 0 {
		c.others = others
	}
}

// candidates returns the addresses to try: voting members in random order, then all other known addresses. Those that
// failed recently or serve a link come last.
func (c *coordinators) candidates(now time.Time) []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	voters := slices.Clone(c.voters)
	rest := slices.Concat(c.configured, c.others)
	rand.Shuffle(len(voters), func(i, j int) { voters[i], voters[j] = voters[j], voters[i] })
	rand.Shuffle(len(rest), func(i, j int) { rest[i], rest[j] = rest[j], rest[i] })
	var out []string
	for _, a := range slices.Concat(voters, rest) {
		if !slices.Contains(out, a) {
			out = append(out, a)
		}
	}
	penalty := func(a string) (n int) {
		if t, ok := c.failed[a]; ok && now.Sub(t) < failurePenaltyTime {
			n++
		}
		if a == c.primary || a == c.secondary {
			n++
		}
		return n
	}
	slices.SortStableFunc(out, func(a, b string) int { return penalty(a) - penalty(b) })
	return out
}

// coordinatorLink describes one of the node's two links to the coordinators. They use different coordinators, so that
// the loss of one does not delay a document.
type coordinatorLink struct {
	name string
	// carriesDirectory is set if the link carries the directory in addition to documents.
	carriesDirectory bool
	// retryPause is the mean pause after all known coordinators failed.
	retryPause time.Duration
}

var (
	primaryLink   = coordinatorLink{name: "first", carriesDirectory: true, retryPause: primaryRetryPause}
	secondaryLink = coordinatorLink{name: "second", retryPause: 3 * primaryRetryPause}
)

// follow maintains a link until ctx ends.
func (n *Node) follow(ctx context.Context, link coordinatorLink) {
	lastConfirmed := time.Now()
	var next *contact
	for ctx.Err() == nil {
		c := next
		if c == nil {
			c = n.search(ctx, link, lastConfirmed)
		}
		next = nil
		if c != nil && n.coordinators.claim(c.address, link) {
			var confirmed bool
			if confirmed, next = n.followCoordinator(ctx, *c, link, lastConfirmed); confirmed {
				lastConfirmed = time.Now()
			}
			n.coordinators.released(time.Now(), c.address, link)
		}
		if next != nil {
			continue
		}
		pause := link.retryPause
		if n.table.Load() == nil {
			pause = unconfiguredRetryPause
		}
		// An error means that ctx has ended, which the loop condition checks.
		_ = crpause.For(ctx, pause/2+jitter(pause))
	}
}

// search returns the best coordinator that answers, or nil if none does; lastConfirmed is when the link was last
// confirmed.
func (n *Node) search(ctx context.Context, link coordinatorLink, lastConfirmed time.Time) *contact {
	acceptAny := time.Since(lastConfirmed) > acceptUnconfirmedAfter
	c, ok := findCoordinator(ctx, n.coordinators.candidates(time.Now()), func(ctx context.Context, address string) (contact, grade) {
		return n.hello(ctx, address, link, acceptAny)
	})
	if !ok {
		return nil
	}
	return &c
}

// followCoordinator receives from one coordinator until its feed fails or times out, or until a better coordinator is
// found, which it returns; lastConfirmed is when the link was last confirmed. It reports whether a confirmed feed message
// was received.
func (n *Node) followCoordinator(ctx context.Context, c contact, link coordinatorLink, lastConfirmed time.Time) (confirmed bool, better *contact) {
	n.Log.Emit(time.Now(), crevent.State, crevent.DependencyBack, crevent.KeyAddress, c.address, crevent.KeyDetail, link.name,
		crevent.KeyOutcome, c.view.GetConfirmed())
	linkCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	var unconfirmed atomic.Bool
	unconfirmed.Store(true)
	found := make(chan *contact, 1)
	if link.carriesDirectory {
		go func() {
			found <- n.probe(linkCtx, c.address, link, &unconfirmed)
			cancel()
		}()
	} else {
		found <- nil
	}
	confirmed, err := n.receiveFeed(linkCtx, c, link, lastConfirmed, &unconfirmed)
	cancel()
	if ctx.Err() == nil {
		n.Log.Emit(time.Now(), crevent.State, crevent.DependencyLost, crevent.KeyAddress, c.address, crevent.KeyDetail, link.name, crevent.KeyError, err)
	}
	return confirmed, <-found
}

// receiveFeed receives documents from one coordinator, and on the primary link also the directory. An unconfirmed
// document is held back until a confirmed message follows, or until the link has been unconfirmed for
// acceptUnconfirmedAfter. unconfirmed is kept equal to whether the last message was not confirmed.
func (n *Node) receiveFeed(ctx context.Context, c contact, link coordinatorLink, lastConfirmed time.Time, unconfirmed *atomic.Bool) (confirmed bool, err error) {
	linkCtx, cancel := context.WithCancel(ctx)
	var wg sync.WaitGroup
	defer wg.Wait()
	defer cancel()
	if link.carriesDirectory {
		n.suspects.republish(time.Now())
		wg.Go(func() {
			defer cancel()
			n.directory.RunOnSession(linkCtx, c.session, c.address)
		})
	}
	wg.Go(func() { n.shareHints(linkCtx, c.session) })
	wg.Go(func() { n.confirmFreshness(linkCtx, c.session) })
	silenceTimer := time.AfterFunc(feedTimeout, cancel)
	defer silenceTimer.Stop()
	reference := n.documents.reference()
	var pending *crwire.Document
	var previouslyConfirmed bool
	err = crwire.Receive(linkCtx, c.session, crcoord.MethodWatch, &crwire.DocumentWatch{Have: reference.GetVersion(), Packed: true}, func(f *crwire.DocumentFeed) error {
		n.coordinators.update(f.GetVoters(), nil)
		unconfirmed.Store(!f.GetConfirmed())
		d, err := n.documents.resolve(reference, f)
		if err != nil {
			n.reportUnreadable(f.GetPacked().GetVersion(), err)
			return err
		}
		if d != nil {
			reference, pending = d, d
		}
		if pending != nil && (f.GetConfirmed() || time.Since(lastConfirmed) > acceptUnconfirmedAfter) {
			n.applyDocument(pending, f.GetConfirmed())
			pending = nil
		}
		switch {
		case f.GetConfirmed():
			confirmed = true
			silenceTimer.Reset(feedTimeout)
		case previouslyConfirmed:
			silenceTimer.Reset(leaderlessTimeout)
		}
		previouslyConfirmed = f.GetConfirmed()
		return nil
	})
	return confirmed, err
}

// announce publishes the entry of this node and its backend server to the directory.
func (n *Node) announce() {
	e := &crwire.DirectoryEntry{
		Node: n.Settings.Name, Incarnation: n.endpoint.Identity.Self.Incarnation, Service: n.Settings.Service,
		Address: n.Settings.Address, Entrance: n.Settings.Address, Domain: n.Settings.Domain, Region: n.Settings.Region,
		State: crdirectory.Starting, Stopping: n.gateClosed.Load(),
	}
	if s, ok := n.gate.registered(); ok {
		e.Instance, e.Slots, e.Connections, e.State = s.instance(), uint32(s.Slots), uint32(s.Slots), crdirectory.Serving
		if s.Draining || n.gateClosed.Load() {
			e.State = crdirectory.Leaving
		}
	}
	n.directory.Announce(e)
}

// SetSeeds replaces the coordinators from the settings.
func (n *Node) SetSeeds(seeds []string) { n.coordinators.configure(seeds) }
