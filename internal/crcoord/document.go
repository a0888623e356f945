package crcoord

import (
	"context"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/citronramp/citronramp/internal/crdocument"
	"github.com/citronramp/citronramp/internal/crevent"
	"github.com/citronramp/citronramp/internal/crpause"
	"github.com/citronramp/citronramp/internal/crwire"
	"github.com/citronramp/citronramp/pkg/crclock"
	"github.com/citronramp/citronramp/pkg/crcode"
	"github.com/citronramp/citronramp/pkg/crlog"
)

// Methods of a coordinator; nodes call the exported ones.
const (
	MethodHello = "core.hello"
	MethodWatch = "document.watch"
	MethodHints = "route.hints"
	methodPut   = "document.put"
	methodRead  = "document.read"
)

// Times of the feed.
const (
	// FeedInterval is the time between messages of a feed without news.
	FeedInterval = 500 * time.Millisecond
	// commandTimeout bounds an operator's change or read; operators try another coordinator after a second.
	commandTimeout = 900 * time.Millisecond
	// standingInterval is the time between looks whether the version is still confirmed; nodes that start without a document
	// wait for that, so it is short beside the time of an election.
	standingInterval = 50 * time.Millisecond
	// retryPause is the wait before a command looks for the leader again.
	retryPause = 20 * time.Millisecond
)

func (c *Coordinator) register() {
	mux := c.endpoint.Mux
	crwire.Handle(mux, MethodHello, c.handleHello)
	crwire.Handle(mux, MethodHints, c.handleHints)
	crwire.Handle(mux, methodPut, func(ctx context.Context, _ *crwire.Session, p *crwire.DocumentPut) (*crwire.DocumentVerdict, error) {
		return c.propose(ctx, p.GetDocument())
	})
	crwire.Handle(mux, methodRead, func(ctx context.Context, _ *crwire.Session, _ *crwire.DocumentRead) (*crwire.Document, error) {
		return c.read(ctx)
	})
	crwire.HandleStream(mux, MethodWatch, c.serveFeed)
}

// Put proposes a document and returns the verdict. The code NoLeader means that the document was not taken,
// CommandUnknown that it may be accepted yet.
func (c *Coordinator) Put(ctx context.Context, d *crwire.Document) (crdocument.Verdict, uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, commandTimeout)
	defer cancel()
	v, err := atLeader(ctx, c, c.propose, methodPut, d, &crwire.DocumentPut{Document: d})
	now := time.Now()
	if err != nil {
		c.Log.Emit(now, crevent.State, crevent.ConfigUnclear, crevent.KeyVersion, d.GetVersion(), crevent.KeyBase, d.GetBase(), crevent.KeyError, err)
		return 0, 0, err
	}
	verdict := crdocument.Verdict(v.GetVerdict())
	event := crevent.ConfigRefused
	if verdict == crdocument.Accepted || verdict == crdocument.Repeated {
		event = crevent.ConfigAccepted
	}
	c.Log.Emit(now, crevent.State, event, crevent.KeyVersion, d.GetVersion(), crevent.KeyBase, d.GetBase(), crevent.KeyOutcome, verdict,
		crevent.KeyDetail, v.GetCurrent())
	return verdict, v.GetCurrent(), nil
}

// Newest returns the newest document; a coordinator that cannot be sure fails.
func (c *Coordinator) Newest(ctx context.Context) (*crwire.Document, error) {
	ctx, cancel := context.WithTimeout(ctx, commandTimeout)
	defer cancel()
	return atLeader(ctx, c, func(ctx context.Context, _ *crwire.DocumentRead) (*crwire.Document, error) { return c.read(ctx) },
		methodRead, &crwire.DocumentRead{}, &crwire.DocumentRead{})
}

// message is a pointer to a generated message.
type message[T any] interface {
	*T
	proto.Message
}

// atLeader runs a command here when this coordinator leads, otherwise at the leader, and looks for a leader until ctx
// ends. An outcome that is unknown ends it: the command may have been taken.
func atLeader[In any, T any, P message[T]](ctx context.Context, c *Coordinator, local func(context.Context, In) (P, error), method string, in In, remote proto.Message) (P, error) {
	for {
		out, err := attempt[In, T, P](ctx, c, local, method, in, remote)
		if err == nil || crcode.Of(err).Outcome() == crcode.Unknown {
			return out, err
		}
		if crpause.For(ctx, retryPause) != nil {
			return nil, err
		}
	}
}

