package crkeeper

import (
	"bytes"
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"go.uber.org/goleak"

	"github.com/citronramp/citronramp/internal/crwire"
	"github.com/citronramp/citronramp/pkg/crcode"
	"github.com/citronramp/citronramp/pkg/crrecord"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

const testGroup = 7

// table is a Groups table with one group, which a test can change.
type table struct {
	mu sync.Mutex
	g  crrecord.Group
}

func (t *table) Group(number uint32) (crrecord.Group, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.g, number == t.g.Number && t.g.Epoch > 0
}

func (t *table) set(g crrecord.Group) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.g = g
}

type node struct {
	keeper *Keeper
	client *Client
	table  *table
	stop   func()
}

func (n *node) self() crrecord.Member { return n.client.Self }

// configure sets the membership of the test group at the node's client and keeper.
func (n *node) configure(g crrecord.Group) {
	n.table.set(g)
	n.keeper.UpdateGroups([]crrecord.Group{g})
}

// startNode starts a node with a keeper and a client; with an empty address the kernel chooses the port.
func startNode(t testing.TB, name, incarnation, addr string) *node {
	if addr == "" {
		addr = "127.0.0.1:0"
	}
	ln, err := net.Listen("tcp", addr)
	qt.Assert(t, err, qt.IsNil)
	self := crrecord.Member{Node: name, Incarnation: incarnation, Address: ln.Addr().String(), Domain: name}
	mux := new(crwire.Mux)
	e := &crwire.Endpoint{Identity: crwire.Identity{Self: crwire.Peer{Name: name, Incarnation: incarnation, Role: crwire.RoleNode}}, Mux: mux}
	n := &node{table: new(table)}
	now := NewClock()
	n.keeper = &Keeper{Core: &crrecord.Keeper{Self: self}, Endpoint: e, Now: now}
	answers := &AnswerStore{Self: self, Now: now}
	n.client = &Client{Self: self, Groups: n.table, Endpoint: e, Local: n.keeper, Answers: answers}
	n.keeper.Register(mux)
	answers.Register(mux)
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	for _, run := range []func(){func() { _ = e.Serve(ln) }, func() { n.keeper.Run(ctx) }, func() { n.client.Run(ctx) }} {
		wg.Add(1)
		go func() {
			defer wg.Done()
			run()
		}()
	}
	n.stop = sync.OnceFunc(func() {
		cancel()
		_ = ln.Close()
		e.Close()
		wg.Wait()
	})
	t.Cleanup(n.stop)
	return n
}

// cluster starts n nodes; the first three are the members of the test group.
func cluster(t testing.TB, n int) []*node {
	var nodes []*node
	g := crrecord.Group{Number: testGroup, Epoch: 1}
	for i := range n {
		nodes = append(nodes, startNode(t, fmt.Sprint("n", i), "1", ""))
		if i < crrecord.GroupSize {
			g.Members = append(g.Members, nodes[i].self())
		}
	}
	for _, x := range nodes {
		x.configure(g)
	}
	for _, x := range nodes[:min(n, crrecord.GroupSize)] {
		eventually(t, func() bool { return x.epoch() == 1 })
	}
	return nodes
}

func (n *node) epoch() (e uint64) {
	n.keeper.withCore(func(core *crrecord.Keeper) { e = core.ActiveEpoch(testGroup) })
	return e
}

// eventually waits for a condition; the limit of 20 s only ends a failed test.
func eventually(t testing.TB, ok func() bool) {
	t.Helper()
	for deadline := time.Now().Add(20 * time.Second); !ok(); time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal("condition not reached within 20 s")
		}
	}
}

func newID() crrecord.ID {
	for {
		if id := crrecord.NewID("n0-1", time.Now().UnixMilli(), rand.Uint64()); id.Group() == testGroup {
			return id
		}
	}
}

var (
	bodyA = crrecord.DigestOf("ledger", "record", []byte("a"))
	bodyB = crrecord.DigestOf("ledger", "record", []byte("b"))
)

func (n *node) claim(id crrecord.ID, d crrecord.Digest) (Grant, error) {
	return n.client.Claim(context.Background(), n.keeper.Now(), id, d)
}

func (n *node) complete(t testing.TB, g Grant, body []byte) {
	t.Helper()
	qt.Assert(t, n.client.Complete(n.keeper.Now(), g, crrecord.Answer{Status: 200, Body: body}), qt.IsTrue)
	eventually(t, func() bool { return n.client.Pending() == 0 })
}

