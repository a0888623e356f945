package cradmission_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/citronramp/citronramp/pkg/cradmission"
)

var t0 = time.Unix(1_800_000_000, 0)

// Example uses a queue and a level in a gate.
func Example() {
	queue := cradmission.Queue{Length: 2}
	var level cradmission.Level
	now := t0
	for _, id := range []string{"thumbnail", "deposit", "licence"} {
		class := cradmission.Protected
		if id == "thumbnail" {
			class = cradmission.Ordinary
		}
		p := cradmission.NewPriority(class, 10, id)
		if !level.Arrive(now, p) {
			fmt.Println("below the level:", id)
			continue
		}
		if refused := queue.Push(now, &cradmission.Item{Priority: p, Value: id}); refused != nil {
			level.RecordWait(now, refused.Wait(now))
			rnd := rand.New(rand.NewPCG(1, 2))
			after := cradmission.RetryAfter(refused.Priority, level.Current(), level.Pressure(), rnd)
			fmt.Println("refused:", refused.Value, after >= cradmission.MinRetryAfter)
		}
	}
	for it, ok := queue.Pop(now); ok; it, ok = queue.Pop(now) {
		level.RecordWait(now, it.Wait(now))
		fmt.Println("run:", it.Priority.Class())
		level.RecordCompletion(now)
	}
	// Output:
	// refused: thumbnail true
	// run: protected
	// run: protected
}

// Guards against an order in which worth or hash outweighs the class, or hash outweighs worth.
func TestPriorityStrictOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w1, w2 := rapid.Uint32().Draw(t, "w1"), rapid.Uint32().Draw(t, "w2")
		a, b := rapid.String().Draw(t, "a"), rapid.String().Draw(t, "b")
		o, p := cradmission.NewPriority(cradmission.Ordinary, w1, a), cradmission.NewPriority(cradmission.Protected, w2, b)
		if o >= p || o.Worth() != w1 || p.Worth() != w2 || p.Class() != cradmission.Protected {
			t.Fatalf("ordinary %x, protected %x", o, p)
		}
		if q := cradmission.NewPriority(cradmission.Ordinary, w2, b); (w1 < w2) != (o < q) && w1 != w2 {
			t.Fatalf("worth %d and %d in the wrong order", w1, w2)
		}
	})
}

// queueModel applies random operations to a queue with 10 places and a maximum wait of 100 ms, and records which items are
// in it.
type queueModel struct {
	*rapid.T
	queue  cradmission.Queue
	now    time.Time
	queued map[*cradmission.Item]bool
}

func (m *queueModel) isExpired(it *cradmission.Item) bool {
	return it.Wait(m.now) >= 100*time.Millisecond || (!it.Deadline.IsZero() && !m.now.Before(it.Deadline))
}

func (m *queueModel) removed(it *cradmission.Item) {
	if !m.queued[it] {
		m.Fatal("item removed twice")
	}
	delete(m.queued, it)
}

func (m *queueModel) push(*rapid.T) {
	for range rapid.IntRange(1, 8).Draw(m.T, "items") {
		m.pushOne()
	}
}

func (m *queueModel) pushOne() {
	class := cradmission.Class(rapid.IntRange(0, 1).Draw(m.T, "class"))
	it := &cradmission.Item{Priority: cradmission.NewPriority(class, uint32(rapid.IntRange(0, 3).Draw(m.T, "worth")), "x")}
	if rapid.Bool().Draw(m.T, "deadline") {
		it.Deadline = m.now.Add(30 * time.Millisecond)
	}
	m.queued[it] = true
	refused := m.queue.Push(m.now, it)
	if refused == nil {
		return
	}
	for o := range m.queued {
		if o.Priority < refused.Priority && !m.isExpired(o) {
			m.Fatalf("refused %x, kept %x", refused.Priority, o.Priority)
		}
	}
	m.removed(refused)
}

