package crnode

import (
	"context"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/go-kit/log/level"

	"github.com/citronramp/citronramp/internal/cradmin"
	"github.com/citronramp/citronramp/internal/crconfig"
	"github.com/citronramp/citronramp/internal/crkeeper"
	"github.com/citronramp/citronramp/internal/crspread"
	"github.com/citronramp/citronramp/internal/crwire"
	"github.com/citronramp/citronramp/pkg/crrecord"
)

// parts are the running duties of a node, each with its goroutine.
type parts struct {
	node   *Node
	http   *http.Server
	keeper *crkeeper.Keeper
	client *crkeeper.Client
	// cancel ends the duties that need the network of the system; cancelAdmin ends the admin port after them.
	cancel      context.CancelFunc
	cancelAdmin context.CancelFunc
	wg          sync.WaitGroup
}

// start makes and runs all duties.
func (n *Node) start() (*parts, error) {
	ctx, cancel := context.WithCancel(context.Background())
	adminCtx, cancelAdmin := context.WithCancel(context.Background())
	p := &parts{node: n, cancel: cancel, cancelAdmin: cancelAdmin, http: n.httpServer()}
	n.endpoint = &crwire.Endpoint{
		Identity: crwire.Identity{
			Self:   crwire.Peer{Name: n.Settings.Name, Incarnation: n.Incarnation, Role: crwire.RoleNode},
			Secret: []byte(n.Settings.Secret),
		},
		Mux:       &crwire.Mux{},
		OnRefused: func(net.Addr, error) { n.Counters.Add("inner_refused", 1) },
	}
	p.makeKeeper()
	p.makeSpread()
	n.directory = n.newDirectory()
	n.register()
	n.servicesMu.Lock()
	n.watchLocked()
	n.servicesMu.Unlock()
	n.tellDirectory(Announcement{State: StateStarting})
	p.run(adminCtx, func(ctx context.Context) {
		p.failed("admin", cradmin.Serve(ctx, n.Admin, (&cradmin.Admin{Dumper: p, Counters: &n.Counters}).Handler()))
	})
	p.run(ctx, func(context.Context) { p.failed("inner", n.endpoint.Serve(n.Inner)) })
	p.run(ctx, func(ctx context.Context) { p.failed("spread", p.node.spread.Run(ctx)) })
	p.run(ctx, p.keeper.Run)
	p.run(ctx, p.client.Run)
	p.run(ctx, n.tickLoop)
	p.run(ctx, func(ctx context.Context) { p.failed("directory", n.directory.Run(ctx)) })
	p.run(ctx, n.quarantineLoop)
	p.run(ctx, n.convictLoop)
	p.run(ctx, p.confirmLoop)
	p.run(ctx, func(ctx context.Context) {
		cradmin.WatchSuspensions(ctx, &n.Counters, func(slept time.Duration) {
			_ = level.Info(n.Logger).Log("msg", "the machine was suspended", "took", slept)
		})
	})
	p.run(ctx, func(context.Context) { p.failed("callers", p.http.Serve(n.Callers)) })
	return p, nil
}

// run starts a duty that ends with ctx.
func (p *parts) run(ctx context.Context, f func(context.Context)) {
	p.wg.Add(1)
	go func() {
		defer p.wg.Done()
		f(ctx)
	}()
}

// failed logs a duty that ended by itself.
func (p *parts) failed(duty string, err error) {
	if !cradmin.Unexpected(err) {
		return
	}
	p.node.Counters.Add("duties_failed", 1)
	_ = level.Error(p.node.Logger).Log("msg", "duty failed", "duty", duty, "err", err)
}

func (p *parts) makeKeeper() {
	n := p.node
	self := crrecord.Member{Node: n.Settings.Name, Incarnation: n.Incarnation, Address: n.Settings.Inner, Domain: n.Settings.Domain}
	p.keeper = &crkeeper.Keeper{
		Core: &crrecord.Keeper{Self: self, ConfirmWithin: confirmWithin}, Endpoint: n.endpoint, Now: n.clock,
	}
	answers := &crkeeper.Answers{Self: self, Now: n.clock}
	p.client = &crkeeper.Client{Self: self, Groups: groups{n.view}, Endpoint: n.endpoint, Local: p.keeper, Answers: answers}
	n.claims = p.client
	answers.Register(n.endpoint.Mux)
	p.keeper.Register(n.endpoint.Mux)
}

// confirmWithin is how old a keeper's confirmation of its configuration may be for it to grant claims; it is shorter than
// the 10 s after which a lost majority is fenced.
const confirmWithin = 5 * time.Second

// groups is the group table of the configuration in force.
type groups struct{ view *crconfig.View }

// Group returns the membership of a keeper group.
func (g groups) Group(number uint32) (crrecord.Group, bool) {
	w := g.view.Group(number)
	if w == nil {
		return crrecord.Group{}, false
	}
	return crkeeper.GroupOf(w), true
}