// Guards against a request that is sent again to another node and runs twice, or gets a different or partial answer.
func TestResendElsewhere(t *testing.T) {
	c := qt.New(t)
	nodes := cluster(t, 4)
	gate, elsewhere := nodes[3], nodes[0]
	large := bytes.Repeat([]byte("x"), crrecord.MaxAnswerBytes+1)
	for _, body := range [][]byte{[]byte("small"), large} {
		id := newID()
		g, err := gate.claim(id, bodyA)
		c.Assert(err, qt.IsNil)
		c.Assert(g.Replayed, qt.IsFalse)
		_, err = elsewhere.claim(id, bodyA)
		c.Check(crcode.Of(err), qt.Equals, crcode.InProgress)
		gate.complete(t, g, body)
		for _, n := range nodes {
			again, err := n.claim(id, bodyA)
			c.Assert(err, qt.IsNil)
			c.Check(again.Replayed && bytes.Equal(again.Answer.Body, body), qt.IsTrue)
		}
		_, err = elsewhere.claim(id, bodyB)
		c.Check(crcode.Of(err), qt.Equals, crcode.IDOtherBody)
		if len(body) > crrecord.MaxAnswerBytes {
			gate.stop()
			_, err = elsewhere.claim(id, bodyA)
			c.Check(crcode.Of(err), qt.Equals, crcode.AnswerNotKept)
			c.Check(crcode.Of(err).Outcome(), qt.Equals, crcode.Run)
		}
	}
}

// Guards against a released claim that still blocks its id.
func TestReleaseFreesID(t *testing.T) {
	c := qt.New(t)
	nodes := cluster(t, 3)
	id := newID()
	g, err := nodes[0].claim(id, bodyA)
	c.Assert(err, qt.IsNil)
	c.Assert(nodes[0].client.Release(g), qt.IsTrue)
	eventually(t, func() bool { return nodes[0].client.Pending() == 0 })
	// A majority has dropped the claim, so the next claim is granted whatever the third member replies.
	_, err = nodes[1].claim(id, bodyA)
	c.Check(err, qt.IsNil)
}

// Guards against lost records when a keeper crashes, restarts without records at its old address, and is replaced.
func TestKeeperCrashAndReplacement(t *testing.T) {
	c := qt.New(t)
	nodes := cluster(t, 4)
	ran, crashed := newID(), newID()
	g, err := nodes[3].claim(ran, bodyA)
	c.Assert(err, qt.IsNil)
	nodes[3].complete(t, g, []byte("answer"))
	_, err = nodes[3].claim(crashed, bodyA)
	c.Assert(err, qt.IsNil)

	old := nodes[0].self()
	nodes[0].stop()
	_, err = nodes[3].claim(newID(), bodyA)
	c.Check(err, qt.IsNil, qt.Commentf("two of three members are a majority"))
	present, _ := nodes[3].table.Group(testGroup)
	restarted := startNode(t, old.Node, "2", old.Address)
	restarted.configure(present)
	_, err = nodes[3].claim(crashed, bodyA)
	c.Check(crcode.Of(err), qt.Equals, crcode.InProgress)
	// The client and the handlers both reject messages meant for the old incarnation, or for another node at the address.
	for _, m := range []crrecord.Member{old, {Node: "other", Incarnation: "2", Address: old.Address}} {
		_, err = call[crwire.RecordReply](nodes[3].client, m, methodClaim, &crwire.RecordClaim{TargetIncarnation: "2"}, time.Second)
		c.Check(crcode.Of(err), qt.Equals, crcode.StaleIncarnation)
	}
	_, err = restarted.keeper.onClaim(context.Background(), nil, &crwire.RecordClaim{TargetIncarnation: "1"})
	c.Check(crcode.Of(err), qt.Equals, crcode.StaleIncarnation)

	next := crrecord.Group{Number: testGroup, Epoch: 2, Previous: present.Members}
	next.Members = []crrecord.Member{restarted.self(), nodes[1].self(), nodes[2].self()}
	live := []*node{restarted, nodes[1], nodes[2], nodes[3]}
	for _, n := range live {
		n.configure(next)
	}
	for _, n := range live[:3] {
		eventually(t, func() bool { return n.epoch() == 2 })
	}
	for _, n := range live {
		again, err := n.claim(ran, bodyA)
		c.Assert(err, qt.IsNil)
		c.Check(again.Replayed && string(again.Answer.Body) == "answer", qt.IsTrue)
		_, err = n.claim(crashed, bodyA)
		c.Check(crcode.Of(err), qt.Equals, crcode.InProgress)
	}
}