func (m *queueModel) pop(*rapid.T) {
	it, ok := m.queue.Pop(m.now)
	if !ok {
		return
	}
	if m.isExpired(it) {
		m.Fatal("expired item popped")
	}
	m.removed(it)
	for o := range m.queued {
		if o.Priority > it.Priority && !m.isExpired(o) {
			m.Fatal("popped before a higher item")
		}
	}
}

func (m *queueModel) expire(*rapid.T) {
	for _, it := range m.queue.Expire(m.now) {
		m.removed(it)
	}
	for it := range m.queued {
		if m.isExpired(it) {
			m.Fatal("expired item kept")
		}
	}
}

func (m *queueModel) remove(*rapid.T) {
	for it := range m.queued {
		if !m.queue.Remove(it) {
			m.Fatal("waiting item not found")
		}
		m.removed(it)
		return
	}
}

func (m *queueModel) check(*rapid.T) {
	ordinary := 0
	for it := range m.queued {
		if it.Priority.Class() == cradmission.Ordinary {
			ordinary++
		}
	}
	// Expired items that Push and Pop removed stay in the model until the next Expire.
	if expired := len(m.queued) - m.queue.Len(); m.queue.Len() > 10 || expired < 0 || ordinary-expired > 8 {
		m.Fatalf("%d items, %d ordinary, %d expired", m.queue.Len(), ordinary, expired)
	}
	m.now = m.now.Add(time.Duration(rapid.IntRange(0, 9).Draw(m.T, "ms")) * time.Millisecond)
}

// Guards against a queue that exceeds its length or the ordinary share, loses or duplicates an item, returns an expired one,
// keeps a lower item instead of a higher one, or pops in the wrong order.
func TestQueueModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &queueModel{T: t, queue: cradmission.Queue{Length: 10, MaxWait: 100 * time.Millisecond}, now: t0, queued: map[*cradmission.Item]bool{}}
		t.Repeat(map[string]func(*rapid.T){
			"push": m.push, "pop": m.pop, "expire": m.expire, "remove": m.remove, "": m.check,
		})
	})
}

// Guards against ordinary requests that take the places reserved for protected ones.
func TestPlacesReserved(t *testing.T) {
	c := qt.New(t)
	p := cradmission.Places{Size: 10}
	for i := range 12 {
		c.Assert(p.Acquire(cradmission.Ordinary), qt.Equals, i < 8)
	}
	for i := range 4 {
		c.Assert(p.Acquire(cradmission.Protected), qt.Equals, i < 2)
	}
	p.Release(cradmission.Ordinary)
	c.Assert(p.Acquire(cradmission.Protected), qt.IsTrue)
	c.Assert(p.Acquire(cradmission.Ordinary), qt.IsFalse)
}

// Guards against levels that outlive their expiry, an older level that replaces a more recent one, and too many levels on
// an answer.
func TestLevelTable(t *testing.T) {
	c := qt.New(t)
	var table cradmission.LevelTable
	low, high := cradmission.NewPriority(0, 1, "c"), cradmission.NewPriority(0, 9, "a")
	c.Assert(low.Probe() || high.Probe(), qt.IsFalse)
	table.Update(t0, cradmission.LevelEntry{Service: "ledger", Priority: high, Age: 300 * time.Millisecond})
	table.Update(t0, cradmission.LevelEntry{Service: "ledger", Priority: 0, Age: 400 * time.Millisecond})
	table.Update(t0, cradmission.LevelEntry{Service: "old", Priority: high, Age: time.Second})
	c.Assert(table.Admits(t0, "ledger", low), qt.IsFalse)
	c.Assert(table.Admits(t0, "ledger", high), qt.IsTrue)
	c.Assert(table.Admits(t0, "old", low), qt.IsTrue)
	c.Assert(table.AppendAnswer(t0.Add(10*time.Millisecond), nil), qt.DeepEquals,
		[]cradmission.LevelEntry{{Service: "ledger", Priority: high, Age: 310 * time.Millisecond}})
	c.Assert(table.Admits(t0.Add(690*time.Millisecond), "ledger", low), qt.IsFalse)
	c.Assert(table.Level(t0.Add(700*time.Millisecond), "ledger", ""), qt.Equals, cradmission.Priority(0))
	c.Assert(admittedOf1000(&table, t0.Add(690*time.Millisecond)), qt.Equals, 0)
	half := admittedOf1000(&table, t0.Add(1700*time.Millisecond))
	c.Assert(half > 400 && half < 600, qt.IsTrue, qt.Commentf("%d of 1000 admitted in the middle of the fade", half))
	c.Assert(admittedOf1000(&table, t0.Add(2700*time.Millisecond)), qt.Equals, 1000)
	for i := range 3000 {
		table.Update(t0, cradmission.LevelEntry{Service: fmt.Sprint(i), Priority: high})
	}
	c.Assert(table.AppendAnswer(t0.Add(time.Millisecond*100), nil), qt.HasLen, cradmission.MaxLevels)
}

