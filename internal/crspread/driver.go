package crspread

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/citronramp/citronramp/internal/crring"
	"github.com/citronramp/citronramp/internal/crwire"
	"github.com/citronramp/citronramp/pkg/crclock"
	"github.com/citronramp/citronramp/pkg/crcode"
)

// RPC methods of the tree.
const (
	methodJoin = "spread.join"
	methodUp   = "spread.up"
)

// Queue sizes and timeouts. An event for the core that finds its queue full is dropped; gap detection and timeouts repair
// the loss. A child whose queue is full is disconnected and rejoins.
const (
	eventRingSize = 4096
	childRingSize = 1024
	ackRingSize   = 64
	callTimeout   = 2 * time.Second
	// leaveTimeout bounds the last message of a planned stop.
	leaveTimeout = 200 * time.Millisecond
)

// event is one input to the core.
type event func(now time.Time, c *Core) []Output

// driver runs a Core over a crwire endpoint.
type driver struct {
	endpoint *crwire.Endpoint
	onUpdate func(Update) error
	events   *crring.Ring[event]
	lastLink atomic.Uint64
	wg       sync.WaitGroup
	// ctx is cancelled when Run returns.
	ctx  context.Context
	stop context.CancelFunc

	mu       sync.Mutex
	core     *Core
	children map[uint64]*childConn
	parents  map[uint64]*parentConn
}

// childConn queues messages to one child; a nil message ends the connection.
type childConn struct {
	session  *crwire.Session
	messages *crring.Ring[*crwire.SpreadDown]
	cancel   context.CancelFunc
}

// parentConn is the connection to a parent or to a process that was sent a join request.
type parentConn struct {
	cancel context.CancelFunc
	acks   *crring.Ring[*crwire.SpreadUp]
	// session and link are set once the parent has accepted.
	session *crwire.Session
	link    uint64
}

func newDriver(cfg Config, e *crwire.Endpoint, onUpdate func(Update) error) *driver {
	d := &driver{
		endpoint: e, onUpdate: onUpdate, events: crring.New[event](eventRingSize),
		core: New(crclock.Now(), cfg), children: map[uint64]*childConn{}, parents: map[uint64]*parentConn{},
	}
	d.ctx, d.stop = context.WithCancel(context.Background())
	return d
}

// loop processes events and ticks until ctx ends, then notifies the parent and waits for all goroutines.
func (d *driver) loop(ctx context.Context) error {
	tick := time.NewTicker(BatchInterval)
	defer tick.Stop()
	for {
		select {
		case ev := <-d.events.C():
			d.handleEvent(ev)
		case <-tick.C:
			d.handleEvent(func(now time.Time, c *Core) []Output { return c.Tick(now) })
		case <-ctx.Done():
			d.leave()
			d.stop()
			d.wg.Wait()
			return nil
		}
	}
}

func (d *driver) handleEvent(ev event) {
	d.mu.Lock()
	outs := ev(crclock.Now(), d.core)
	d.mu.Unlock()
	for _, o := range outs {
		d.perform(o)
	}
}

func (d *driver) perform(o Output) {
	switch o := o.(type) {
	case SendDown:
		d.sendDown(o)
	case CloseChild:
		if c := d.child(o.Link); c != nil && !c.messages.Push(nil) {
			c.cancel()
		}
	case OpenParent:
		d.openParent(o)
	case SendUp:
		if p := d.parent(o.Link); p != nil {
			p.acks.Push(o.Message)
		}
	case CloseParent:
		if p := d.parent(o.Link); p != nil {
			p.cancel()
		}
	case Update:
		var err error
		if d.onUpdate != nil {
			err = d.onUpdate(o)
		}
		d.handleEvent(func(now time.Time, c *Core) []Output { return c.UpdateResult(now, o, err) })
	}
}

func (d *driver) sendDown(o SendDown) {
	c := d.child(o.Link)
	if c == nil {
		return
	}
	if r := o.Message.GetReply(); r != nil {
		r.Link = o.Link
	}
	if !c.messages.Push(o.Message) {
		c.cancel()
	}
}

func (d *driver) child(link uint64) *childConn {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.children[link]
}

func (d *driver) parent(link uint64) *parentConn {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.parents[link]
}

