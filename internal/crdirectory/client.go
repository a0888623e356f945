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

// Times of a node's part.
const (
	callLimit = 2 * time.Second
	// backoffBase and backoffMax bound reconnects: the 1,430 nodes of a lost control instance reach the next one within
	// a second, and after the loss of all they make about 570 rounds a second in the mean.
	backoffBase = time.Second
	backoffMax  = 5 * time.Second
	leaveLimit  = 500 * time.Millisecond
	noticeRing  = 256
)

// Client announces a node and watches services; set the exported fields, then call Run.
type Client struct {
	// Controls are the addresses of the control instances, the preferred one first.
	Controls []string
	// Endpoint dials them; its identity's name is the node's name.
	Endpoint *crwire.Endpoint
	// OnSubset is told the whole subset of a service whenever it changed; it must not block or modify the entries.
	OnSubset func(service string, servers []*crwire.DirectoryEntry)
	// OnNotice is told of each new notice of the watched services.
	OnNotice func(*crwire.DirectoryNotice)
	// OnEntrances is told of each new list of entrances.
	OnEntrances func([]string)

	mu       sync.Mutex
	entry    *crwire.DirectoryEntry
	accepted bool
	watches  []string
	notices  []string
	subsets  map[string]map[string]*crwire.DirectoryEntry
	control  string
	outbox   *crring.Ring[*crwire.DirectoryNotice]
	// announced and watched wake the duties when the entry or the watches change.
	announced, watched chan struct{}
}

// init makes the parts that methods use before and during Run; the lock is held.
func (c *Client) init() {
	if c.outbox == nil {
		c.outbox = crring.New[*crwire.DirectoryNotice](noticeRing)
		c.announced, c.watched = make(chan struct{}, 1), make(chan struct{}, 1)
		c.subsets = map[string]map[string]*crwire.DirectoryEntry{}
	}
}

// Announce sets what the node announces; generation is set on the first call to the creation time of the incarnation.
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
	wake(c.announced)
}

// SetLoad sets the load that the next renewal carries.
func (c *Client) SetLoad(load uint32) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.entry != nil {
		c.entry.Load = load
	}
}

// Watch sets the services whose subsets and the services whose notices the node needs.
func (c *Client) Watch(services, notices []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.init()
	c.watches, c.notices = slices.Clone(services), slices.Clone(notices)
	for service := range c.subsets {
		if !slices.Contains(services, service) {
			delete(c.subsets, service)
		}
	}
	wake(c.watched)
}

// Publish queues a notice; it reports false when too many wait.
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

// Run announces, renews and watches until ctx ends, then tells the directory that the node has left.
func (c *Client) Run(ctx context.Context) error {
	c.mu.Lock()
	c.init()
	c.mu.Unlock()
	for failures, i := 0, 0; ctx.Err() == nil; i++ {
		addr := c.Controls[i%len(c.Controls)]
		if session, err := c.Endpoint.Session(ctx, addr); err == nil {
			if c.Attach(ctx, session, addr) {
				if ctx.Err() != nil {
					c.leave(session)
				}
				// The next round starts with the preferred control instance.
				failures, i = 0, len(c.Controls)-1
			}
		}
		if i%len(c.Controls) == len(c.Controls)-1 {
			// The loop looks at ctx itself.
			_ = crpause.For(ctx, backoff(failures))
			failures++
		}
	}
	return nil
}

// Attach does the node's duties at one control instance until one of them fails or run ends; it reports whether the
// first announcement was accepted. A caller that chooses the control instances itself uses it in place of Run.
func (c *Client) Attach(run context.Context, s *crwire.Session, addr string) bool {
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
	for _, duty := range []func(context.Context, *crwire.Session) error{c.renewAll, c.watchAll, c.publishAll} {
		wg.Go(func() {
			defer cancel()
			_ = duty(ctx, s)
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

// announce sends the entry. A node that no directory has accepted yet raises its generation above an older one, so that
// a clock that was set back does not keep a restarted node out; after that, a stale verdict stands.
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
	ctx, cancel := context.WithTimeout(ctx, callLimit)
	defer cancel()
	return crwire.Call[T, P](ctx, s, method, m)
}

// renewAll renews with jitter and announces changes at once.
func (c *Client) renewAll(ctx context.Context, s *crwire.Session) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-c.announced:
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

// renewDelay spreads renewals over a fifth of the interval on both sides.
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

// leave ends the entry; when the message is lost, the lease ends it.
func (c *Client) leave(s *crwire.Session) {
	c.mu.Lock()
	if c.entry == nil {
		c.mu.Unlock()
		return
	}
	l := &crwire.DirectoryLeave{Node: c.entry.GetNode(), Incarnation: c.entry.GetIncarnation(), Sequence: c.entry.GetSequence() + 1}
	c.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), leaveLimit)
	defer cancel()
	_, _ = crwire.Call[crwire.DirectoryEmpty](ctx, s, methodLeave, l)
}

// publishAll sends queued notices in order.
func (c *Client) publishAll(ctx context.Context, s *crwire.Session) error {
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

// watchAll keeps the watch open and starts it again when the watches change.
func (c *Client) watchAll(ctx context.Context, s *crwire.Session) error {
	for {
		wctx, cancel := context.WithCancel(ctx)
		var wg sync.WaitGroup
		var err error
		wg.Go(func() {
			defer cancel()
			err = crwire.Receive(wctx, s, methodWatch, c.watchMessage(), c.takeUpdate)
		})
		select {
		case <-c.watched:
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
	w := &crwire.DirectoryWatch{Node: c.Endpoint.Identity.Self.Name, Domain: c.entry.GetDomain(), Notices: c.notices}
	for _, service := range c.watches {
		w.Services = append(w.Services, &crwire.DirectoryWatched{
			Service: service, Digest: SubsetDigest(slices.Collect(maps.Values(c.subsets[service]))),
		})
	}
	return w
}

// takeUpdate applies an update and tells the callbacks.
func (c *Client) takeUpdate(u *crwire.DirectoryUpdate) error {
	for _, sub := range u.GetSubsets() {
		if servers, ok := c.takeSubset(sub); ok && c.OnSubset != nil {
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

// takeSubset applies the change of a subset. One from a directory that is not settled only adds servers, since those
// that it lacks may not have reached it yet.
func (c *Client) takeSubset(sub *crwire.DirectorySubset) ([]*crwire.DirectoryEntry, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !slices.Contains(c.watches, sub.GetService()) {
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

func wake(ch chan struct{}) {
	select {
	case ch <- struct{}{}:
	default:
	}
}
