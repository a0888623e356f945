// Package crreplica runs one member of the replicated log: it connects the log of crlog with its storage, the protocol
// between processes and the user's state machine.
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

// StateMachine is the user's state, to which committed entries are applied; its methods are called from one goroutine.
type StateMachine interface {
	Apply(index, term uint64, data []byte) any
	Snapshot() ([]byte, error)
	Restore(data []byte) error
}

// Sizes of the queues, and intervals and timeouts of the loops.
const (
	inboxQueueSize   = 4096
	commandQueueSize = 4096
	applyQueueSize   = 256
	tickInterval     = 10 * time.Millisecond
	// drainLimit bounds the messages and commands that one iteration of the log loop handles, so that timers are not
	// delayed.
	drainLimit = 1024
	// readRetryInterval is the time without an answer after which a read is sent to the leader again. It is multiplied by
	// the number of attempts, since the link to the leader may be slow.
	readRetryInterval = 200 * time.Millisecond
	// storeRetryInterval is the time between attempts to store the whole state after an error of the storage. A disk
	// may be full for seconds.
	storeRetryInterval = 200 * time.Millisecond
	// transferTimeout bounds how long a leader rejects proposals while it waits for a voter that can take over
	// leadership.
	transferTimeout = time.Second
)

// methodMessages is the name of the method that transfers messages of the log.
const methodMessages = "log.messages"

// Replica is one member, or one observer, of the replicated log. Set the exported fields and call Register before Run.
type Replica struct {
	// ID is the member id; with a Store, that of Store is used. Address is the address at which other members reach
	// Endpoint.
	ID      uint64
	Address string
	// Store and State are the results of crstore.Open; Run closes Store. Only an observer may run without a store.
	Store *crstore.Store
	State crlog.State
	// Bootstrap is the member list of a new log, used only when the store is empty. It must be the same on all first
	// members and empty on members that join later.
	Bootstrap crlog.Members
	// Observer makes the replica a non-voting reader that finds the leader through Seeds.
	Observer     bool
	Seeds        []string
	Endpoint     *crwire.Endpoint
	StateMachine StateMachine
	Rand         *rand.Rand
	// Log holds the other settings of the log; Run sets ID, Address, Observer, Seeds and Rand.
	Log crlog.Config

	node            *crlog.Node
	inbox           *crring.Ring[crlog.Message]
	commands        *crring.Ring[*command]
	applyQueue      *crring.Ring[applyItem]
	snapshotResults *crring.Ring[snapshotResult]
	applySignal     *crring.Ring[struct{}]
	waiters         waiters
	senders         map[string]*sender
	runContext      context.Context
	cancel          context.CancelFunc
	done            chan struct{}
	wg              sync.WaitGroup
	status          atomic.Pointer[Status]

	// The fields below, except applyErr, are used by the log goroutine only.
	failure error
	// unstored is the work whose storage failed, and recoverAt is when the storage is tried again.
	unstored         crlog.Ready
	recoverAt        time.Time
	pendingReads     map[uint64]*command
	lastReadID       uint64
	readTerm         uint64
	pendingTransfer  *command
	transferDeadline time.Time
	snapshotPending  bool
	applyErr         atomic.Pointer[error]
}

// Register adds the method of the log to mux and initialises the replica; call it before the endpoint serves.
func (r *Replica) Register(mux *crwire.Mux) {
	r.inbox = crring.New[crlog.Message](inboxQueueSize)
	r.commands = crring.New[*command](commandQueueSize)
	r.applyQueue = crring.New[applyItem](applyQueueSize)
	r.snapshotResults = crring.New[snapshotResult](1)
	r.applySignal = crring.New[struct{}](1)
	r.senders = make(map[string]*sender)
	r.pendingReads = make(map[uint64]*command)
	r.done = make(chan struct{})
	r.runContext, r.cancel = context.WithCancel(context.Background())
	r.status.Store(&Status{})
	crwire.Handle(mux, methodMessages, r.handleMessages)
}

func (r *Replica) handleMessages(_ context.Context, from *crwire.Session, req *crwire.LogBatch) (*crwire.LogAck, error) {
	if from.Peer().Role != crwire.RoleControl {
		return nil, crcode.New(crcode.Forbidden, "%s is no control instance", from.Peer().Name)
	}
	for _, m := range req.GetMessages() {
		msg, err := fromWire(m)
		if err != nil {
			return nil, err
		}
		// A full queue drops the message and counts the overflow; the log sends lost messages again.
		r.inbox.Push(msg)
	}
	return &crwire.LogAck{}, nil
}

// Run runs the member until ctx ends or Stop is called. It returns the error of the storage or the state machine that
// the member had at its end, if any. An error of the storage stops the member from voting and acknowledging until it can
// store its whole state again.
func (r *Replica) Run(ctx context.Context) error {
	defer close(r.done)
	defer r.cancel()
	stop := context.AfterFunc(ctx, r.cancel)
	defer stop()
	if err := r.start(crclock.Now()); err != nil {
		// An error on closing would only hide the cause.
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
	r.rejectQueued()
	if err := r.closeStore(); err != nil && r.failure == nil {
		return err
	}
	return r.failure
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
		if err := r.StateMachine.Restore(r.State.Snapshot.Data); err != nil {
			return crcode.New(crcode.StoreDamaged, "snapshot of the state machine: %v", err)
		}
	}
	r.waiters.applied = r.State.Snapshot.Index
	cfg := r.Log
	cfg.ID, cfg.Address, cfg.Observer, cfg.Seeds, cfg.Rand = r.ID, r.Address, r.Observer, r.Seeds, r.Rand
	node, err := crlog.New(now, cfg, r.State)
	if err != nil {
		return err
	}
	r.node, r.State = node, crlog.State{}
	r.lastReadID = r.Rand.Uint64()
	r.updateStatus(now)
	return nil
}

func (r *Replica) closeStore() error {
	if r.Store == nil {
		return nil
	}
	return r.Store.Close()
}

// Stop transfers leadership if this member is leader and another voter can take over, then ends Run and waits for it.
func (r *Replica) Stop(ctx context.Context) {
	if r.Status().Role == crlog.Leader && r.TransferLeadership(ctx, 0) == nil {
		r.awaitSuccessor(ctx)
	}
	r.cancel()
	<-r.done
}

// awaitSuccessor waits until this member knows the next leader. If the transfer fails, the other members elect a leader
// once the lease has ended, so it waits no longer than transferTimeout.
func (r *Replica) awaitSuccessor(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, transferTimeout)
	defer cancel()
	ticker := time.NewTicker(tickInterval)
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

// rejectQueued answers the queued commands and all pending ones when the replica stops.
func (r *Replica) rejectQueued() {
	for {
		select {
		case c := <-r.commands.C():
			if c.claim() {
				c.finish(crcode.New(crcode.Stopping, "the replica has stopped"))
			}
			continue
		default:
		}
		break
	}
	r.failPending(crcode.New(crcode.CommandUnknown, "the replica has stopped"))
}

// failPending fails all pending proposals, member changes, reads and transfers with the given error. Reads and transfers
// get it as NoLeader, since they change no data and so have no unknown outcome.
func (r *Replica) failPending(err error) {
	r.waiters.failUpTo(^uint64(0), err)
	for id, c := range r.pendingReads {
		delete(r.pendingReads, id)
		c.finish(crcode.New(crcode.NoLeader, "%v", err))
	}
	if r.pendingTransfer != nil {
		r.pendingTransfer.finish(crcode.New(crcode.NoLeader, "%v", err))
		r.pendingTransfer = nil
	}
}
