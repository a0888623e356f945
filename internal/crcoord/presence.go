package crcoord

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/citronramp/citronramp/internal/crevent"
	"github.com/citronramp/citronramp/internal/crpause"
	"github.com/citronramp/citronramp/internal/crwire"
	"github.com/citronramp/citronramp/pkg/crlog"
	"github.com/citronramp/citronramp/pkg/crquorum"
)

// Times and sizes of the exchange between coordinators.
const (
	// helloInterval is the time between messages to each known coordinator; a failure is noticed after three lost
	// messages. While there is no leader searchInterval is used: the others must detect a leader that lost its disk
	// before they stand for election.
	helloInterval  = 500 * time.Millisecond
	searchInterval = 150 * time.Millisecond
	// helloTimeout bounds one message. It is shorter than the time after which a candidate counts as lost.
	helloTimeout = time.Second
	// peerRetention is how long a silent coordinator that is neither a member nor a seed is still called; it covers a
	// long network partition.
	peerRetention = time.Minute
	// maxPeers bounds the number of coordinators that a process keeps.
	maxPeers = 64
)

// peer is what is known of another coordinator.
type peer struct {
	name, domain string
	id           uint64
	lastHello    time.Time
	// failing is set when the peer reports a storage error.
	failing      bool
	helloRunning bool
	// stopFollowing ends the directory exchange with the peer; nil when it is not followed.
	stopFollowing context.CancelFunc
}

// peers are the other coordinators by address.
type peers struct {
	mu         sync.Mutex
	ownAddress string
	known      map[string]*peer
	seeds      []string
	// leader is the last leader address that another coordinator reported. A coordinator that is no log member has no
	// other way to find the leader.
	leader string
}

func (p *peers) init(own string, seeds []string) {
	p.ownAddress, p.known = own, map[string]*peer{}
	p.setSeeds(seeds)
}

func (p *peers) setSeeds(seeds []string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.seeds = slices.Clone(seeds)
	for _, s := range seeds {
		p.getOrAdd(s)
	}
}

// getOrAdd returns the entry of an address and creates it if needed. It returns nil for the own address and when
// there are too many peers. The caller holds the lock.
func (p *peers) getOrAdd(address string) *peer {
	if address == "" || address == p.ownAddress {
		return nil
	}
	e := p.known[address]
	if e == nil && len(p.known) < maxPeers {
		e = &peer{}
		p.known[address] = e
	}
	return e
}

// recordHello stores what a coordinator reports of itself.
func (p *peers) recordHello(now time.Time, h *crwire.CoreHello) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if e := p.getOrAdd(h.GetAddress()); e != nil {
		e.name, e.domain, e.id, e.lastHello, e.failing = h.GetName(), h.GetDomain(), h.GetId(), now, h.GetFailing()
	}
}

// recordView adds the addresses and the leader of another coordinator's view.
func (p *peers) recordView(v *crwire.CoreView) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, a := range slices.Concat(v.GetVoters(), v.GetOthers()) {
		p.getOrAdd(a)
	}
	if v.GetConfirmed() && v.GetLeader() != "" {
		p.leader = v.GetLeader()
	}
}

func (p *peers) leaderHint() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.leader
}

// candidates returns the coordinators that have reported a member id and no storage error, and the failure domain of
// each address.
func (p *peers) candidates() (out []crquorum.Candidate, domains map[string]string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	domains = map[string]string{}
	for a, e := range p.known {
		domains[a] = e.domain
		if e.id != 0 && !e.failing {
			out = append(out, crquorum.Candidate{ID: e.id, Name: e.name, Address: a, Domain: e.domain, LastContact: e.lastHello})
		}
	}
	return out, domains
}

// storing returns the addresses of the coordinators that have reported a member id and no storage error.
func (p *peers) storing() (out []string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for a, e := range p.known {
		if e.id != 0 && !e.failing {
			out = append(out, a)
		}
	}
	return out
}

