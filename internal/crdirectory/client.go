package crdirectory

import (
	"context"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/citronramp/citronramp/internal/crpause"
	"github.com/citronramp/citronramp/internal/crring"
	"github.com/citronramp/citronramp/internal/crwire"
	"github.com/citronramp/citronramp/pkg/crcode"
)

// Times and sizes of a client.
const (
	callTimeout = 2 * time.Second
	// backoffBase and backoffMax bound the delay of reconnects: the 1,430 nodes of a lost control instance reach the
	// next one within a second, and after the loss of all instances they make about 570 rounds of attempts a second
	// on average.
	backoffBase     = time.Second
	backoffMax      = 5 * time.Second
	leaveTimeout    = 500 * time.Millisecond
	noticeQueueSize = 256
)

// Client announces a node and watches services. Set the exported fields, then call Run.
type Client struct {
	// Controls are the addresses of the control instances, the preferred one first.
	Controls []string
	// Endpoint dials the control instances; the name in its identity is the name of the node.
	Endpoint *crwire.Endpoint
	// OnSubset is called with the whole subset of a service when it changes. It must not block or modify the entries.
	OnSubset func(service string, servers []*crwire.DirectoryEntry)
	// OnNotice is called with each new notice of the watched services.
	OnNotice func(*crwire.DirectoryNotice)
	// OnEntrances is called with each new list of entrances, the addresses for external callers.
	OnEntrances func([]string)

	mu              sync.Mutex
	entry           *crwire.DirectoryEntry
	accepted        bool
	watchedServices []string
	noticeServices  []string
	subsets         map[string]map[string]*crwire.DirectoryEntry
	control         string
	outbox          *crring.Ring[*crwire.DirectoryNotice]
	// entryChanged and watchChanged wake the loops when the entry or the watched services change.
	entryChanged, watchChanged chan struct{}
}

// init creates the fields that the methods use before and during Run. The caller holds the lock.
func (c *Client) init() {
	if c.outbox == nil {
		c.outbox = crring.New[*crwire.DirectoryNotice](noticeQueueSize)
		c.entryChanged, c.watchChanged = make(chan struct{}, 1), make(chan struct{}, 1)
		c.subsets = map[string]map[string]*crwire.DirectoryEntry{}
	}
}

// Announce sets the entry of the node. The first call sets its generation to the current time unless it has one;
// later calls keep the generation.
func (c *Client) Announce(e *crwire.DirectoryEntry) {
	e = proto.Clone(e).(*crwire.DirectoryEntry)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.init()
	if c.entry != nil {
		e.Generation, e.Sequence = c.entry.GetGeneration(), c.entry.GetSequence()
	}
	if e.Generation == 0 {
		e.Generation = uint64(time.Now().UnixMilli())
	}
	e.Sequence++
	c.entry = e
	signal(c.entryChanged)
}

// SetLoad sets the load that the next renewal reports.
func (c *Client) SetLoad(load uint32) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.entry != nil {
		c.entry.Load = load
	}
}

// Watch sets the services whose subsets the node receives and the services whose notices it receives.
func (c *Client) Watch(services, notices []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.init()
	c.watchedServices, c.noticeServices = slices.Clone(services), slices.Clone(notices)
	for service := range c.subsets {
		if !slices.Contains(services, service) {
			delete(c.subsets, service)
		}
	}
	signal(c.watchChanged)
}

// Publish queues a notice. It returns false when the queue is full.
func (c *Client) Publish(n *crwire.DirectoryNotice) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.init()
	return c.outbox.Push(n)
}

// Control returns the address of the control instance in use, empty when there is none.
func (c *Client) Control() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.control
}

