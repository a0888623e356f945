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

// Times of the exchange between coordinators.
const (
	// helloInterval is the time between messages to each known coordinator; a lost one is noticed after three. Without a leader
	// searchInterval takes its place: a leader that lost its disk must be known before the others stand for election.
	helloInterval  = 500 * time.Millisecond
	searchInterval = 150 * time.Millisecond
	// helloTimeout bounds one message; it is below the time after which a candidate counts as gone.
	helloTimeout = time.Second
	// forgetAfter is how long a silent coordinator that is no member is still called; it covers a long cut.
	forgetAfter = time.Minute
	// maxPeers bounds the coordinators that a process knows.
	maxPeers = 64
)

// peer is another coordinator.
type peer struct {
	name, domain string
	id           uint64
	heard        time.Time
	failing      bool
	calling      bool
	follow       context.CancelFunc
}

// peers are the other coordinators by address.
type peers struct {
	mu    sync.Mutex
	own   string
	known map[string]*peer
	seeds []string
	// leader is where the leader was last said to be; a coordinator that is no member hears of it only so.
	leader string
}

func (p *peers) init(own string, seeds []string) {
	p.own, p.known = own, map[string]*peer{}
	p.setSeeds(seeds)
}

func (p *peers) setSeeds(seeds []string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.seeds = slices.Clone(seeds)
	for _, s := range seeds {
		p.learn(s)
	}
}

// learn makes an entry for an address; the lock is held.
func (p *peers) learn(address string) *peer {
	if address == "" || address == p.own {
		return nil
	}
	e := p.known[address]
	if e == nil && len(p.known) < maxPeers {
		e = &peer{}
		p.known[address] = e
	}
	return e
}

// heard takes what a coordinator tells of itself.
func (p *peers) heard(now time.Time, h *crwire.CoreHello) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if e := p.learn(h.GetAddress()); e != nil {
		e.name, e.domain, e.id, e.heard, e.failing = h.GetName(), h.GetDomain(), h.GetId(), now, h.GetFailing()
	}
}

// learnView takes addresses from another coordinator's view.
func (p *peers) learnView(v *crwire.CoreView) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, a := range slices.Concat(v.GetVoters(), v.GetOthers()) {
		p.learn(a)
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

// candidates returns the coordinators that announced themselves, and the domain of each address.
func (p *peers) candidates() (out []crquorum.Candidate, domains map[string]string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	domains = map[string]string{}
	for a, e := range p.known {
		domains[a] = e.domain
		if e.id != 0 && !e.failing {
			out = append(out, crquorum.Candidate{ID: e.id, Name: e.name, Address: a, Domain: e.domain, Heard: e.heard})
		}
	}
	return out, domains
}

// live returns the addresses that were heard within the time.
func (p *peers) live(now time.Time, within time.Duration) []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	var out []string
	for a, e := range p.known {
		if !e.heard.IsZero() && now.Sub(e.heard) <= within {
			out = append(out, a)
		}
	}
	slices.Sort(out)
	return out
}

// due returns the addresses to call now, and forgets those that are neither seeds nor members and were silent for long.
func (p *peers) due(now time.Time, members []string) []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, m := range members {
		p.learn(m)
	}
	var out []string
	for a, e := range p.known {
		wanted := slices.Contains(members, a) || slices.Contains(p.seeds, a)
		if !wanted && e.heard.IsZero() {
			e.heard = now
		}
		if !wanted && now.Sub(e.heard) > forgetAfter {
			if e.follow != nil {
				e.follow()
			}
			delete(p.known, a)
			continue
		}
		if !e.calling {
			e.calling = true
			out = append(out, a)
		}
	}
	return out
}

func (p *peers) called(address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if e := p.known[address]; e != nil {
		e.calling = false
	}
}

// unfollowed returns the addresses that were heard and whose directory is not followed yet.
func (p *peers) unfollowed(ctx context.Context) map[string]context.Context {
	p.mu.Lock()
	defer p.mu.Unlock()
	out := map[string]context.Context{}
	for a, e := range p.known {
		if e.id != 0 && e.follow == nil {
			out[a], e.follow = context.WithCancel(ctx)
		}
	}
	return out
}

