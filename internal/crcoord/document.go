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

// RPC methods of a coordinator. Nodes call the exported ones.
const (
	MethodHello = "core.hello"
	MethodWatch = "document.watch"
	MethodHints = "route.hints"
	// MethodFreshness returns the newest version as confirmed after the request arrived.
	MethodFreshness = "document.freshness"
	methodPut       = "document.put"
	methodRead      = "document.read"
)

// Times of the document stream and of operators' commands.
const (
	// FeedInterval is the time between messages of a document stream while nothing changes.
	FeedInterval = 500 * time.Millisecond
	// commandTimeout bounds an operator's change or read; operators try another coordinator after a second.
	commandTimeout = 900 * time.Millisecond
	// confirmedInterval is the time between checks whether the version is still confirmed. Nodes that start without a
	// document wait for the confirmation, so the interval is short compared with the time of an election.
	confirmedInterval = 50 * time.Millisecond
	// retryPause is the wait before a command looks for the leader again.
	retryPause = 20 * time.Millisecond
)

func (c *Coordinator) register() {
	mux := c.endpoint.Mux
	crwire.Handle(mux, MethodHello, c.handleHello)
	crwire.Handle(mux, MethodHints, c.handleHints)
	crwire.Handle(mux, MethodFreshness, c.handleFreshness)
	crwire.Handle(mux, MethodStoreNotice, func(ctx context.Context, _ *crwire.Session, n *crwire.DirectoryNotice) (*crwire.DirectoryEmpty, error) {
		return &crwire.DirectoryEmpty{}, c.storeNotice(ctx, n)
	})
	crwire.Handle(mux, methodReplicateNotice, func(ctx context.Context, _ *crwire.Session, n *crwire.DirectoryNotice) (*crwire.DirectoryEmpty, error) {
		return &crwire.DirectoryEmpty{}, c.saveNotice(ctx, n)
	})
	crwire.Handle(mux, methodPut, func(ctx context.Context, _ *crwire.Session, p *crwire.DocumentPut) (*crwire.DocumentVerdict, error) {
		return c.propose(ctx, p.GetDocument())
	})
	crwire.Handle(mux, methodRead, func(ctx context.Context, _ *crwire.Session, _ *crwire.DocumentRead) (*crwire.Document, error) {
		return c.read(ctx)
	})
	crwire.Handle(mux, MethodQuota, c.handleQuota)
	crwire.HandleStream(mux, MethodWatch, c.serveFeed)
}

// Put proposes a document and returns the verdict and the version of the newest document. An error with the code
// NoLeader means that the document was not accepted, CommandUnknown that it may still be accepted.
func (c *Coordinator) Put(ctx context.Context, d *crwire.Document) (crdocument.Verdict, uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, commandTimeout)
	defer cancel()
	v, err := callLeader(ctx, c, c.propose, methodPut, d, &crwire.DocumentPut{Document: d})
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

// Newest returns the newest document as the leader confirms it. It fails when no leader can confirm it.
func (c *Coordinator) Newest(ctx context.Context) (*crwire.Document, error) {
	ctx, cancel := context.WithTimeout(ctx, commandTimeout)
	defer cancel()
	return callLeader(ctx, c, func(ctx context.Context, _ *crwire.DocumentRead) (*crwire.Document, error) { return c.read(ctx) },
		methodRead, &crwire.DocumentRead{}, &crwire.DocumentRead{})
}

// message is the constraint of a pointer to a generated message.
type message[T any] interface {
	*T
	proto.Message
}

// callLeader runs a command locally when this coordinator leads, otherwise at the leader. It retries until ctx ends,
// but not after an error with an unknown outcome, because the command may have been executed.
func callLeader[In any, T any, P message[T]](ctx context.Context, c *Coordinator, local func(context.Context, In) (P, error), method string, in In, remote proto.Message) (P, error) {
	for {
		out, err := callLeaderOnce[In, T, P](ctx, c, local, method, in, remote)
		if err == nil || crcode.Of(err).Outcome() == crcode.Unknown {
			return out, err
		}
		if crpause.For(ctx, retryPause) != nil {
			return nil, err
		}
	}
}

func callLeaderOnce[In any, T any, P message[T]](ctx context.Context, c *Coordinator, local func(context.Context, In) (P, error), method string, in In, remote proto.Message) (P, error) {
	st := c.replica.Status()
	if st.Role == crlog.Leader && st.LastError == nil {
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

// confirmed reports whether this coordinator is a log member whose state recently included all acknowledged changes.
func (c *Coordinator) confirmed() bool { return c.confirmation.Valid(crclock.Now()) }

// confirmedState is the last observed result of Coordinator.confirmed.
type confirmedState struct {
	confirmed bool
	// changed is closed when confirmed changes.
	changed chan struct{}
}

// confirmedLoop polls whether the coordinator is confirmed and wakes the document streams on a change.
func (c *Coordinator) confirmedLoop(ctx context.Context) {
	tick := time.NewTicker(confirmedInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			old := c.confirmedState.Load()
			if now := c.confirmed(); now != old.confirmed {
				c.confirmedState.Store(&confirmedState{confirmed: now, changed: make(chan struct{})})
				close(old.changed)
			}
		}
	}
}

// setDocument adds document d to a message for a node that holds version have. If packed is set, the document is
// compressed relative to that version; the result is cached, so that one change of a large configuration is
// compressed once for hundreds of nodes and each of them receives little.
func (c *Coordinator) setDocument(feed *crwire.DocumentFeed, d *crwire.Document, have uint64, packed bool) (err error) {
	if !packed {
		feed.Document = d
		return nil
	}
	feed.Packed, err = c.packCache.Packed(have, d)
	return err
}

// serveFeed streams each new document to a node and reports, at intervals and on changes, whether the version is
// confirmed. It reports so only after the leader has confirmed the state later than the start of the stream: a
// coordinator that was suspended must not start with an old confirmation.
func (c *Coordinator) serveFeed(ctx context.Context, _ *crwire.Session, w *crwire.DocumentWatch, send func(*crwire.DocumentFeed) error) error {
	have, started := w.GetHave(), crclock.Now()
	c.confirmation.RequestNow()
	tick := time.NewTicker(FeedInterval)
	defer tick.Stop()
	for {
		st, renewed := c.confirmedState.Load(), c.confirmation.Renewed()
		confirmed := c.confirmation.ConfirmedSince(crclock.Now(), started)
		if confirmed {
			renewed = nil
		}
		d, changed := c.machine.Current()
		feed := &crwire.DocumentFeed{Confirmed: confirmed, Version: d.GetVersion(), Voters: c.memberAddresses()}
		if d.GetVersion() > have {
			if err := c.setDocument(feed, d, have, w.GetPacked()); err != nil {
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