// seenWithin returns the addresses whose last message is at most within old.
func (p *peers) seenWithin(now time.Time, within time.Duration) []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	var out []string
	for a, e := range p.known {
		if !e.lastHello.IsZero() && now.Sub(e.lastHello) <= within {
			out = append(out, a)
		}
	}
	slices.Sort(out)
	return out
}

// startHellos returns the addresses to call now and marks them as being called. It removes peers that are neither
// seeds nor members and were silent for longer than peerRetention.
func (p *peers) startHellos(now time.Time, members []string) []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, m := range members {
		p.getOrAdd(m)
	}
	var out []string
	for a, e := range p.known {
		keep := slices.Contains(members, a) || slices.Contains(p.seeds, a)
		if !keep && e.lastHello.IsZero() {
			e.lastHello = now
		}
		if !keep && now.Sub(e.lastHello) > peerRetention {
			if e.stopFollowing != nil {
				e.stopFollowing()
			}
			delete(p.known, a)
			continue
		}
		if !e.helloRunning {
			e.helloRunning = true
			out = append(out, a)
		}
	}
	return out
}

// helloDone marks the call to an address as ended.
func (p *peers) helloDone(address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if e := p.known[address]; e != nil {
		e.helloRunning = false
	}
}

// startFollowing returns, with a context for each, the peers that have reported a member id and whose directory is
// not followed yet, and marks them as followed.
func (p *peers) startFollowing(ctx context.Context) map[string]context.Context {
	p.mu.Lock()
	defer p.mu.Unlock()
	out := map[string]context.Context{}
	for a, e := range p.known {
		if e.id != 0 && e.stopFollowing == nil {
			out[a], e.stopFollowing = context.WithCancel(ctx)
		}
	}
	return out
}

// helloLoop sends the state of this coordinator to the others and follows their directories.
func (c *Coordinator) helloLoop(ctx context.Context) {
	for ctx.Err() == nil {
		for _, a := range c.peers.startHellos(time.Now(), c.memberAddresses()) {
			c.wg.Go(func() { c.sendHello(ctx, a) })
		}
		for a, follow := range c.peers.startFollowing(ctx) {
			c.wg.Go(func() { c.directory.Follow(follow, a) })
		}
		interval := helloInterval
		if !c.confirmed() {
			interval = searchInterval
		}
		// The loop condition checks ctx.
		_ = crpause.For(ctx, interval)
	}
}

func (c *Coordinator) sendHello(ctx context.Context, address string) {
	defer c.peers.helloDone(address)
	ctx, cancel := context.WithTimeout(ctx, helloTimeout)
	defer cancel()
	s, err := c.endpoint.Session(ctx, address)
	if err != nil {
		c.Counters.Add("hello_failed", 1)
		return
	}
	known := c.replica.Status().Members
	view, err := crwire.Call[crwire.CoreView](ctx, s, MethodHello, &crwire.CoreHello{
		Name: c.Settings.Name, Id: c.replica.ID, Address: c.Settings.Address, Domain: c.Settings.Domain,
		Failing: c.replica.Status().LastError != nil,
	})
	if err != nil {
		c.Counters.Add("hello_failed", 1)
		return
	}
	c.peers.recordView(view)
	if err := c.reportLostMembers(ctx, known, address, view.GetId()); err != nil {
		c.Counters.Add("hello_failed", 1)
	}
}

func (c *Coordinator) handleHello(_ context.Context, from *crwire.Session, h *crwire.CoreHello) (*crwire.CoreView, error) {
	now := time.Now()
	if from.Peer().Role == crwire.RoleControl && h.GetId() != 0 {
		c.peers.recordHello(now, h)
	}
	return c.view(now), nil
}

