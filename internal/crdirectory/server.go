package crdirectory

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/citronramp/citronramp/internal/crpause"
	"github.com/citronramp/citronramp/internal/crring"
	"github.com/citronramp/citronramp/internal/crwire"
	"github.com/citronramp/citronramp/pkg/crcode"
)

// RPC methods of the directory.
const (
	methodAnnounce = "directory.announce"
	methodRenew    = "directory.renew"
	methodLeave    = "directory.leave"
	methodNotice   = "directory.notice"
	methodWatch    = "directory.watch"
	methodExchange = "directory.exchange"
)

// linkQueueSize bounds the messages queued for one watcher or peer. When the queue is full, the link is closed; the
// other side reconnects and receives the full state.
const linkQueueSize = 1024

// Server runs the directory of a control instance. Set the exported fields, then call Register and Run.
type Server struct {
	// Name is the name of this control instance.
	Name string
	// Peers are the addresses of the other control instances.
	Peers []string
	// Endpoint dials the peers.
	Endpoint *crwire.Endpoint
	// InitialNotices are the notices that the directory has at its start.
	InitialNotices []*crwire.DirectoryNotice

	running atomic.Bool
	ids     atomic.Uint64
	mu      sync.Mutex
	core    *Core
	links   map[uint64]*serverLink
	// exchangeStreams counts the exchange streams from each peer, because a new one may start before the old one has
	// ended.
	exchangeStreams map[string]int
}

// serverLink queues messages for one watcher or peer.
type serverLink struct {
	ring   *crring.Ring[proto.Message]
	cancel context.CancelFunc
}

// Register adds the handlers of the directory. Call it before the first session of the endpoint.
func (s *Server) Register(m *crwire.Mux) {
	crwire.Handle(m, methodAnnounce, func(_ context.Context, from *crwire.Session, e *crwire.DirectoryEntry) (*crwire.DirectoryVerdict, error) {
		if err := checkSender(from, e.GetNode()); err != nil {
			return nil, err
		}
		return withCore(s, func(now time.Time, c *Core) (*crwire.DirectoryVerdict, []Output, error) {
			v, err := c.Announce(now, e)
			return v, nil, err
		})
	})
	crwire.Handle(m, methodRenew, func(_ context.Context, from *crwire.Session, r *crwire.DirectoryRenew) (*crwire.DirectoryEmpty, error) {
		if err := checkSender(from, r.GetNode()); err != nil {
			return nil, err
		}
		return withCore(s, func(now time.Time, c *Core) (*crwire.DirectoryEmpty, []Output, error) {
			return &crwire.DirectoryEmpty{}, nil, c.Renew(now, r)
		})
	})
	crwire.Handle(m, methodLeave, func(_ context.Context, from *crwire.Session, l *crwire.DirectoryLeave) (*crwire.DirectoryEmpty, error) {
		if err := checkSender(from, l.GetNode()); err != nil {
			return nil, err
		}
		return withCore(s, func(now time.Time, c *Core) (*crwire.DirectoryEmpty, []Output, error) {
			return &crwire.DirectoryEmpty{}, nil, c.Leave(now, l)
		})
	})
	crwire.Handle(m, methodNotice, func(_ context.Context, _ *crwire.Session, n *crwire.DirectoryNotice) (*crwire.DirectoryEmpty, error) {
		return withCore(s, func(now time.Time, c *Core) (*crwire.DirectoryEmpty, []Output, error) {
			outs, err := c.Publish(now, n)
			return &crwire.DirectoryEmpty{}, outs, err
		})
	})
	crwire.HandleStream(m, methodWatch, s.serveWatch)
	crwire.HandleStream(m, methodExchange, s.serveExchange)
}

// checkSender returns an error for a message about a node that is not the peer of the session.
func checkSender(from *crwire.Session, node string) error {
	if from.Peer().Name != node {
		return crcode.New(crcode.BadRequest, "the message is about %q, the session's peer is %q", node, from.Peer().Name)
	}
	return nil
}

// withCore calls fn with the core under the lock and queues the outputs.
func withCore[T any](s *Server, fn func(now time.Time, c *Core) (T, []Output, error)) (T, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.running.Load() {
		var zero T
		return zero, crcode.New(crcode.Stopping, "not running")
	}
	v, outs, err := fn(time.Now(), s.core)
	s.deliver(outs)
	return v, err
}

// deliver queues outputs on their links. It does not block, so the caller may hold the lock.
func (s *Server) deliver(outs []Output) {
	for _, o := range outs {
		var (
			link uint64
			m    proto.Message
		)
		switch o := o.(type) {
		case ToPeer:
			link, m = o.Link, o.Message
		case ToWatcher:
			link, m = o.Link, o.Message
		}
		if l := s.links[link]; l != nil && !l.ring.Push(m) {
			l.cancel()
		}
	}
}

// serveLink sends the messages of a new link until it ends. start and end are called with the core under the lock.
func (s *Server) serveLink(ctx context.Context, send func(proto.Message) error, start func(now time.Time, c *Core, link uint64) ([]Output, error), end func(c *Core, link uint64)) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	id := s.ids.Add(1)
	l := &serverLink{ring: crring.New[proto.Message](linkQueueSize), cancel: cancel}
	if _, err := withCore(s, func(now time.Time, c *Core) (struct{}, []Output, error) {
		s.links[id] = l
		outs, err := start(now, c, id)
		if err != nil {
			delete(s.links, id)
		}
		return struct{}{}, outs, err
	}); err != nil {
		return err
	}
	defer func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		delete(s.links, id)
		end(s.core, id)
	}()
	for {
		m, err := l.ring.Pop(ctx)
		if err != nil {
			return crcode.New(crcode.Stopping, "link ended")
		}
		if err := send(m); err != nil {
			return err
		}
	}
}