func attempt[In any, T any, P message[T]](ctx context.Context, c *Coordinator, local func(context.Context, In) (P, error), method string, in In, remote proto.Message) (P, error) {
	st := c.replica.Status()
	if st.Role == crlog.Leader {
		return local(ctx, in)
	}
	leader := st.LeaderAddress
	if leader == "" || leader == c.Settings.Address {
		leader = c.peers.leaderHint()
	}
	if leader == "" {
		return nil, crcode.New(crcode.NoLeader, "no leader is known")
	}
	s, err := c.endpoint.Session(ctx, leader)
	if err != nil {
		return nil, err
	}
	return crwire.Call[T, P](ctx, s, method, remote)
}

func (c *Coordinator) propose(ctx context.Context, d *crwire.Document) (*crwire.DocumentVerdict, error) {
	data, err := crdocument.Encode(d)
	if err != nil {
		return nil, err
	}
	result, _, _, err := c.replica.Propose(ctx, data)
	if err != nil {
		return nil, err
	}
	v, ok := result.(*crwire.DocumentVerdict)
	if !ok {
		return nil, crcode.New(crcode.Internal, "the document machine gave no verdict")
	}
	return v, nil
}

func (c *Coordinator) read(ctx context.Context) (*crwire.Document, error) {
	if c.replica.Status().Role != crlog.Leader {
		return nil, crcode.New(crcode.NoLeader, "this coordinator does not lead")
	}
	began := time.Now()
	index, err := c.replica.ReadIndex(ctx)
	if err != nil {
		return nil, err
	}
	d, _ := c.machine.Current()
	now := time.Now()
	c.Log.Emit(now, crevent.State, crevent.ConfigRead, crevent.KeyVersion, d.GetVersion(), crevent.KeyMember, c.replica.ID,
		crevent.KeyTerm, c.replica.Status().Term, crevent.KeyIndex, index, crevent.KeyTook, now.Sub(began))
	return d, nil
}

// confirmed reports whether this coordinator is a member that holds all that was acknowledged until lately.
func (c *Coordinator) confirmed() bool { return c.confirmation.Valid(crclock.Now()) }

// standing tells whether this coordinator is confirmed.
type standing struct {
	confirmed bool
	// changed is closed when that is no longer so.
	changed chan struct{}
}

// standingLoop tells the feeds when the coordinator becomes confirmed or is no longer.
func (c *Coordinator) standingLoop(ctx context.Context) {
	tick := time.NewTicker(standingInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			old := c.standing.Load()
			if now := c.confirmed(); now != old.confirmed {
				c.standing.Store(&standing{confirmed: now, changed: make(chan struct{})})
				close(old.changed)
			}
		}
	}
}

// fill puts a document into a message for a node that has another version. Packed, one change of a large configuration costs
// hundreds of nodes little, and its coordinator one packing.
func (c *Coordinator) fill(feed *crwire.DocumentFeed, d *crwire.Document, have uint64, packed bool) (err error) {
	if !packed {
		feed.Document = d
		return nil
	}
	feed.Packed, err = c.shelf.Packed(have, d)
	return err
}

// serveFeed sends each new document to a node, and regularly and on changes whether the version is confirmed. It is so only once a
// leader has been asked since the node came: a coordinator that was suspended must not begin with what it had before.
func (c *Coordinator) serveFeed(ctx context.Context, _ *crwire.Session, w *crwire.DocumentWatch, send func(*crwire.DocumentFeed) error) error {
	have, came := w.GetHave(), crclock.Now()
	c.confirmation.Hurry()
	tick := time.NewTicker(FeedInterval)
	defer tick.Stop()
	for {
		st, renewed := c.standing.Load(), c.confirmation.Renewed()
		confirmed := c.confirmation.Since(crclock.Now(), came)
		if confirmed {
			renewed = nil
		}
		d, changed := c.machine.Current()
		feed := &crwire.DocumentFeed{Confirmed: confirmed, Version: d.GetVersion(), Voters: c.memberAddresses()}
		if d.GetVersion() > have {
			if err := c.fill(feed, d, have, w.GetPacked()); err != nil {
				return err
			}
			have = d.GetVersion()
		}
		if err := send(feed); err != nil {
			return err
		}
		select {
		case <-ctx.Done():
			return crcode.New(crcode.Stopping, "the feed has ended")
		case <-changed:
		case <-renewed:
		case <-st.changed:
		case <-tick.C:
		}
	}
}
