package crconfig_test

import (
	"fmt"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"go.uber.org/goleak"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"github.com/citronramp/citronramp/internal/crconfig"
	"github.com/citronramp/citronramp/internal/crwire"
	"github.com/citronramp/citronramp/pkg/crcode"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// changeNumber returns the n-th of a series of changes to a few objects, so that changes often concern the same object.
func changeNumber(n int) *crwire.ConfigCommand {
	name, w := fmt.Sprintf("s%d", n%7), uint32(n)
	kind := fmt.Sprintf("k%d", n/7%5)
	fields := &crwire.KindFields{Worth: &w}
	switch n / 35 % 8 {
	case 0:
		return createService(name)
	case 1, 2:
		return command(&crwire.CreateKind{Service: name, Name: kind, Fields: fields})
	case 3:
		return command(&crwire.SetKind{Service: name, Name: kind, Fields: fields})
	case 4:
		return command(&crwire.DeleteKind{Service: name, Name: kind})
	case 5:
		return command(&crwire.DrainServer{Node: name})
	case 6:
		return command(&crwire.ReturnServer{Node: name})
	}
	return command(&crwire.DeleteService{Name: name})
}

// Guards against a view that, after deltas of any size, differs from the full view or from the digest of the state.
func TestDeltasMatchFullView(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := newReplica()
		services := rapid.SampledFrom([][]string{nil, {}, {"s1", "s3"}}).Draw(t, "services")
		view, old := crconfig.NewView(), crconfig.Version{}
		for i, n := range rapid.SliceOfN(rapid.IntRange(0, 279), 1, 200).Draw(t, "changes") {
			data, err := proto.Marshal(changeNumber(n))
			if err != nil {
				t.Fatal(err)
			}
			r.Apply(uint64(i+1), 1, data)
			if n%3 > 0 {
				continue
			}
			entries, full := r.Entries(old, services)
			apply := view.ApplyEntries
			if full {
				apply = view.Reset
			}
			if err := apply(r.Version(), entries); err != nil {
				t.Fatal(err)
			}
			old = r.Version()
			whole, _ := r.Entries(crconfig.Version{}, services)
			if view.Digest() != r.Digest(services) || view.Digest() != crconfig.ViewDigest(whole) || len(view.Entries()) != len(whole) {
				t.Fatalf("the view differs from the state at version %s", old)
			}
		}
	})
}

// Guards against a replica that answers or changes differently after it was restored from a snapshot.
func TestSnapshotRoundTrip(t *testing.T) {
	c := qt.New(t)
	r := newReplica()
	for n := range 1000 {
		cmd := changeNumber(n * 3)
		cmd.CommandId = fmt.Sprintf("%d-%x", now+int64(n), n)
		r.apply(t, cmd)
	}
	data, err := r.Snapshot()
	c.Assert(err, qt.IsNil)
	other := &replica{State: crconfig.NewState(), index: r.index}
	c.Assert(other.Restore(data), qt.IsNil)
	for n := range 300 {
		a, b := r.apply(t, changeNumber(n*7)), other.apply(t, changeNumber(n*7))
		c.Assert(proto.Equal(a, b), qt.IsTrue, qt.Commentf("%v and %v", a, b))
	}
	first, err := r.Snapshot()
	c.Assert(err, qt.IsNil)
	second, err := other.Snapshot()
	c.Assert(err, qt.IsNil)
	c.Assert(string(first), qt.Equals, string(second))
	c.Assert(other.Digest(nil), qt.Equals, r.Digest(nil))
	c.Assert(r.Restore(data[:len(data)-1]), qt.IsNotNil)
	after, err := r.Snapshot()
	c.Assert(err, qt.IsNil)
	c.Assert(string(after), qt.Equals, string(first))
}

// Guards against tombstones that are never dropped, and against a delta to a node whose version is older than the dropped
// tombstones, which would keep deleted objects on that node.
func TestForgottenDeletionsGiveFullView(t *testing.T) {
	c := qt.New(t)
	r := newReplica()
	r.mustApply(t, createService("ledger"))
	early := r.Version()
	for n := range 10001 {
		r.mustApply(t, command(&crwire.DrainServer{Node: fmt.Sprint("n", n)}))
		r.mustApply(t, command(&crwire.ReturnServer{Node: fmt.Sprint("n", n)}))
	}
	data, err := r.Snapshot()
	c.Assert(err, qt.IsNil)
	restored := crconfig.NewState()
	c.Assert(restored.Restore(data), qt.IsNil)
	for _, s := range []*crconfig.State{r.State, restored} {
		entries, full := s.Entries(early, nil)
		c.Assert(full, qt.IsTrue)
		c.Assert(entries, qt.HasLen, 1)
	}
	c.Assert(r.Object("server/n0"), qt.IsNil)
	late := r.Version()
	r.mustApply(t, command(&crwire.DrainServer{Node: "n1"}))
	entries, full := r.Entries(late, nil)
	c.Assert(full, qt.IsFalse)
	c.Assert(entries, qt.HasLen, 1)
}

