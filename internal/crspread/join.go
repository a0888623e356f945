package crspread

import (
	"time"

	"github.com/citronramp/citronramp/internal/crconfig"
	"github.com/citronramp/citronramp/internal/crwire"
)

// joinState is the search for a parent; one round asks the control instances in order.
type joinState struct {
	active  bool
	link    uint64
	address string
	// asked is the index of the control instance that this round is at, hops the redirects followed from it.
	asked, hops int
	// allow is set for the last step of a round in which no control instance was confirmed.
	allow        bool
	sawConfirmed bool
	best         string
	bestVersion  crconfig.Version
	deadline     time.Time

	links    uint64
	failures int
	nextAt   time.Time
}

// unconfirmed reports whether the last confirmation is missing or too old.
func (c *Core) unconfirmed(now time.Time) bool {
	return !c.confirmed || now.Sub(c.confirmedAt) > UnconfirmedAfter
}

// tickJoin starts a round when there is no parent, or when the parent seems cut off from every confirmed root; in the
// second case the parent is kept until another one has accepted.
func (c *Core) tickJoin(now time.Time) {
	j := &c.join
	if j.active {
		if now.After(j.deadline) {
			c.closeAttempt()
			c.nextControl(now)
		}
		return
	}
	if c.parent != nil && (!c.unconfirmed(now) || now.Sub(c.parent.since) <= UnconfirmedAfter) {
		j.failures, j.nextAt = 0, time.Time{}
		return
	}
	if j.nextAt.IsZero() {
		if c.parent != nil {
			// Whole subtrees become unconfirmed together, so their first attempts are spread over the longest window.
			j.failures = 6
		}
		c.schedule(now)
	}
	if now.Before(j.nextAt) || len(c.cfg.Controls) == 0 {
		return
	}
	*j = joinState{active: true, links: j.links, failures: j.failures}
	c.open(now, c.cfg.Controls[0])
}

// schedule sets the next attempt at a random moment within a window that doubles with each failure.
func (c *Core) schedule(now time.Time) {
	window := backoffMax
	if c.join.failures < 6 {
		window = min(backoffBase<<c.join.failures, backoffMax)
	}
	c.join.nextAt = now.Add(time.Duration(c.rnd.Int64N(int64(window))))
}

func (c *Core) open(now time.Time, address string) {
	j := &c.join
	j.links++
	j.link, j.address, j.deadline = j.links, address, now.Add(joinTimeout)
	c.counts.Attempts++
	version := c.store.version
	if c.view.refusals > 0 {
		// A new parent counts the version of a join as acknowledged; without one it sends the whole view.
		version = crconfig.Version{}
	}
	c.out = append(c.out, OpenParent{Link: j.link, Address: address, Join: &crwire.SpreadJoin{
		Name: c.cfg.Name, Incarnation: c.cfg.Incarnation, Domain: c.cfg.Domain, Address: c.cfg.Address,
		Version: version.Wire(), Floor: c.floor.Wire(),
		Services: sorted(c.merged(now)), Held: c.store.held(),
		AllowUnconfirmed: j.allow, Subtree: uint32(c.subtree()),
	}})
}

func (c *Core) closeAttempt() {
	if c.join.link != 0 {
		c.out = append(c.out, CloseParent{Link: c.join.link})
		c.join.link = 0
	}
}

// nextControl goes on with the next control instance; after the last one it takes the highest unconfirmed offer when
// no control instance was confirmed and there is no parent, and ends the round otherwise.
func (c *Core) nextControl(now time.Time) {
	j := &c.join
	j.hops = 0
	j.asked++
	switch {
	case !j.allow && j.asked < len(c.cfg.Controls):
		c.open(now, c.cfg.Controls[j.asked])
	case !j.allow && j.best != "" && !j.sawConfirmed && c.parent == nil:
		j.allow = true
		c.open(now, j.best)
	default:
		j.active = false
		j.failures++
		c.schedule(now)
	}
}

// joinReply takes the answer of the process that was asked last.
func (c *Core) joinReply(now time.Time, link uint64, r *crwire.SpreadJoinReply) {
	j := &c.join
	if !j.active || link != j.link {
		return
	}
	v := crconfig.VersionOf(r.GetVersion())
	if r.GetConfirmed() {
		j.sawConfirmed = true
		if c.floor.Less(v) {
			c.floor = v
		}
	}
	switch r.GetVerdict() {
	case verdictAccepted:
		c.accepted(now, r)
		return
	case verdictRedirect:
		c.closeAttempt()
		if j.hops++; j.hops <= maxHops && r.GetAddress() != "" {
			c.open(now, r.GetAddress())
			return
		}
	case verdictUnconfirmed:
		if j.hops == 0 && !v.Less(c.floor) && (j.best == "" || j.bestVersion.Less(v)) {
			j.best, j.bestVersion = j.address, v
		}
	case verdictCycle:
		c.counts.Cycles++
	}
	c.closeAttempt()
	c.nextControl(now)
}

// accepted makes the process that was asked last the parent.
func (c *Core) accepted(now time.Time, r *crwire.SpreadJoinReply) {
	j := &c.join
	if c.badPath(r.GetPath()) {
		c.counts.Cycles++
		c.closeAttempt()
		c.nextControl(now)
		return
	}
	if c.parent != nil {
		c.out = append(c.out, CloseParent{Link: c.parent.link})
	}
	c.parent = &parentLink{link: j.link, address: j.address, path: r.GetPath(), since: now, lastGood: now, failures: j.failures}
	c.join = joinState{links: j.links}
	c.sentUp, c.sentSub = nil, nil
	c.counts.Joins++
	c.heartbeatsDue()
	c.acknowledge(now)
}