func (s *Server) serveWatch(ctx context.Context, from *crwire.Session, w *crwire.DirectoryWatch, send func(*crwire.DirectoryUpdate) error) error {
	if err := checkSender(from, w.GetNode()); err != nil {
		return err
	}
	return s.serveLink(ctx, func(m proto.Message) error { return send(m.(*crwire.DirectoryUpdate)) },
		func(now time.Time, c *Core, link uint64) ([]Output, error) { return c.Watch(now, link, w) },
		func(c *Core, link uint64) { c.Unwatch(link) })
}

func (s *Server) serveExchange(ctx context.Context, from *crwire.Session, _ *crwire.DirectoryHello, send func(*crwire.DirectoryExchange) error) error {
	return s.serveLink(ctx, func(m proto.Message) error { return send(m.(*crwire.DirectoryExchange)) },
		func(now time.Time, c *Core, link uint64) ([]Output, error) {
			return c.SubscribePeer(now, link, from.Peer().Name), nil
		},
		func(c *Core, link uint64) { c.UnsubscribePeer(link) })
}

// Run serves the directory until ctx ends.
func (s *Server) Run(ctx context.Context) error {
	s.mu.Lock()
	now := time.Now()
	s.core = New(now, Config{Name: s.Name})
	for _, n := range s.InitialNotices {
		s.core.storeNotice(now, n)
	}
	s.links, s.exchangeStreams = map[uint64]*serverLink{}, map[string]int{}
	s.running.Store(true)
	s.mu.Unlock()
	var wg sync.WaitGroup
	for _, addr := range s.Peers {
		wg.Go(func() { s.Follow(ctx, addr) })
	}
	tick := time.NewTicker(ExchangeInterval)
	defer tick.Stop()
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
		case <-tick.C:
			s.mu.Lock()
			s.deliver(s.core.Tick(time.Now()))
			s.mu.Unlock()
		}
	}
	s.running.Store(false)
	s.mu.Lock()
	for _, l := range s.links {
		l.cancel()
	}
	s.mu.Unlock()
	wg.Wait()
	return nil
}

// Follow receives the exchange of one peer and reconnects until ctx ends. A control instance that discovers its peers
// at run time calls Follow for each instead of setting Peers.
func (s *Server) Follow(ctx context.Context, addr string) {
	for failures := 0; ctx.Err() == nil; failures++ {
		if session, err := s.Endpoint.Session(ctx, addr); err == nil {
			s.receive(ctx, session)
			failures = 0
		}
		// The loop condition checks ctx.
		_ = crpause.For(ctx, backoff(failures))
	}
}

func (s *Server) receive(ctx context.Context, session *crwire.Session) {
	peer := session.Peer().Name
	s.mu.Lock()
	s.exchangeStreams[peer]++
	s.mu.Unlock()
	_ = crwire.Receive(ctx, session, methodExchange, &crwire.DirectoryHello{Name: s.Name}, func(m *crwire.DirectoryExchange) error {
		_, err := withCore(s, func(now time.Time, c *Core) (struct{}, []Output, error) {
			return struct{}{}, c.PeerMessage(now, peer, m), nil
		})
		return err
	})
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.exchangeStreams[peer]--; s.exchangeStreams[peer] == 0 {
		s.core.PeerLost(time.Now(), peer)
	}
}

// Loaded reports whether the directory holds its initial notices. It stays true after Run.
func (s *Server) Loaded() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.core != nil
}

// StoreNotice stores a notice in memory and sends it to the peers and watchers. A nil result means that the directory
// holds this version or a later one.
func (s *Server) StoreNotice(n *crwire.DirectoryNotice) error {
	_, err := withCore(s, func(now time.Time, c *Core) (struct{}, []Output, error) {
		outs, err := c.Publish(now, n)
		if held := c.notices[n.GetService()][n.GetKey()]; err == nil && (held == nil || held.GetVersion() < n.GetVersion()) {
			err = crcode.New(crcode.Overflow, "no room for notice %q", n.GetKey())
		}
		return struct{}{}, outs, err
	})
	return err
}

// Members returns all entries, sorted by node name, and whether the directory is settled, so that a missing server is
// known to be gone. The entries must not be modified.
func (s *Server) Members() (entries []*crwire.DirectoryEntry, settled bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.core == nil {
		return nil, false
	}
	return s.core.Members(), s.core.Settled()
}

// Notices returns all notices with their remaining lifetimes.
func (s *Server) Notices() []*crwire.DirectoryNotice {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.core == nil {
		return nil
	}
	return s.core.Notices(time.Now())
}

// NoticesAccepted returns the number of notices accepted since the start, from nodes and from other control
// instances.
func (s *Server) NoticesAccepted() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.core == nil {
		return 0
	}
	return s.core.counts.Notices
}

// Status returns the state for dumps.
func (s *Server) Status() Status {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.core == nil {
		return Status{Name: s.Name}
	}
	return s.core.Status()
}
