package crlog_test

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/citronramp/citronramp/pkg/crlog"
)

// Three members exchange messages by direct calls of Step and apply one entry.
func Example() {
	now := time.Unix(0, 0)
	members := crlog.Members{{ID: 1, Address: "a"}, {ID: 2, Address: "b"}, {ID: 3, Address: "c"}}
	nodes := map[string]*crlog.Node{}
	for _, m := range members {
		cfg := crlog.Config{ID: m.ID, Address: m.Address, Rand: rand.New(rand.NewPCG(m.ID, 0))}
		n, err := crlog.New(now, cfg, crlog.State{Snapshot: crlog.Snapshot{Members: members}})
		if err != nil {
			panic(err)
		}
		nodes[m.Address] = n
	}
	proposed := false
	for ; now.Before(time.Unix(3, 0)); now = now.Add(10 * time.Millisecond) {
		for _, m := range members {
			n := nodes[m.Address]
			n.Tick(now)
			if !proposed {
				_, _, err := n.Propose(now, []byte("hello"))
				proposed = err == nil
			}
			r := n.Ready() // A real member stores r.Hard, r.Snapshot and r.Entries here.
			for _, msg := range r.Messages {
				nodes[msg.Address].Step(now, msg)
			}
			for _, e := range r.Committed {
				if e.Kind == crlog.Data {
					fmt.Printf("%s applies %s\n", m.Address, e.Data)
				}
			}
			n.Advance(now, r)
		}
	}
	// Unordered output:
	// a applies hello
	// b applies hello
	// c applies hello
}
