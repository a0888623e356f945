// Package crreplica runs one member of the replicated log: it joins the pure log, its storage, the protocol between
// processes and the user's state machine.
package crreplica

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/citronramp/citronramp/internal/crring"
	"github.com/citronramp/citronramp/internal/crwire"
	"github.com/citronramp/citronramp/pkg/crclock"
	"github.com/citronramp/citronramp/pkg/crcode"
	"github.com/citronramp/citronramp/pkg/crlog"
	"github.com/citronramp/citronramp/pkg/crstore"
)

// StateMachine is what committed entries are applied to; its methods are called from one goroutine.
type StateMachine interface {
	Apply(index, term uint64, data []byte) any
	Snapshot() ([]byte, error)
	Restore(data []byte) error
}

// Sizes of the rings and times of the driver.
const (
	inboxSize   = 4096
	commandSize = 4096
	applySize   = 256
	tick        = 10 * time.Millisecond
	// drainLimit bounds the messages and commands of one round, so that timers run in between.
	drainLimit = 1024
	// readRetry is how long an answer to a read may take before it is asked for again; later ones may take longer, since the
	// link to the leader may be slow.
	readRetry = 200 * time.Millisecond
	// transferLimit bounds how long a leader refuses proposals while it looks for a successor.
	transferLimit = time.Second
)

// methodMessages is the method that carries the log's messages.
const methodMessages = "log.messages"

// Replica is one member. Set the exported fields and call Register before Run.
type Replica struct {
	// ID is the member id, that of Store when there is one. Address is where other members reach Endpoint.
	ID      uint64
	Address string
	// Store and State are what crstore.Open returned; Run closes Store. Without a store the member must be an observer.
	Store *crstore.Store
	State crlog.State
	// Bootstrap is the member list of a new log. It is used only when the store is empty. All first members must get the
	// same list; a member that joins later gets none.
	Bootstrap crlog.Members
	// Observer makes the replica a non-voting reader that finds the leader through Seeds.
	Observer bool
	Seeds    []string
	Endpoint *crwire.Endpoint
	Machine  StateMachine
	Rand     *rand.Rand
	// Log holds other settings of the log; ID, Address, Observer, Seeds and Rand are filled in.
	Log crlog.Config

	node      *crlog.Node
	inbox     *crring.Ring[crlog.Message]
	commands  *crring.Ring[*command]
	toApply   *crring.Ring[applyItem]
	snapshots *crring.Ring[snapshotResult]
	wake      *crring.Ring[struct{}]
	waiting   waiters
	senders   map[string]*sender
	running   context.Context
	cancel    context.CancelFunc
	done      chan struct{}
	wg        sync.WaitGroup
	status    atomic.Pointer[Status]

	// The fields below belong to the log goroutine.
	failed       error
	reads        map[uint64]*command
	nextRead     uint64
	readTerm     uint64
	transfer     *command
	transferEnd  time.Time
	snapshotting bool
	applyErr     atomic.Pointer[error]
}

// Register adds the log's method to mux and prepares the replica; call it before the endpoint serves.
func (r *Replica) Register(mux *crwire.Mux) {
	r.inbox = crring.New[crlog.Message](inboxSize)
	r.commands = crring.New[*command](commandSize)
	r.toApply = crring.New[applyItem](applySize)
	r.snapshots = crring.New[snapshotResult](1)
	r.wake = crring.New[struct{}](1)
	r.senders = make(map[string]*sender)
	r.reads = make(map[uint64]*command)
	r.done = make(chan struct{})
	r.running, r.cancel = context.WithCancel(context.Background())
	r.status.Store(&Status{})
	crwire.Handle(mux, methodMessages, r.receive)
}

func (r *Replica) receive(_ context.Context, from *crwire.Session, req *crwire.LogBatch) (*crwire.LogAck, error) {
	if from.Peer().Role != crwire.RoleControl {
		return nil, crcode.New(crcode.Forbidden, "%s is no control instance", from.Peer().Name)
	}
	for _, m := range req.GetMessages() {
		msg, err := fromWire(m)
		if err != nil {
			return nil, err
		}
		// A full ring counts an overflow; the log sends lost messages again.
		r.inbox.Push(msg)
	}
	return &crwire.LogAck{}, nil
}