// presenceLoop tells the other coordinators of this one and follows their directories.
func (c *Coordinator) presenceLoop(ctx context.Context) {
	for ctx.Err() == nil {
		for _, a := range c.peers.due(time.Now(), c.memberAddresses()) {
			c.wg.Go(func() { c.hello(ctx, a) })
		}
		for a, follow := range c.peers.unfollowed(ctx) {
			c.wg.Go(func() { c.directory.Follow(follow, a) })
		}
		interval := helloInterval
		if !c.confirmed() {
			interval = searchInterval
		}
		// The loop looks at ctx itself.
		_ = crpause.For(ctx, interval)
	}
}

func (c *Coordinator) hello(ctx context.Context, address string) {
	defer c.peers.called(address)
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
	c.peers.learnView(view)
	if err := c.bury(ctx, known, address, view.GetId()); err != nil {
		c.Counters.Add("hello_failed", 1)
	}
}

func (c *Coordinator) handleHello(_ context.Context, from *crwire.Session, h *crwire.CoreHello) (*crwire.CoreView, error) {
	now := time.Now()
	if from.Peer().Role == crwire.RoleControl && h.GetId() != 0 {
		c.peers.heard(now, h)
	}
	return c.view(now), nil
}

// bury tells the log of members whose storage is lost: a process without it answered at their address. The members are those
// known before the call, so that a late answer of an earlier process at the address ends no present member.
func (c *Coordinator) bury(ctx context.Context, known crlog.Members, address string, id uint64) error {
	for _, m := range known {
		if m.Address == address && id != 0 && m.ID != id {
			if err := c.replica.MemberGone(ctx, m.ID); err != nil {
				return err
			}
		}
	}
	return nil
}

// view is what this coordinator tells of the core.
func (c *Coordinator) view(now time.Time) *crwire.CoreView {
	s := c.replica.Status()
	v := &crwire.CoreView{Name: c.Settings.Name, Id: c.replica.ID, Leader: s.LeaderAddress, Confirmed: c.confirmed()}
	for _, m := range s.Members {
		v.Voters = append(v.Voters, m.Address)
	}
	v.Others = c.peers.live(now, forgetAfter)
	return v
}

func (c *Coordinator) memberAddresses() []string {
	var out []string
	for _, m := range c.replica.Status().Members {
		out = append(out, m.Address)
	}
	return out
}

// repairInterval is the time between looks at the membership; a repair takes a few of them.
const repairInterval = 200 * time.Millisecond

// repairLoop changes the membership while this coordinator leads.
func (c *Coordinator) repairLoop(ctx context.Context) {
	tick := time.NewTicker(repairInterval)
	defer tick.Stop()
	var leader, term uint64
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
			if s.Leads {
				c.repair(ctx, now)
			}
		}
	}
}

// repairTimeout bounds one change of the membership; the next round looks again.
const repairTimeout = 2 * time.Second

func (c *Coordinator) repair(ctx context.Context, now time.Time) {
	s := c.replica.Status()
	v := crquorum.View{
		Self: c.replica.ID, Members: s.Members, Silence: map[uint64]time.Duration{}, Want: crquorum.Voters(c.Settings.Losses),
	}
	v.Candidates, v.Domains = c.peers.candidates()
	v.Domains[c.Settings.Address] = c.Settings.Domain
	for _, f := range s.Followers {
		v.Silence[f.ID] = f.Contact
	}
	a := crquorum.Decide(now, v)
	if a.Kind == crquorum.Nothing {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, repairTimeout)
	defer cancel()
	var err error
	switch a.Kind {
	case crquorum.Add:
		err = c.replica.AddMember(ctx, a.Member)
	case crquorum.Replace:
		err = c.replica.ReplaceMember(ctx, a.Lost, a.Member)
	case crquorum.GiveUp:
		err = c.replica.RemoveMember(ctx, a.Lost)
	case crquorum.Nothing:
	}
	c.Log.Emit(time.Now(), crevent.State, crevent.MemberChange, crevent.KeyAction, a.Kind, crevent.KeyReason, a.Reason,
		crevent.KeyMember, a.Lost, crevent.KeyPeer, a.Member.Address, crevent.KeyError, err)
}