// Guards against a claim that keepers of an old group epoch decide, and against a completion that only they receive.
func TestOldEpochDecidesNothing(t *testing.T) {
	c := qt.New(t)
	nodes := cluster(t, 7)
	stale := nodes[6] // Not configured with epoch 2 at first.
	id := newID()
	g, err := stale.claim(id, bodyA)
	c.Assert(err, qt.IsNil)
	present, _ := stale.table.Group(testGroup)
	next := crrecord.Group{Number: testGroup, Epoch: 2, Previous: present.Members}
	for _, n := range nodes[3:6] {
		next.Members = append(next.Members, n.self())
	}
	for _, n := range nodes[:6] {
		n.configure(next)
	}
	for _, n := range nodes[3:6] {
		eventually(t, func() bool { return n.epoch() == 2 })
	}
	_, err = stale.claim(newID(), bodyA)
	c.Check(crcode.Of(err), qt.Equals, crcode.ClaimFailed)
	c.Assert(stale.client.Complete(stale.keeper.Now(), g, crrecord.Answer{Status: 200, Body: []byte("late")}), qt.IsTrue)
	for _, n := range nodes[:3] {
		eventually(t, func() bool { return n.ran(id) })
	}
	for _, n := range nodes[3:6] {
		c.Check(n.ran(id), qt.IsFalse)
	}
	stale.configure(next)
	eventually(t, func() bool { return stale.client.Pending() == 0 })
	again, err := nodes[3].claim(id, bodyA)
	c.Assert(err, qt.IsNil)
	c.Check(again.Replayed && string(again.Answer.Body) == "late", qt.IsTrue)
}

// ran reports whether the node's keeper has a completed record for the id.
func (n *node) ran(id crrecord.ID) (done bool) {
	now := n.keeper.Now()
	n.keeper.withCore(func(core *crrecord.Keeper) {
		h, _ := core.Seal(now, testGroup, 1, 2)
		for _, r := range h.Records {
			done = done || r.ID == id && r.Done
		}
	})
	return done
}

// Guards against a gate that runs a request without a majority of keepers, and against a failed claim that hides an
// earlier run.
func TestGateWithoutMajority(t *testing.T) {
	c := qt.New(t)
	nodes := cluster(t, 3)
	id := newID()
	_, err := nodes[0].claim(id, bodyA)
	c.Assert(err, qt.IsNil)
	nodes[1].stop()
	nodes[2].stop()
	_, err = nodes[0].claim(newID(), bodyA)
	c.Check(crcode.Of(err), qt.Equals, crcode.ClaimFailed)
	// The failed claim leaves no record; the earlier one stays.
	eventually(t, func() bool {
		stats, _ := nodes[0].keeper.Stats()
		return stats.Records == 1
	})
	_, err = nodes[0].claim(id, bodyA)
	c.Check(crcode.Of(err), qt.Equals, crcode.InProgress)
	_, err = (&Client{Groups: new(table)}).Claim(context.Background(), crrecord.Instant{}, id, bodyA)
	c.Check(crcode.Of(err), qt.Equals, crcode.NotConfigured)
}

// Guards against more retries than the limit when several entrances, the nodes where requests enter, count arrivals at the
// keepers concurrently.
func TestCountArrivalStaysWithinSlots(t *testing.T) {
	c := qt.New(t)
	nodes := cluster(t, 3)
	id := newID()
	const slots = 3
	results := make(chan int, 12)
	for i := range cap(results) {
		go func() {
			n, err := nodes[i%3].client.CountArrival(context.Background(), id, slots, 1+i%2)
			if err != nil {
				n = 0
			}
			results <- n
		}()
	}
	sum := 0
	for range cap(results) {
		sum += <-results
	}
	c.Check(sum <= slots, qt.IsTrue, qt.Commentf("%d", sum))
	n, err := nodes[0].client.CountArrival(context.Background(), id, slots, slots)
	c.Check(n == 0 && crcode.Of(err) == crcode.RetriesSpent, qt.IsTrue, qt.Commentf("%d %v", n, err))
	n, err = nodes[0].client.CountArrival(context.Background(), newID(), slots, 9)
	c.Check(n == slots && err == nil, qt.IsTrue, qt.Commentf("%d %v", n, err))
}

// Guards against stored answers that exceed the size limit or outlive their record.
func TestAnswersBound(t *testing.T) {
	c := qt.New(t)
	a := &AnswerStore{MaxBytes: 10_000}
	now := crrecord.Instant{Elapsed: time.Hour}
	ids := []crrecord.ID{newID(), newID(), newID()}
	for _, id := range ids {
		a.Store(now, id, bodyA, crrecord.Answer{Body: make([]byte, 4000)})
		c.Check(a.Bytes() <= 10_000, qt.IsTrue)
	}
	a.Store(now, newID(), bodyA, crrecord.Answer{Body: make([]byte, 10_000)})
	for i, id := range ids {
		_, ok := a.Get(now, id, bodyA)
		c.Check(ok, qt.Equals, i >= 1, qt.Commentf("two of three fit, the oldest is evicted"))
	}
	_, ok := a.Get(now, ids[2], bodyB)
	c.Check(ok, qt.IsFalse)
	now.Elapsed += crrecord.Lifetime
	_, ok = a.Get(now, ids[2], bodyA)
	c.Check(ok, qt.IsFalse)
}
