package crconfig_test

import (
	"fmt"
	"runtime"
	"testing"

	qt "github.com/frankban/quicktest"
	"google.golang.org/protobuf/proto"

	"github.com/citronramp/citronramp/internal/crconfig"
	"github.com/citronramp/citronramp/internal/crwire"
)

// fullReplica returns a replica of the design size: 670 services with 10 kinds each, 1,024 keeper groups and a full
// command cache.
func fullReplica(b *testing.B) *replica {
	r := newReplica()
	for s := range 670 {
		name := fmt.Sprintf("service-%03d", s)
		r.mustApply(b, createService(name))
		for k := range 10 {
			r.mustApply(b, command(&crwire.CreateKind{Service: name, Name: fmt.Sprintf("kind-%d", k)}))
		}
	}
	batch := &crwire.AssignGroups{}
	for n := range uint32(crconfig.MaxGroups) {
		batch.Groups = append(batch.Groups, keeperGroup(n, 1, nil, "node-00001", "node-00002", "node-00003"))
	}
	r.mustApply(b, command(batch))
	for n := range crconfig.MaxCommandIDs {
		r.mustApply(b, commandWithID(n))
	}
	return r
}

// commandWithID returns the n-th of a series of kind changes, with a command id of its own.
func commandWithID(n int) *crwire.ConfigCommand {
	w := uint32(n % 1000)
	cmd := command(&crwire.SetKind{Service: fmt.Sprintf("service-%03d", n%670), Name: "kind-3", Fields: &crwire.KindFields{Worth: &w}})
	cmd.ProposedMs = now + int64(n)
	cmd.CommandId = fmt.Sprintf("%d-%016x", cmd.ProposedMs, n)
	return cmd
}

func BenchmarkApply(b *testing.B) {
	r := fullReplica(b)
	data := make([][]byte, b.N)
	for i := range data {
		var err error
		data[i], err = proto.Marshal(commandWithID(crconfig.MaxCommandIDs + i))
		qt.Assert(b, err, qt.IsNil)
	}
	b.ReportAllocs()
	b.ResetTimer()
	for _, d := range data {
		r.index++
		r.Apply(r.index, 1, d)
	}
}

func BenchmarkSnapshot(b *testing.B) {
	r := fullReplica(b)
	b.ReportAllocs()
	size := 0
	for b.Loop() {
		data, err := r.Snapshot()
		qt.Assert(b, err, qt.IsNil)
		size = len(data)
	}
	b.ReportMetric(float64(size), "snapshot-bytes")
}

func BenchmarkRestore(b *testing.B) {
	data, err := fullReplica(b).Snapshot()
	qt.Assert(b, err, qt.IsNil)
	b.ReportAllocs()
	for b.Loop() {
		qt.Assert(b, crconfig.NewState().Restore(data), qt.IsNil)
	}
}

func BenchmarkDigest(b *testing.B) {
	r := fullReplica(b)
	entries, _ := r.Entries(crconfig.Version{}, nil)
	b.Run("state", func(b *testing.B) {
		for b.Loop() {
			r.Digest(nil)
		}
	})
	b.Run("entries", func(b *testing.B) {
		for b.Loop() {
			crconfig.ViewDigest(entries)
		}
	})
}

func BenchmarkViewDelta(b *testing.B) {
	r := fullReplica(b)
	v := crconfig.NewView()
	entries, _ := r.Entries(crconfig.Version{}, nil)
	qt.Assert(b, v.Reset(r.Version(), entries), qt.IsNil)
	since := r.Version()
	r.mustApply(b, commandWithID(crconfig.MaxCommandIDs))
	delta, _ := r.Entries(since, nil)
	b.ReportAllocs()
	for b.Loop() {
		qt.Assert(b, v.ApplyEntries(r.Version(), delta), qt.IsNil)
	}
}

// heapInUse returns the bytes allocated on the heap after a garbage collection.
func heapInUse() float64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}

func BenchmarkMemory(b *testing.B) {
	data, err := fullReplica(b).Snapshot()
	qt.Assert(b, err, qt.IsNil)
	for b.Loop() {
		empty := heapInUse()
		s := crconfig.NewState()
		qt.Assert(b, s.Restore(data), qt.IsNil)
		state := heapInUse()
		v := crconfig.NewView()
		entries, _ := s.Entries(crconfig.Version{}, nil)
		for i, e := range entries {
			entries[i] = proto.Clone(e).(*crwire.ConfigEntry)
		}
		qt.Assert(b, v.Reset(s.Version(), entries), qt.IsNil)
		entries = nil
		view := heapInUse()
		b.ReportMetric(state-empty, "state-bytes")
		b.ReportMetric(view-state, "view-bytes")
		runtime.KeepAlive(entries)
		runtime.KeepAlive(s)
		runtime.KeepAlive(v)
	}
}