// admittedOf1000 returns how many of 1000 requests below the level are admitted.
func admittedOf1000(table *cradmission.LevelTable, now time.Time) int {
	admitted := 0
	for i, n := 0, 0; n < 1000; i++ {
		if p := cradmission.NewPriority(0, 1, fmt.Sprint("id", i)); !p.Probe() {
			n++
			if table.Admits(now, "ledger", p) {
				admitted++
			}
		}
	}
	return admitted
}

// Guards against an entrance that admits requests which a deeper service will refuse, and against one that refuses requests
// because of a service that is rarely called or no longer sheds.
func TestReachRefusesBelowDeepLevel(t *testing.T) {
	c := qt.New(t)
	var reach cradmission.DependencyTable
	var table cradmission.LevelTable
	for i := range 100 {
		deep := []string{"ledger"}
		if i%5 == 0 {
			deep = append(deep, "photo")
		}
		reach.RecordAnswer(t0, "route/read", deep)
	}
	level, p := cradmission.NewPriority(0, 9, "a"), cradmission.NewPriority(0, 1, "c")
	c.Assert(reach.Of(t0, "route/read"), qt.DeepEquals, []string{"ledger"})
	table.Update(t0, cradmission.LevelEntry{Service: "photo", Priority: level})
	_, _, refused := reach.Refuses(t0, "route/read", p, &table)
	c.Assert(refused, qt.IsFalse)
	table.Update(t0, cradmission.LevelEntry{Service: "ledger", Priority: level})
	service, at, refused := reach.Refuses(t0, "route/read", p, &table)
	c.Assert(refused && service == "ledger" && at == level, qt.IsTrue)
	_, _, refused = reach.Refuses(t0.Add(time.Second), "route/read", p, &table)
	c.Assert(refused, qt.IsTrue)
	_, _, refused = reach.Refuses(t0.Add(3*time.Second), "route/read", p, &table)
	c.Assert(refused, qt.IsFalse)
	c.Assert(reach.Of(t0.Add(2*time.Minute), "route/read"), qt.HasLen, 0)
}

// Guards against retry delays that make all refused callers retry at the same time or that ignore the pressure.
func TestRetryAfterSpreads(t *testing.T) {
	c := qt.New(t)
	rnd := rand.New(rand.NewPCG(1, 2))
	draw := func(pressure float64) (out []time.Duration) {
		for range 200 {
			out = append(out, cradmission.RetryAfter(1, 2, pressure, rnd))
		}
		slices.Sort(out)
		return out
	}
	low, high := draw(1), draw(6)
	c.Assert(low[0] >= cradmission.MinRetryAfter && high[199] <= cradmission.MaxRetryAfter, qt.IsTrue)
	c.Assert(high[0] > low[100] && high[199] > 2*high[0], qt.IsTrue)
}
