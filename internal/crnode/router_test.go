package crnode_test

import (
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/citronramp/citronramp/internal/crtest"
	"github.com/citronramp/citronramp/pkg/crcode"
)

// ejected returns the servers of the ledger service that a node has ejected, and the number of all its servers.
func ejected(n *crtest.Node) (names []string, all int) {
	servers := n.Dump().Servers("ledger")
	for _, s := range servers {
		if s.Ejected {
			names = append(names, s.Node)
		}
	}
	return names, len(servers)
}

// serverFaults are faults of a backend server that still announces itself as serving.
var serverFaults = map[string]func(*crtest.Run){
	"hangs":           func(r *crtest.Run) { <-r.R.Context().Done() },
	"answers 500":     func(r *crtest.Run) { r.W.WriteHeader(500) },
	"drops its calls": (*crtest.Run).Drop,
}

// TestFaultyServerIsEjected guards against a faulty server that announces itself as healthy: it is ejected, the others
// answer, and probes readmit it after its repair.
func TestFaultyServerIsEjected(t *testing.T) {
	t.Parallel()
	for name, fault := range serverFaults {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			k := crtest.Start(t, ledgerOptions(4, nil))
			bad := k.Nodes[0]
			bad.Server.Handle(fault)
			stop, wg := startRequests(k, k.Nodes[1])
			k.Eventually(func() error {
				if names, _ := ejected(k.Nodes[1]); len(names) != 1 || names[0] != bad.Name {
					return fmt.Errorf("ejected: %v", names)
				}
				return nil
			})
			bad.Server.Handle((*crtest.Run).Answer)
			k.Eventually(func() error {
				if names, _ := ejected(k.Nodes[1]); len(names) != 0 {
					return fmt.Errorf("ejected: %v", names)
				}
				return nil
			})
			close(stop)
			wg.Wait()
		})
	}
}

// startRequests sends requests to a node until stop is closed.
func startRequests(k *crtest.Cluster, n *crtest.Node) (stop chan struct{}, wg *sync.WaitGroup) {
	stop, wg = make(chan struct{}), new(sync.WaitGroup)
	for range 6 {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for {
				select {
				case <-stop:
					return
				default:
					k.Send(n, "ledger/read", crtest.Request{Deadline: 200 * time.Millisecond})
				}
			}
		}()
	}
	return stop, wg
}

// TestHalfIsNeverEjected guards against a caller that ejects a whole service: with three of four servers faulty, at most
// two are ejected at any time, and the healthy one continues to answer.
func TestHalfIsNeverEjected(t *testing.T) {
	t.Parallel()
	k := crtest.Start(t, ledgerOptions(4, nil))
	for _, n := range k.Nodes[:3] {
		n.Server.Handle(serverFaults["answers 500"])
	}
	stop, wg := startRequests(k, k.Nodes[3])
	most := 0
	checkEjected := func() {
		names, all := ejected(k.Nodes[3])
		most = max(most, len(names))
		k.C.Check(2*len(names) <= all, qt.IsTrue, qt.Commentf("%v of %d are ejected", names, all))
	}
	k.Eventually(func() error {
		checkEjected()
		if most < 2 {
			return fmt.Errorf("%d are ejected", most)
		}
		return nil
	})
	for range 100 {
		checkEjected()
	}
	var whole atomic.Int64
	k.Eventually(func() error {
		if r := k.Send(k.Nodes[3], "ledger/read", crtest.Request{}); r.Code == crcode.OK && r.Status == 200 {
			whole.Add(1)
		}
		if whole.Load() < 10 {
			return fmt.Errorf("%d answers", whole.Load())
		}
		return nil
	})
	close(stop)
	wg.Wait()
}