// Run announces, renews and watches until ctx ends, then removes the node from the directory.
func (c *Client) Run(ctx context.Context) error {
	c.mu.Lock()
	c.init()
	c.mu.Unlock()
	for failures, i := 0, 0; ctx.Err() == nil; i++ {
		addr := c.Controls[i%len(c.Controls)]
		if session, err := c.Endpoint.Session(ctx, addr); err == nil {
			if c.RunOnSession(ctx, session, addr) {
				if ctx.Err() != nil {
					c.leave(session)
				}
				// The next attempt starts with the preferred control instance.
				failures, i = 0, len(c.Controls)-1
			}
		}
		if i%len(c.Controls) == len(c.Controls)-1 {
			// The loop condition checks ctx.
			_ = crpause.For(ctx, backoff(failures))
			failures++
		}
	}
	return nil
}

// RunOnSession announces, renews, watches and publishes at one control instance until one of these fails or run ends. It
// reports whether the first announcement was accepted. Callers that choose the control instance themselves use it
// instead of Run.
func (c *Client) RunOnSession(run context.Context, s *crwire.Session, addr string) bool {
	c.mu.Lock()
	c.init()
	c.mu.Unlock()
	ctx, cancel := context.WithCancel(run)
	defer cancel()
	if err := c.announce(ctx, s); err != nil {
		return false
	}
	c.setControl(addr)
	defer c.setControl("")
	var wg sync.WaitGroup
	for _, loop := range []func(context.Context, *crwire.Session) error{c.renewLoop, c.watchLoop, c.publishLoop} {
		wg.Go(func() {
			defer cancel()
			_ = loop(ctx, s)
		})
	}
	<-ctx.Done()
	wg.Wait()
	return true
}

func (c *Client) setControl(addr string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.control = addr
}

// announce sends the entry. As long as no directory has accepted the node, it raises its generation above that of an
// older incarnation, so that a clock that was set back does not exclude a restarted node. Afterwards a stale verdict
// is an error.
func (c *Client) announce(ctx context.Context, s *crwire.Session) error {
	for {
		c.mu.Lock()
		if c.entry == nil {
			c.mu.Unlock()
			return nil
		}
		c.entry.Sequence++
		e := proto.Clone(c.entry).(*crwire.DirectoryEntry)
		c.mu.Unlock()
		v, err := call[crwire.DirectoryVerdict](ctx, s, methodAnnounce, e)
		if err != nil {
			return err
		}
		c.mu.Lock()
		if !v.GetStale() {
			c.accepted = true
			c.mu.Unlock()
			return nil
		}
		if c.accepted {
			c.mu.Unlock()
			return crcode.New(crcode.StaleIncarnation, "a newer incarnation of %q is announced", e.GetNode())
		}
		c.entry.Generation = v.GetGeneration() + 1
		c.mu.Unlock()
	}
}

func call[T any, P interface {
	*T
	proto.Message
}](ctx context.Context, s *crwire.Session, method string, m proto.Message) (P, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return crwire.Call[T, P](ctx, s, method, m)
}

// renewLoop renews the lease with jitter and announces changes immediately.
func (c *Client) renewLoop(ctx context.Context, s *crwire.Session) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-c.entryChanged:
			if err := c.announce(ctx, s); err != nil {
				return err
			}
		case <-time.After(renewDelay()):
			if err := c.renew(ctx, s); err != nil {
				return err
			}
		}
	}
}

// renewDelay returns RenewInterval with a jitter of a fifth in both directions.
func renewDelay() time.Duration {
	return RenewInterval*4/5 + rand.N(RenewInterval*2/5)
}

func (c *Client) renew(ctx context.Context, s *crwire.Session) error {
	c.mu.Lock()
	if c.entry == nil {
		c.mu.Unlock()
		return nil
	}
	c.entry.Sequence++
	r := &crwire.DirectoryRenew{
		Node: c.entry.GetNode(), Incarnation: c.entry.GetIncarnation(), Sequence: c.entry.GetSequence(), Load: c.entry.GetLoad(),
	}
	c.mu.Unlock()
	_, err := call[crwire.DirectoryEmpty](ctx, s, methodRenew, r)
	if crcode.Of(err) == crcode.NotFound {
		return c.announce(ctx, s)
	}
	return err
}