func (p *parts) makeSpread() {
	n := p.node
	n.spread = &crspread.Node{
		Config: crspread.Config{
			Name: n.Settings.Name, Incarnation: n.Incarnation, Domain: n.Settings.Domain, Address: n.Settings.Inner,
			Controls: n.Settings.Control, Services: []string{n.Settings.Service}, Seed: uint64(n.clock().UnixMS),
		},
		Endpoint: n.endpoint,
		OnUpdate: p.updated,
	}
	n.spread.Register(n.endpoint.Mux)
}

func (n *Node) register() {
	mux := n.endpoint.Mux
	crwire.Handle(mux, methodCall, n.handleCall)
	crwire.Handle(mux, methodTake, n.handleTake)
	crwire.Handle(mux, methodArrive, n.handleArrive)
	crwire.Handle(mux, MethodShedding, n.handleShedding)
}

// updated takes a change of the configuration into the view and tells the keeper its groups. An error tells the tree that
// the view stays at its older version.
func (p *parts) updated(u crspread.Update) error {
	n := p.node
	var err error
	switch {
	case u.Full:
		err = n.view.Reset(u.Version, u.Entries)
	case len(u.Replaced) > 0:
		err = n.view.Reset(u.Version, mergeReplaced(n.view.Entries(), u))
	default:
		err = n.view.ApplyEntries(u.Version, u.Entries)
	}
	if err != nil {
		n.Counters.Add("config_refused", 1)
		_ = level.Error(n.Logger).Log("msg", "configuration refused", "version", u.Version, "err", err)
		return err
	}
	n.Counters.Add("config_updates", 1)
	p.entriesChanged(u.Entries)
	before := n.followed(n.Settings.Service)
	n.cover(u.Services)
	if last, serving := n.lease.current(time.Now()); serving && !before {
		n.tellDirectory(last)
	}
	return nil
}

// mergeReplaced returns the whole view after an update that replaces the entries of some services. Such an update may also
// change entries of other services, which then must not stand twice.
func mergeReplaced(held []*crwire.ConfigEntry, u crspread.Update) []*crwire.ConfigEntry {
	offered := make(map[string]bool, len(u.Entries))
	for _, e := range u.Entries {
		offered[e.GetKey()] = true
	}
	kept := slices.DeleteFunc(slices.Clone(held), func(e *crwire.ConfigEntry) bool {
		return offered[e.GetKey()] || slices.Contains(u.Replaced, e.GetService())
	})
	return append(kept, u.Entries...)
}

// entriesChanged tells the keeper its groups and the quarantine which convictions were lifted.
func (p *parts) entriesChanged(entries []*crwire.ConfigEntry) {
	n := p.node
	var changed []crrecord.Group
	for _, e := range entries {
		sort, rest, _ := strings.Cut(e.GetKey(), "/")
		switch sort {
		case "group":
			number, err := strconv.ParseUint(rest, 10, 32)
			if g, ok := (groups{n.view}).Group(uint32(number)); err == nil && ok {
				changed = append(changed, g)
			}
		case "conviction":
			if e.GetDeleted() {
				n.lift(rest)
			}
		}
	}
	if len(changed) > 0 {
		p.keeper.Configure(changed)
	}
}

// confirmInterval is how often the keeper is told how old the configuration's confirmation is.
const confirmInterval = 500 * time.Millisecond

// confirmLoop passes the tree's confirmation on to the keeper.
func (p *parts) confirmLoop(ctx context.Context) {
	t := time.NewTicker(confirmInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
		if s := p.node.spread.Status(); s.EverConfirmed && s.ConfirmedAge < confirmWithin {
			at := p.node.clock()
			at.Elapsed -= s.ConfirmedAge
			p.keeper.Confirm(at)
		}
	}
}

// leave tells the others that this node stops and waits until its records are delivered.
func (p *parts) leave(context.Context) {
	last, _ := p.node.lease.current(time.Now())
	last.State = StateLeaving
	p.node.tellDirectory(last)
}

// stop ends the duties once no request is left.
func (p *parts) stop() {
	n := p.node
	grace, cancel := context.WithTimeout(context.Background(), n.Settings.StopTimeout)
	defer cancel()
	_ = p.http.Shutdown(grace)
	p.deliver(grace)
	p.cancel()
	_ = n.Inner.Close()
	n.endpoint.Close()
	n.backend.close()
	p.cancelAdmin()
	p.wg.Wait()
}

// deliver waits until the completions and releases of this gate have reached the keepers.
func (p *parts) deliver(ctx context.Context) {
	t := time.NewTicker(tickInterval)
	defer t.Stop()
	for p.client.Pending() > 0 {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
	}
}