// reportLostMembers reports members whose storage is lost to the log: another process answered at their address, with
// id. The members are those known before the call, so that a late answer of an earlier process at the address removes
// no current member.
func (c *Coordinator) reportLostMembers(ctx context.Context, known crlog.Members, address string, id uint64) error {
	for _, m := range known {
		if m.Address == address && id != 0 && m.ID != id {
			if err := c.replica.ReportMemberLost(ctx, m.ID); err != nil {
				return err
			}
		}
	}
	return nil
}

// view returns the core as this coordinator sees it.
func (c *Coordinator) view(now time.Time) *crwire.CoreView {
	s := c.replica.Status()
	v := &crwire.CoreView{Name: c.Settings.Name, Id: c.replica.ID, Leader: s.LeaderAddress, Confirmed: c.confirmed()}
	for _, m := range s.Members {
		v.Voters = append(v.Voters, m.Address)
	}
	v.Others = c.peers.seenWithin(now, peerRetention)
	return v
}

func (c *Coordinator) memberAddresses() []string {
	var out []string
	for _, m := range c.replica.Status().Members {
		out = append(out, m.Address)
	}
	return out
}

// repairInterval is the time between checks of the membership; a repair takes a few of them.
const repairInterval = 200 * time.Millisecond

// repairLoop logs changes of the leader and of the storage, and repairs the membership while this coordinator leads.
func (c *Coordinator) repairLoop(ctx context.Context) {
	tick := time.NewTicker(repairInterval)
	defer tick.Stop()
	var leader, term uint64
	var failing bool
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-tick.C:
			s := c.replica.Status()
			if s.Leader != leader || s.Term != term {
				leader, term = s.Leader, s.Term
				c.Log.Emit(now, crevent.State, crevent.LeaderChanged, crevent.KeyMember, leader, crevent.KeyTerm, term,
					crevent.KeyAddress, s.LeaderAddress, crevent.KeyCount, len(s.Members))
			}
			if failing != (s.LastError != nil) {
				failing = !failing
				c.logStorage(now, s.LastError)
			}
			if s.Leads {
				c.repair(ctx, now)
			}
		}
	}
}

// logStorage logs that the storage has failed with an error, or works again when the error is nil.
func (c *Coordinator) logStorage(now time.Time, err error) {
	event := crevent.DependencyBack
	if err != nil {
		event = crevent.DependencyLost
		c.Counters.Add("storage_failed", 1)
	}
	c.Log.Emit(now, crevent.State, event, crevent.KeyDetail, "storage", crevent.KeyError, err)
}

// repairTimeout bounds one change of the membership; the next check tries again.
const repairTimeout = 2 * time.Second

func (c *Coordinator) repair(ctx context.Context, now time.Time) {
	s := c.replica.Status()
	v := crquorum.View{
		Self: c.replica.ID, Members: s.Members, SinceContact: map[uint64]time.Duration{}, TargetVoters: crquorum.Voters(c.Settings.ToleratedFailures),
	}
	v.Candidates, v.Domains = c.peers.candidates()
	v.Domains[c.Settings.Address] = c.Settings.Domain
	for _, f := range s.Followers {
		v.SinceContact[f.ID] = f.Contact
	}
	action := crquorum.Decide(now, v)
	if action.Kind == crquorum.NoChange {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, repairTimeout)
	defer cancel()
	var err error
	switch action.Kind {
	case crquorum.AddVoter:
		err = c.replica.AddMember(ctx, action.Member)
	case crquorum.ReplaceVoter:
		err = c.replica.ReplaceMember(ctx, action.RemovedID, action.Member)
	case crquorum.RemoveLearner:
		err = c.replica.RemoveMember(ctx, action.RemovedID)
	case crquorum.NoChange:
	}
	c.Log.Emit(time.Now(), crevent.State, crevent.MemberChange, crevent.KeyAction, action.Kind, crevent.KeyReason, action.Reason,
		crevent.KeyMember, action.RemovedID, crevent.KeyPeer, action.Member.Address, crevent.KeyError, err)
}
