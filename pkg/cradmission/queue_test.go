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

// Example embeds queue and level in a gate.
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
			level.Waited(now, refused.Wait(now))
			rnd := rand.New(rand.NewPCG(1, 2))
			after := cradmission.RetryAfter(refused.Priority, level.Current(), level.Pressure(), rnd)
			fmt.Println("refused:", refused.Value, after >= cradmission.MinRetryAfter)
		}
	}
	for it, ok := queue.Pop(now); ok; it, ok = queue.Pop(now) {
		level.Waited(now, it.Wait(now))
		fmt.Println("run:", it.Priority.Class())
		level.Completed(now)
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

// Guards against a queue that exceeds its places or the ordinary share, loses or doubles an item, runs a late one,
// keeps a lower one in place of a higher one, or pops out of order.
func TestQueueModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q := cradmission.Queue{Length: 10, MaxWait: 100 * time.Millisecond}
		now, in := t0, map[*cradmission.Item]bool{}
		leave := func(it *cradmission.Item) {
			if !in[it] {
				t.Fatalf("item left twice")
			}
			delete(in, it)
		}
		lowest := func() (low cradmission.Priority) {
			low = ^low
			for it := range in {
				low = min(low, it.Priority)
			}
			return low
		}
		for range rapid.IntRange(1, 100).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 9).Draw(t, "ms")) * time.Millisecond)
			switch rapid.IntRange(0, 5).Draw(t, "op") {
			default:
				class := cradmission.Class(rapid.IntRange(0, 1).Draw(t, "class"))
				it := &cradmission.Item{Priority: cradmission.NewPriority(class, uint32(rapid.IntRange(0, 3).Draw(t, "worth")), "x")}
				if rapid.Bool().Draw(t, "deadline") {
					it.Deadline = now.Add(30 * time.Millisecond)
				}
				in[it] = true
				if refused := q.Push(now, it); refused != nil {
					if refused.Priority != lowest() {
						t.Fatalf("refused %x, lowest %x", refused.Priority, lowest())
					}
					leave(refused)
				}
			case 0:
				if it, ok := q.Pop(now); ok {
					for o := range in {
						if o.Priority > it.Priority && o.Wait(now) < 100*time.Millisecond && (o.Deadline.IsZero() || now.Before(o.Deadline)) {
							t.Fatal("popped before a higher item")
						}
					}
					if it.Wait(now) >= 100*time.Millisecond || (!it.Deadline.IsZero() && !now.Before(it.Deadline)) {
						t.Fatal("late item popped")
					}
					leave(it)
				}
			case 1:
				for _, it := range q.Expire(now) {
					leave(it)
				}
			case 2:
				for it := range in {
					if !q.Remove(it) {
						t.Fatal("waiting item not found")
					}
					leave(it)
					break
				}
			}
			ordinary := 0
			for it := range in {
				if it.Priority.Class() == cradmission.Ordinary {
					ordinary++
				}
			}
			late := len(in) - q.Len()
			if q.Len() > 10 || ordinary-late > 8 {
				t.Fatalf("%d items, %d ordinary", q.Len(), ordinary)
			}
		}
	})
}

// Guards against levels that outlive their expiry, an older level that replaces a fresher one, and long answers.
func TestLevelTable(t *testing.T) {
	c := qt.New(t)
	var table cradmission.LevelTable
	low, high := cradmission.NewPriority(0, 1, "c"), cradmission.NewPriority(0, 9, "a")
	c.Assert(low.Probe() || high.Probe(), qt.IsFalse)
	table.Learn(t0, cradmission.LevelEntry{Service: "ledger", Priority: high, Age: 300 * time.Millisecond})
	table.Learn(t0, cradmission.LevelEntry{Service: "ledger", Priority: 0, Age: 400 * time.Millisecond})
	table.Learn(t0, cradmission.LevelEntry{Service: "old", Priority: high, Age: time.Second})
	c.Assert(table.Admits(t0, "ledger", low), qt.IsFalse)
	c.Assert(table.Admits(t0, "ledger", high), qt.IsTrue)
	c.Assert(table.Admits(t0, "old", low), qt.IsTrue)
	c.Assert(table.AppendAnswer(t0.Add(10*time.Millisecond), nil), qt.DeepEquals,
		[]cradmission.LevelEntry{{Service: "ledger", Priority: high, Age: 310 * time.Millisecond}})
	c.Assert(table.Admits(t0.Add(700*time.Millisecond), "ledger", low), qt.IsTrue)
	for i := range 3000 {
		table.Learn(t0, cradmission.LevelEntry{Service: fmt.Sprint(i), Priority: high})
	}
	c.Assert(table.AppendAnswer(t0.Add(time.Millisecond*100), nil), qt.HasLen, cradmission.MaxLevels)
}

// Guards against an entrance that starts requests which are refused below, or refuses for a service that is rarely
// reached or no longer sheds.
func TestReachRefusesBelowDeepLevel(t *testing.T) {
	c := qt.New(t)
	var reach cradmission.Reach
	var table cradmission.LevelTable
	for i := range 100 {
		deep := []string{"ledger"}
		if i%5 == 0 {
			deep = append(deep, "photo")
		}
		reach.Learn(t0, "route/read", deep)
	}
	level, p := cradmission.NewPriority(0, 9, "a"), cradmission.NewPriority(0, 1, "c")
	c.Assert(reach.Of(t0, "route/read"), qt.DeepEquals, []string{"ledger"})
	table.Learn(t0, cradmission.LevelEntry{Service: "photo", Priority: level})
	_, _, refused := reach.Refuses(t0, "route/read", p, &table)
	c.Assert(refused, qt.IsFalse)
	table.Learn(t0, cradmission.LevelEntry{Service: "ledger", Priority: level})
	service, at, refused := reach.Refuses(t0, "route/read", p, &table)
	c.Assert(refused && service == "ledger" && at == level, qt.IsTrue)
	_, _, refused = reach.Refuses(t0.Add(time.Second), "route/read", p, &table)
	c.Assert(refused, qt.IsFalse)
	c.Assert(reach.Of(t0.Add(2*time.Minute), "route/read"), qt.HasLen, 0)
}

// Guards against hints that send all refused callers back at once or ignore the pressure.
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
	calm, storm := draw(1), draw(6)
	c.Assert(calm[0] >= cradmission.MinRetryAfter && storm[199] <= cradmission.MaxRetryAfter, qt.IsTrue)
	c.Assert(storm[0] > calm[100] && storm[199] > 2*storm[0], qt.IsTrue)
}