// Run runs the member until ctx ends or Stop is called; it returns the error that stopped storage, if any.
func (r *Replica) Run(ctx context.Context) error {
	defer close(r.done)
	defer r.cancel()
	stop := context.AfterFunc(ctx, r.cancel)
	defer stop()
	if err := r.start(crclock.Now()); err != nil {
		// The first error says more than one on closing would.
		_ = r.closeStore()
		return err
	}
	r.wg.Add(1)
	go func() {
		defer r.wg.Done()
		r.applyLoop()
	}()
	r.logLoop()
	r.wg.Wait()
	r.finish()
	if err := r.closeStore(); err != nil && r.failed == nil {
		return err
	}
	return r.failed
}

func (r *Replica) start(now time.Time) error {
	if r.Store == nil && !r.Observer {
		return crcode.New(crcode.BadValue, "a voting member needs a store")
	}
	if r.Store != nil && r.ID != r.Store.Identity().ID {
		r.ID = r.Store.Identity().ID
	}
	empty := r.State.Hard == crlog.HardState{} && len(r.State.Entries) == 0 && len(r.State.Snapshot.Members) == 0 && r.State.Snapshot.Index == 0
	if empty && len(r.Bootstrap) > 0 && r.Store != nil {
		if !slices.Contains(r.Bootstrap.Voters(), r.ID) {
			return crcode.New(crcode.BadValue, "member %x is not in the first member list", r.ID)
		}
		r.State.Snapshot.Members = r.Bootstrap
		if err := r.Store.SaveSnapshot(r.State.Snapshot, r.State.Hard, nil); err != nil {
			return err
		}
	}
	if r.State.Snapshot.Index > 0 {
		if err := r.Machine.Restore(r.State.Snapshot.Data); err != nil {
			return crcode.New(crcode.StoreDamaged, "snapshot of the state machine: %v", err)
		}
	}
	r.waiting.applied = r.State.Snapshot.Index
	cfg := r.Log
	cfg.ID, cfg.Address, cfg.Observer, cfg.Seeds, cfg.Rand = r.ID, r.Address, r.Observer, r.Seeds, r.Rand
	node, err := crlog.New(now, cfg, r.State)
	if err != nil {
		return err
	}
	r.node, r.State = node, crlog.State{}
	r.nextRead = r.Rand.Uint64()
	r.publish(now)
	return nil
}

func (r *Replica) closeStore() error {
	if r.Store == nil {
		return nil
	}
	return r.Store.Close()
}

// Stop hands leadership over when there is a successor, ends Run and waits for it.
func (r *Replica) Stop(ctx context.Context) {
	if r.Status().Role == crlog.Leader && r.TransferLeadership(ctx, 0) == nil {
		r.awaitSuccessor(ctx)
	}
	r.cancel()
	<-r.done
}

// awaitSuccessor waits until the next leader has made itself known. Without one the others elect a leader after the
// lease, so the wait is no longer than that.
func (r *Replica) awaitSuccessor(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, transferLimit)
	defer cancel()
	ticker := time.NewTicker(tick)
	defer ticker.Stop()
	for s := r.Status(); s.Leader == 0 || s.Leader == r.ID; s = r.Status() {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		case <-r.done:
			return
		}
	}
}

// finish answers everybody who still waits, and ends the senders.
func (r *Replica) finish() {
	for {
		select {
		case c := <-r.commands.C():
			if c.take() {
				c.finish(crcode.New(crcode.Stopping, "the replica has stopped"))
			}
			continue
		default:
		}
		break
	}
	r.abandon(crcode.New(crcode.CommandUnknown, "the replica has stopped"))
}

// abandon ends all pending work with the given error; reads and transfers have no outcome to tell.
func (r *Replica) abandon(err error) {
	r.waiting.drop(^uint64(0), err)
	for id, c := range r.reads {
		delete(r.reads, id)
		c.finish(crcode.New(crcode.NoLeader, "%v", err))
	}
	if r.transfer != nil {
		r.transfer.finish(crcode.New(crcode.NoLeader, "%v", err))
		r.transfer = nil
	}
}