func (d *driver) status() Status {
	if d == nil {
		return Status{}
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.core.Status(crclock.Now())
}

func (d *driver) progress() Progress {
	if d == nil {
		return Progress{}
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.core.Progress(crclock.Now())
}

// register adds the RPC handlers; Run sets the driver that they use later.
func register(m *crwire.Mux, run *atomic.Pointer[driver]) {
	crwire.HandleStream(m, methodJoin, func(ctx context.Context, from *crwire.Session, j *crwire.SpreadJoin, send func(*crwire.SpreadDown) error) error {
		d := run.Load()
		if d == nil || d.ctx.Err() != nil {
			return crcode.New(crcode.Stopping, "not running")
		}
		return d.serveChild(ctx, from, j, send)
	})
	crwire.Handle(m, methodUp, func(_ context.Context, from *crwire.Session, up *crwire.SpreadUp) (*crwire.SpreadEmpty, error) {
		d := run.Load()
		if d == nil {
			return nil, crcode.New(crcode.Stopping, "not running")
		}
		if c := d.child(up.GetLink()); c == nil || c.session != from {
			return nil, crcode.New(crcode.NotFound, "no such child")
		}
		if !d.events.Push(func(now time.Time, c *Core) []Output { return c.ChildAck(now, up.GetLink(), up) }) {
			return nil, crcode.New(crcode.Overflow, "spread events")
		}
		return &crwire.SpreadEmpty{}, nil
	})
}

// serveChild sends the queued messages to the child until either side ends the link.
func (d *driver) serveChild(ctx context.Context, from *crwire.Session, j *crwire.SpreadJoin, send func(*crwire.SpreadDown) error) error {
	if j.GetName() != from.Peer().Name {
		return crcode.New(crcode.BadRequest, "the joiner is %q, the session's peer %q", j.GetName(), from.Peer().Name)
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer context.AfterFunc(d.ctx, cancel)()
	link := d.lastLink.Add(1)
	c := &childConn{session: from, messages: crring.New[*crwire.SpreadDown](childRingSize), cancel: cancel}
	d.mu.Lock()
	d.children[link] = c
	d.mu.Unlock()
	defer func() {
		d.mu.Lock()
		delete(d.children, link)
		d.mu.Unlock()
		d.events.Push(func(now time.Time, c *Core) []Output { return c.ChildLost(now, link) })
	}()
	if !d.events.Push(func(now time.Time, c *Core) []Output { return c.ChildJoin(now, link, j) }) {
		return crcode.New(crcode.Overflow, "spread events")
	}
	for {
		m, err := c.messages.Pop(ctx)
		if err != nil || m == nil {
			return nil
		}
		if err := send(m); err != nil {
			return err
		}
	}
}

// openParent sends a join request to an address and passes received messages to the core.
func (d *driver) openParent(o OpenParent) {
	ctx, cancel := context.WithCancel(d.ctx)
	p := &parentConn{cancel: cancel, acks: crring.New[*crwire.SpreadUp](ackRingSize)}
	d.mu.Lock()
	d.parents[o.Link] = p
	d.mu.Unlock()
	d.wg.Go(func() {
		defer cancel()
		d.receive(ctx, p, o)
		d.mu.Lock()
		delete(d.parents, o.Link)
		d.mu.Unlock()
		d.events.Push(func(now time.Time, c *Core) []Output { return c.ParentLost(now, o.Link) })
	})
}

func (d *driver) receive(ctx context.Context, p *parentConn, o OpenParent) {
	s, err := d.endpoint.Session(ctx, o.Address)
	if err != nil {
		return
	}
	_ = crwire.Receive(ctx, s, methodJoin, o.Join, func(m *crwire.SpreadDown) error {
		if r := m.GetReply(); r.GetVerdict() == verdictAccepted && p.session == nil {
			d.mu.Lock()
			p.session, p.link = s, r.GetLink()
			d.mu.Unlock()
			d.wg.Go(func() { d.sendAcks(ctx, p) })
		}
		d.events.Push(func(now time.Time, c *Core) []Output { return c.ParentMessage(now, o.Link, m) })
		return nil
	})
}

// sendAcks sends queued acknowledgements in order; a failure ends the link.
func (d *driver) sendAcks(ctx context.Context, p *parentConn) {
	defer p.cancel()
	for {
		up, err := p.acks.Pop(ctx)
		if err != nil {
			return
		}
		if err := sendAck(ctx, p, up, callTimeout); err != nil {
			return
		}
	}
}

func sendAck(ctx context.Context, p *parentConn, up *crwire.SpreadUp, limit time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	up.Link = p.link
	_, err := crwire.Call[crwire.SpreadEmpty](ctx, p.session, methodUp, up)
	return err
}

// leave notifies the parent that this process stops.
func (d *driver) leave() {
	d.mu.Lock()
	outs := d.core.Leave(crclock.Now())
	d.mu.Unlock()
	for _, o := range outs {
		if up, ok := o.(SendUp); ok {
			p := d.parent(up.Link)
			d.mu.Lock()
			ready := p != nil && p.session != nil
			d.mu.Unlock()
			if ready {
				_ = sendAck(d.ctx, p, up.Message, leaveTimeout)
			}
		}
	}
}