// Guards against a view that accepts an older version, an older entry or a malformed entry.
func TestViewRefusesOlderVersions(t *testing.T) {
	c := qt.New(t)
	r := newLedgerReplica(t)
	old, _ := r.Entries(crconfig.Version{}, nil)
	oldVersion := r.Version()
	r.mustApply(t, setWorth(7))
	entries, _ := r.Entries(crconfig.Version{}, nil)
	v := crconfig.NewView()
	c.Assert(v.Reset(r.Version(), entries), qt.IsNil)
	c.Assert(crcode.Of(v.ApplyEntries(oldVersion, nil)), qt.Equals, crcode.VersionConflict)
	c.Assert(crcode.Of(v.Reset(oldVersion, old)), qt.Equals, crcode.VersionConflict)
	c.Assert(crcode.Of(v.Reset(r.Version(), old)), qt.Equals, crcode.VersionConflict)
	c.Assert(v.Refused(), qt.Equals, uint64(3))
	c.Assert(v.ApplyEntries(r.Version(), old), qt.IsNil)
	k, ok := v.Kind("ledger", "record")
	c.Assert(ok, qt.IsTrue)
	c.Assert(k.Worth(), qt.Equals, uint32(7))
	bad := proto.Clone(entries[0]).(*crwire.ConfigEntry)
	bad.Key = "kind/ledger/other"
	c.Assert(crcode.Of(v.ApplyEntries(r.Version(), []*crwire.ConfigEntry{bad})), qt.Equals, crcode.MalformedMessage)
	c.Assert(v.Digest(), qt.Equals, r.Digest(nil))
}

// Guards against readers that see a partly applied change during a write. It finds most with the race detector.
func TestViewIsReadWhileWritten(t *testing.T) {
	r := newLedgerReplica(t)
	v := crconfig.NewView()
	r.mustApply(t, command(&crwire.DrainServer{Node: "n1"}))
	r.mustApply(t, command(&crwire.AssignGroups{Groups: []*crwire.KeeperGroup{keeperGroup(7, 1, nil, "n1")}}))
	r.mustApply(t, command(&crwire.Convict{Conviction: &crwire.Conviction{Fingerprint: "0a1b2c3d", Service: "ledger", Kind: "record", SinceMs: now, ExpiresMs: now + 1}}))
	entries, _ := r.Entries(crconfig.Version{}, nil)
	qt.Assert(t, v.Reset(r.Version(), entries), qt.IsNil)
	var readers sync.WaitGroup
	stop := make(chan struct{})
	for range 2 {
		readers.Go(func() {
			for {
				select {
				case <-stop:
					return
				default:
				}
				k, ok := v.Kind("ledger", "record")
				_, known := v.Service("ledger")
				if !ok || !known || uint64(k.Worth()) > v.Version().Index || k.Deadline() != 2*time.Second || v.Group(7) == nil ||
					!v.Drained("n1") || !v.Convicted("0a1b2c3d", time.UnixMilli(now)) || v.Convicted("0a1b2c3d", time.UnixMilli(now+1)) {
					t.Error("a reader saw a state that was never published")
					return
				}
			}
		})
	}
	for range 200 {
		since := r.Version()
		r.mustApply(t, setWorth(uint32(since.Index)))
		entries, _ := r.Entries(since, nil)
		qt.Check(t, v.ApplyEntries(r.Version(), entries), qt.IsNil)
	}
	close(stop)
	readers.Wait()
}

// Guards against bytes from another process that make Restore, Apply or a view panic.
func FuzzRestore(f *testing.F) {
	data, err := newLedgerReplica(f).Snapshot()
	qt.Assert(f, err, qt.IsNil)
	f.Add(data)
	f.Fuzz(func(t *testing.T, data []byte) {
		s := crconfig.NewState()
		if s.Restore(data) != nil {
			return
		}
		entries, _ := s.Entries(crconfig.Version{}, nil)
		qt.Assert(t, crconfig.NewView().Reset(s.Version(), entries), qt.IsNil)
		s.Apply(s.Applied().Index+1, s.Applied().Epoch, data)
	})
}