// leave removes the entry. If the message is lost, the entry expires with its lease.
func (c *Client) leave(s *crwire.Session) {
	c.mu.Lock()
	if c.entry == nil {
		c.mu.Unlock()
		return
	}
	l := &crwire.DirectoryLeave{Node: c.entry.GetNode(), Incarnation: c.entry.GetIncarnation(), Sequence: c.entry.GetSequence() + 1}
	c.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), leaveTimeout)
	defer cancel()
	_, _ = crwire.Call[crwire.DirectoryEmpty](ctx, s, methodLeave, l)
}

// publishLoop sends queued notices. A notice that could not be sent is queued again.
func (c *Client) publishLoop(ctx context.Context, s *crwire.Session) error {
	for {
		n, err := c.outbox.Pop(ctx)
		if err != nil {
			return nil
		}
		if _, err := call[crwire.DirectoryEmpty](ctx, s, methodNotice, n); err != nil && crcode.Of(err) != crcode.BadRequest {
			c.outbox.Push(n)
			return err
		}
	}
}

// watchLoop keeps the watch stream open and restarts it when the watched services change.
func (c *Client) watchLoop(ctx context.Context, s *crwire.Session) error {
	for {
		wctx, cancel := context.WithCancel(ctx)
		var wg sync.WaitGroup
		var err error
		wg.Go(func() {
			defer cancel()
			err = crwire.Receive(wctx, s, methodWatch, c.watchMessage(), c.applyUpdate)
		})
		select {
		case <-c.watchChanged:
			cancel()
			wg.Wait()
		case <-wctx.Done():
			wg.Wait()
			cancel()
			return err
		}
	}
}

func (c *Client) watchMessage() *crwire.DirectoryWatch {
	c.mu.Lock()
	defer c.mu.Unlock()
	w := &crwire.DirectoryWatch{Node: c.Endpoint.Identity.Self.Name, Domain: c.entry.GetDomain(), Notices: c.noticeServices}
	for _, service := range c.watchedServices {
		w.Services = append(w.Services, &crwire.DirectoryWatched{
			Service: service, Digest: SubsetDigest(slices.Collect(maps.Values(c.subsets[service]))),
		})
	}
	return w
}

// applyUpdate applies an update and calls the callbacks.
func (c *Client) applyUpdate(u *crwire.DirectoryUpdate) error {
	for _, sub := range u.GetSubsets() {
		if servers, ok := c.applySubset(sub); ok && c.OnSubset != nil {
			c.OnSubset(sub.GetService(), servers)
		}
	}
	for _, n := range u.GetNotices() {
		if c.OnNotice != nil {
			c.OnNotice(n)
		}
	}
	if len(u.GetEntrances()) > 0 && c.OnEntrances != nil {
		c.OnEntrances(u.GetEntrances())
	}
	return nil
}

// applySubset applies a change of a subset and returns the new subset. A directory that is not settled only adds
// servers, because the servers that it lacks may not have reached it yet.
func (c *Client) applySubset(sub *crwire.DirectorySubset) ([]*crwire.DirectoryEntry, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !slices.Contains(c.watchedServices, sub.GetService()) {
		return nil, false
	}
	held := c.subsets[sub.GetService()]
	if held == nil || sub.GetFull() && sub.GetSettled() {
		held = map[string]*crwire.DirectoryEntry{}
		c.subsets[sub.GetService()] = held
	}
	for _, e := range sub.GetChanged() {
		held[e.GetNode()] = e
	}
	if sub.GetSettled() {
		for _, name := range sub.GetRemoved() {
			delete(held, name)
		}
	}
	return slices.SortedFunc(maps.Values(held), func(a, b *crwire.DirectoryEntry) int {
		if a.GetNode() < b.GetNode() {
			return -1
		}
		return 1
	}), true
}

// backoff returns a random delay within a window that doubles with each failure.
func backoff(failures int) time.Duration {
	window := backoffMax
	if failures < 3 {
		window = min(backoffBase<<failures, backoffMax)
	}
	return rand.N(window)
}

func signal(ch chan struct{}) {
	select {
	case ch <- struct{}{}:
	default:
	}
}
