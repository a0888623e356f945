package crdirectory

import (
	"fmt"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"go.uber.org/goleak"
	"google.golang.org/protobuf/proto"

	"github.com/citronramp/citronramp/internal/crwire"
	"github.com/citronramp/citronramp/pkg/crcode"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

var t0 = time.Unix(1000, 0)

func entry(i int, service string) *crwire.DirectoryEntry {
	return &crwire.DirectoryEntry{
		Node: fmt.Sprintf("n%05d", i), Incarnation: "a", Generation: 1, Sequence: 1, Service: service,
		Address: fmt.Sprintf("10.0.0.1:%d", i), Entrance: fmt.Sprintf("10.0.0.1:1%05d", i),
		Domain: fmt.Sprintf("d%d", i%4), State: Serving, Slots: 50,
	}
}

func filled(c *qt.C, now time.Time, n int, service string) *Core {
	d := New(now, Config{Name: "c1"})
	for i := range n {
		v, err := d.Announce(now, entry(i, service))
		c.Assert(err, qt.IsNil)
		c.Assert(v.GetStale(), qt.IsFalse)
	}
	return d
}

func (c *Core) names(caller, domain, service string) []string {
	var out []string
	for _, e := range c.Subset(caller, domain, service) {
		out = append(out, e.GetNode())
	}
	slices.Sort(out)
	return out
}

// runTicks ticks until the total time is over. each, when set, is called before each tick.
func runTicks(d *Core, now time.Time, total time.Duration, each func(now time.Time)) time.Time {
	for end := now.Add(total); now.Before(end); {
		now = now.Add(ExchangeInterval)
		if each != nil {
			each(now)
		}
		d.Tick(now)
	}
	return now
}

func renewEntry(d *Core, now time.Time, i int) error {
	return d.Renew(now, &crwire.DirectoryRenew{Node: fmt.Sprintf("n%05d", i), Incarnation: "a", Sequence: 1})
}

// TestIncarnations guards against an old incarnation that replaces a newer one at its name or address, and against a
// new incarnation that is refused.
func TestIncarnations(t *testing.T) {
	c := qt.New(t)
	d := filled(c, t0, 2, "s")
	next := entry(0, "s")
	next.Incarnation, next.Generation = "b", 2
	_, err := d.Announce(t0, next)
	c.Assert(err, qt.IsNil)
	v, err := d.Announce(t0, entry(0, "s"))
	c.Assert(err, qt.IsNil)
	c.Assert(v.GetStale(), qt.IsTrue)
	c.Assert(v.GetGeneration(), qt.Equals, uint64(2))
	c.Assert(crcode.Of(renewEntry(d, t0, 0)), qt.Equals, crcode.StaleIncarnation)
	c.Assert(crcode.Of(d.Leave(t0, &crwire.DirectoryLeave{Node: "n00000", Incarnation: "a", Sequence: 9})), qt.Equals, crcode.StaleIncarnation)

	// A newer entry with another name replaces the entry at its address.
	other := entry(7, "s")
	other.Address, other.Generation = entry(1, "s").GetAddress(), 2
	_, err = d.Announce(t0, other)
	c.Assert(err, qt.IsNil)
	c.Assert(d.names("x", "", "s"), qt.DeepEquals, []string{"n00000", "n00007"})

	// An entry that left stays removed when a delayed message or another control instance announces it.
	c.Assert(d.Leave(t0, &crwire.DirectoryLeave{Node: "n00000", Incarnation: "b", Sequence: 2}), qt.IsNil)
	v, err = d.Announce(t0, next)
	c.Assert(err, qt.IsNil)
	c.Assert(v.GetStale(), qt.IsTrue)
	d.PeerMessage(t0, "c2", &crwire.DirectoryExchange{Entries: []*crwire.DirectoryEntry{next}})
	c.Assert(d.names("x", "", "s"), qt.DeepEquals, []string{"n00007"})
}

// TestMassExpiryKeepsHalf guards against a mass expiry, for example by a stalled control instance, that removes all
// servers of a service.
func TestMassExpiryKeepsHalf(t *testing.T) {
	c := qt.New(t)
	d := filled(c, t0, 21, "s")
	removed := map[time.Time]int{}
	last := 21
	now := runTicks(d, t0, 3*time.Minute, func(now time.Time) {
		removed[now] = last - len(d.services["s"])
		last = len(d.services["s"])
	})
	c.Assert(d.counts.Suspected > 0, qt.IsTrue)
	for at := range removed {
		inWindow, size := 0, 21
		for then, n := range removed {
			if !then.After(at) && at.Sub(then) <= expiryWindow {
				inWindow += n
			} else if then.Before(at) {
				size -= n
			}
		}
		c.Assert(2*inWindow <= size, qt.IsTrue, qt.Commentf("%d of %d at %v", inWindow, size, at))
	}
	// The next renewal of a falsely suspected server clears the suspicion.
	left := d.Subset("x", "", "s")
	c.Assert(left, qt.Not(qt.HasLen), 0)
	c.Assert(left[0].GetSuspect(), qt.IsTrue)
	c.Assert(d.Renew(now, &crwire.DirectoryRenew{Node: left[0].GetNode(), Incarnation: "a", Sequence: 1}), qt.IsNil)
	c.Assert(d.records[left[0].GetNode()].GetSuspect(), qt.IsFalse)
}

// TestDomainLost guards against failed servers that stay in the directory when a whole failure domain is lost at
// once.
func TestDomainLost(t *testing.T) {
	c := qt.New(t)
	d := filled(c, t0, 40, "s")
	runTicks(d, t0, Lease+ExchangeInterval, func(now time.Time) {
		for i := range 40 {
			if i%4 != 0 {
				c.Assert(renewEntry(d, now, i), qt.IsNil)
			}
		}
	})
	c.Assert(d.services["s"], qt.HasLen, 30)
	c.Assert(d.Status().Suspects, qt.Equals, 0)
	subset := d.Subset("x", "d0", "s")
	c.Assert(subset, qt.HasLen, SubsetSize)
	for _, e := range subset {
		c.Assert(e.GetDomain(), qt.Not(qt.Equals), "d0")
	}
}

// TestSubsetsSpreadAndStable guards against subsets that concentrate on one failure domain, omit the caller's own, or
// change completely when one server is replaced.
func TestSubsetsSpreadAndStable(t *testing.T) {
	c := qt.New(t)
	d := filled(c, t0, 200, "s")
	const callers = 400
	before := map[int][]string{}
	load := map[string]int{}
	for i := range callers {
		domains := map[string]int{}
		for _, e := range d.Subset(fmt.Sprint("caller", i), "d1", "s") {
			domains[e.GetDomain()]++
			load[e.GetNode()]++
		}
		c.Assert(domains, qt.DeepEquals, map[string]int{"d0": 4, "d1": 8, "d2": 4, "d3": 4})
		before[i] = d.names(fmt.Sprint("caller", i), "d1", "s")
	}
	c.Assert(load, qt.HasLen, 200)
	c.Assert(d.Leave(t0, &crwire.DirectoryLeave{Node: "n00004", Incarnation: "a", Sequence: 2}), qt.IsNil)
	_, err := d.Announce(t0, entry(1000, "s"))
	c.Assert(err, qt.IsNil)
	changed := 0
	for i := range callers {
		after := d.names(fmt.Sprint("caller", i), "d1", "s")
		same := 0
		for _, name := range after {
			if slices.Contains(before[i], name) {
				same++
			}
		}
		c.Assert(same >= SubsetSize-2, qt.IsTrue)
		if same < SubsetSize {
			changed++
		}
	}
	// Each of the two servers is in 4 of 50 subsets of its domain, so about 16% of the subsets change; the bound is twice that.
	c.Assert(changed > 0 && changed < callers*32/100, qt.IsTrue, qt.Commentf("%d of %d", changed, callers))
}

// deliverExchange delivers the exchange messages of one directory to another.
func deliverExchange(from, to *Core, now time.Time, outs []Output) {
	for _, o := range outs {
		if p, ok := o.(ToPeer); ok && from.exchangeLinks[p.Link] == to.cfg.Name {
			to.PeerMessage(now, from.cfg.Name, p.Message)
		}
	}
}

// TestControlInstanceLost guards against the loss of the entries of a lost control instance, against their return
// with that instance after they have moved, and against entries that never expire.
func TestControlInstanceLost(t *testing.T) {
	c := qt.New(t)
	a := filled(c, t0, 10, "s")
	b := New(t0, Config{Name: "c2"})
	deliverExchange(a, b, t0, a.SubscribePeer(t0, 1, "c2"))
	c.Assert(b.names("x", "", "s"), qt.HasLen, 10)
	c.Assert(a.Leave(t0, &crwire.DirectoryLeave{Node: "n00009", Incarnation: "a", Sequence: 2}), qt.IsNil)
	deliverExchange(a, b, t0, a.Tick(t0))
	c.Assert(b.names("x", "", "s"), qt.HasLen, 9)

	b.PeerLost(t0, "c1")
	now := runTicks(b, t0, 14*time.Second, nil)
	c.Assert(b.names("x", "", "s"), qt.HasLen, 9)
	c.Assert(b.Status().Suspects, qt.Equals, 0)
	for i := range 8 {
		e := entry(i, "s")
		e.Sequence = 2
		_, err := b.Announce(now, e)
		c.Assert(err, qt.IsNil)
	}
	// The lost instance returns with its old state; the entries that moved stay with their new owner.
	deliverExchange(a, b, now, a.SubscribePeer(now, 2, "c2"))
	c.Assert(b.Status().Owned, qt.Equals, 8)
	b.PeerLost(now, "c1")
	runTicks(b, now, 2*OwnerGrace, func(now time.Time) {
		for i := range 8 {
			c.Assert(b.Renew(now, &crwire.DirectoryRenew{Node: entry(i, "s").GetNode(), Incarnation: "a", Sequence: 2}), qt.IsNil)
		}
	})
	c.Assert(b.names("x", "", "s"), qt.HasLen, 8)
}

// TestWatchersGetChangesOnly guards against updates without a change, and against a restarted directory that empties
// the subsets of the callers.
func TestWatchersGetChangesOnly(t *testing.T) {
	c := qt.New(t)
	d := New(t0, Config{Name: "c1"})
	_, err := d.Watch(t0, 1, &crwire.DirectoryWatch{Node: "w", Services: []*crwire.DirectoryWatched{{Service: "s"}}})
	c.Assert(err, qt.IsNil)
	subsets := func(outs []Output) (out []*crwire.DirectorySubset) {
		for _, o := range outs {
			if w, ok := o.(ToWatcher); ok {
				out = append(out, w.Message.GetSubsets()...)
			}
		}
		return out
	}
	first := subsets(d.Tick(t0))
	c.Assert(first, qt.HasLen, 1)
	c.Assert(first[0].GetSettled(), qt.IsFalse)
	for i := range 3 {
		_, err = d.Announce(t0, entry(i, "s"))
		c.Assert(err, qt.IsNil)
	}
	c.Assert(subsets(d.Tick(t0))[0].GetChanged(), qt.HasLen, 3)
	c.Assert(renewEntry(d, t0, 1), qt.IsNil)
	c.Assert(subsets(d.Tick(t0)), qt.HasLen, 0)
	// A changed load is stored and sent to other control instances, but causes no update of watchers.
	c.Assert(d.Renew(t0, &crwire.DirectoryRenew{Node: "n00001", Incarnation: "a", Sequence: 1, Load: 900}), qt.IsNil)
	c.Assert(d.records["n00001"].GetLoad(), qt.Equals, uint32(900))
	c.Assert(subsets(d.Tick(t0)), qt.HasLen, 0)
	now := t0.Add(Lease)
	for i := range 3 {
		c.Assert(renewEntry(d, now, i), qt.IsNil)
	}
	settled := subsets(d.Tick(now))
	c.Assert(settled[0].GetSettled() && settled[0].GetFull(), qt.IsTrue)
	c.Assert(d.Leave(now, &crwire.DirectoryLeave{Node: "n00001", Incarnation: "a", Sequence: 2}), qt.IsNil)
	c.Assert(subsets(d.Tick(now))[0].GetRemoved(), qt.DeepEquals, []string{"n00001"})

	// A watcher that reconnects with the same subset receives no update.
	digest := SubsetDigest(d.Subset("w", "", "s"))
	_, err = d.Watch(now, 2, &crwire.DirectoryWatch{Node: "w", Services: []*crwire.DirectoryWatched{{Service: "s", Digest: digest}}})
	c.Assert(err, qt.IsNil)
	c.Assert(subsets(d.Tick(now)), qt.HasLen, 0)
}

// TestNotices guards against notices that do not reach a gate, outlive their expiry, are replaced by an older version
// or accumulate without bound.
func TestNotices(t *testing.T) {
	c := qt.New(t)
	a, b := New(t0, Config{Name: "c1"}), New(t0, Config{Name: "c2"})
	a.SubscribePeer(t0, 1, "c2")
	_, err := b.Watch(t0, 1, &crwire.DirectoryWatch{Node: "w", Notices: []string{"s"}})
	c.Assert(err, qt.IsNil)
	note := func(key string, version uint64, ms int64) *crwire.DirectoryNotice {
		return &crwire.DirectoryNotice{Service: "s", Key: key, Version: version, ExpiresInMs: ms}
	}
	outs, err := a.Publish(t0, note("f", 2, 1000))
	c.Assert(err, qt.IsNil)
	got := b.PeerMessage(t0, "c1", outs[0].(ToPeer).Message)
	c.Assert(got[0].(ToWatcher).Message.GetNotices()[0].GetKey(), qt.Equals, "f")
	outs, err = a.Publish(t0, note("f", 1, 9000))
	c.Assert(err, qt.IsNil)
	c.Assert(outs, qt.HasLen, 0)
	a.Tick(t0.Add(1100 * time.Millisecond))
	c.Assert(a.Status().Notices, qt.Equals, 0)
	for i := range 2 * MaxNotices {
		_, err = a.Publish(t0, note(fmt.Sprint(i), 1, int64(1000+i)))
		c.Assert(err, qt.IsNil)
	}
	c.Assert(a.Status().Notices, qt.Equals, MaxNotices)
	c.Assert(a.counts.NoticesFull, qt.Equals, uint64(MaxNotices))
}

// TestNoticesOfManyServices guards against the notices of many services in a message that is too large, and against
// the check of all old notices for each new one.
func TestNoticesOfManyServices(t *testing.T) {
	c := qt.New(t)
	d := New(t0, Config{Name: "c1"})
	watch := &crwire.DirectoryWatch{Node: "w"}
	note := func(service, key string) *crwire.DirectoryNotice {
		return &crwire.DirectoryNotice{Service: service, Key: key, Version: 1, ExpiresInMs: 9000, Value: make([]byte, maxNoticeBytes-20)}
	}
	for s := range 20 {
		name := fmt.Sprint("s", s)
		watch.Notices = append(watch.Notices, name)
		for i := range MaxNotices {
			_, err := d.Publish(t0, note(name, fmt.Sprint(i)))
			c.Assert(err, qt.IsNil)
		}
	}
	received := func(outs []Output) (n int) {
		for _, o := range outs {
			m := o.(ToWatcher).Message
			c.Assert(proto.Size(m) < crwire.MaxMessageBytes, qt.IsTrue, qt.Commentf("%d bytes", proto.Size(m)))
			n += len(m.GetNotices())
		}
		return n
	}
	outs, err := d.Watch(t0, 1, watch)
	c.Assert(err, qt.IsNil)
	c.Assert(received(outs), qt.Equals, 20*MaxNotices)
	outs, err = d.Publish(t0, note("s7", "new"))
	c.Assert(err, qt.IsNil)
	c.Assert(received(outs), qt.Equals, 1)
	c.Assert(testing.AllocsPerRun(10, func() { d.PeerMessage(t0, "c2", &crwire.DirectoryExchange{}) }) < 10, qt.IsTrue)
}

// TestUpdatesAreBounded guards against an unbounded volume of updates after a mass restart, and against watchers that
// are never served.
func TestUpdatesAreBounded(t *testing.T) {
	c := qt.New(t)
	d := New(t0, Config{Name: "c1"})
	services := []*crwire.DirectoryWatched{}
	for s := range 20 {
		services = append(services, &crwire.DirectoryWatched{Service: fmt.Sprint("s", s)})
		for i := range 30 {
			_, err := d.Announce(t0, entry(100*s+i, fmt.Sprint("s", s)))
			c.Assert(err, qt.IsNil)
		}
	}
	const nodes = 1430
	for i := range uint64(nodes) {
		_, err := d.Watch(t0, i, &crwire.DirectoryWatch{Node: fmt.Sprint("w", i), Services: services})
		c.Assert(err, qt.IsNil)
	}
	served := map[uint64]int{}
	now := t0
	for tick := 0; len(served) < nodes; tick++ {
		c.Assert(tick < 1000, qt.IsTrue)
		before := d.counts.UpdateBytes
		for _, o := range d.Tick(now) {
			served[o.(ToWatcher).Link]++
		}
		c.Assert(d.counts.UpdateBytes-before <= maxTickBytes+maxWatcherBytes, qt.IsTrue)
	}
}
