package crspread

import (
	"time"

	"github.com/citronramp/citronramp/internal/crconfig"
	"github.com/citronramp/citronramp/internal/crwire"
)

// joinState is the state of the search for a parent. One round sends join requests to the control instances in order.
type joinState struct {
	active  bool
	link    uint64
	address string
	// controlIndex is the index of the control instance that this round has reached; redirects counts the redirects
	// followed from it.
	controlIndex, redirects int
	// allowUnconfirmed is set for the last attempt of a round in which no control instance was confirmed.
	allowUnconfirmed bool
	sawConfirmed     bool
	bestAddress      string
	bestVersion      crconfig.Version
	deadline         time.Time

	lastLink uint64
	failures int
	nextAt   time.Time
}

// unconfirmed reports whether the last confirmation is missing or older than UnconfirmedAfter.
func (c *Core) unconfirmed(now time.Time) bool {
	return !c.confirmed || now.Sub(c.confirmedAt) > UnconfirmedAfter
}

// advanceJoin ends a timed-out attempt and starts a round when there is no parent, or when the parent seems to have lost
// every confirmed root. In the latter case the parent is kept until another process has accepted.
func (c *Core) advanceJoin(now time.Time) {
	j := &c.join
	if j.active {
		if now.After(j.deadline) {
			c.closeAttempt()
			c.tryNextControl(now)
		}
		return
	}
	if c.parent != nil && (!c.unconfirmed(now) || now.Sub(c.parent.acceptedAt) <= UnconfirmedAfter) {
		j.failures, j.nextAt = 0, time.Time{}
		return
	}
	if j.nextAt.IsZero() {
		if c.parent != nil {
			// Whole subtrees become unconfirmed at the same time, so their first attempts use the longest back-off window.
			j.failures = 6
		}
		c.scheduleJoin(now)
	}
	if now.Before(j.nextAt) || len(c.cfg.Controls) == 0 {
		return
	}
	*j = joinState{active: true, lastLink: j.lastLink, failures: j.failures}
	c.openAttempt(now, c.cfg.Controls[0])
}

// scheduleJoin schedules the next round at a random time within a window that doubles with each failure.
func (c *Core) scheduleJoin(now time.Time) {
	window := backoffMax
	if c.join.failures < 6 {
		window = min(backoffBase<<c.join.failures, backoffMax)
	}
	c.join.nextAt = now.Add(time.Duration(c.rnd.Int64N(int64(window))))
}

func (c *Core) openAttempt(now time.Time, address string) {
	j := &c.join
	j.lastLink++
	j.link, j.address, j.deadline = j.lastLink, address, now.Add(joinTimeout)
	c.counters.Attempts++
	version := c.store.version
	if c.view.refusals > 0 {
		// A parent counts the version in a join request as acknowledged; without a version it sends the whole view.
		version = crconfig.Version{}
	}
	c.outputs = append(c.outputs, OpenParent{Link: j.link, Address: address, Join: &crwire.SpreadJoin{
		Name: c.cfg.Name, Incarnation: c.cfg.Incarnation, Domain: c.cfg.Domain, Address: c.cfg.Address,
		Version: version.Proto(), Floor: c.minVersion.Proto(),
		Services: sortedNames(c.mergedSubscription(now)), Held: c.store.coveredServices(),
		AllowUnconfirmed: j.allowUnconfirmed, Subtree: uint32(c.subtreeSize()),
	}})
}

func (c *Core) closeAttempt() {
	if c.join.link != 0 {
		c.outputs = append(c.outputs, CloseParent{Link: c.join.link})
		c.join.link = 0
	}
}

// tryNextControl continues with the next control instance. After the last one it joins the unconfirmed one with the highest
// version if none was confirmed and there is no parent; otherwise it ends the round.
func (c *Core) tryNextControl(now time.Time) {
	j := &c.join
	j.redirects = 0
	j.controlIndex++
	switch {
	case !j.allowUnconfirmed && j.controlIndex < len(c.cfg.Controls):
		c.openAttempt(now, c.cfg.Controls[j.controlIndex])
	case !j.allowUnconfirmed && j.bestAddress != "" && !j.sawConfirmed && c.parent == nil:
		j.allowUnconfirmed = true
		c.openAttempt(now, j.bestAddress)
	default:
		j.active = false
		j.failures++
		c.scheduleJoin(now)
	}
}

// handleJoinReply handles the reply to the current join request.
func (c *Core) handleJoinReply(now time.Time, link uint64, r *crwire.SpreadJoinReply) {
	j := &c.join
	if !j.active || link != j.link {
		return
	}
	v := crconfig.VersionFromProto(r.GetVersion())
	if r.GetConfirmed() {
		j.sawConfirmed = true
		if c.minVersion.Less(v) {
			c.minVersion = v
		}
	}
	switch r.GetVerdict() {
	case verdictAccepted:
		c.adoptParent(now, r)
		return
	case verdictRedirect:
		c.closeAttempt()
		if j.redirects++; j.redirects <= maxRedirects && r.GetAddress() != "" {
			c.openAttempt(now, r.GetAddress())
			return
		}
	case verdictUnconfirmed:
		if j.redirects == 0 && !v.Less(c.minVersion) && (j.bestAddress == "" || j.bestVersion.Less(v)) {
			j.bestAddress, j.bestVersion = j.address, v
		}
	case verdictCycle:
		c.counters.Cycles++
	}
	c.closeAttempt()
	c.tryNextControl(now)
}

// adoptParent makes the process that accepted the current join request the parent.
func (c *Core) adoptParent(now time.Time, r *crwire.SpreadJoinReply) {
	j := &c.join
	if c.invalidPath(r.GetPath()) {
		c.counters.Cycles++
		c.closeAttempt()
		c.tryNextControl(now)
		return
	}
	if c.parent != nil {
		c.outputs = append(c.outputs, CloseParent{Link: c.parent.link})
	}
	c.parent = &parentLink{link: j.link, address: j.address, path: r.GetPath(), acceptedAt: now, lastCurrentAt: now, failures: j.failures}
	c.join = joinState{lastLink: j.lastLink}
	c.sentAck, c.sentSubscription = nil, nil
	c.counters.Joins++
	c.forceHeartbeats()
	c.acknowledge(now)
}
