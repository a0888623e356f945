package crnode_test

import (
	"fmt"
	"io"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/citronramp/citronramp/internal/crtest"
	"github.com/citronramp/citronramp/pkg/crcode"
	"github.com/citronramp/citronramp/pkg/crquarantine"
)

const poison = "poison"

// crashModes are the ways in which one request crashes its backend server.
var crashModes = map[string]func(*crtest.Run){
	"at once": (*crtest.Run).Crash,
	"in the middle of the answer": func(r *crtest.Run) {
		r.W.Header().Set("Content-Length", "100")
		_, _ = io.WriteString(r.W, "PARTIAL")
		_ = r.Flush()
		r.Crash()
	},
	"after the deadline": func(r *crtest.Run) {
		<-r.R.Context().Done()
		go r.Server.Crash()
	},
}

// TestCrashingRequest guards against a request that crashes each backend server that runs it (fault F6). Its caller sends
// it to every entrance, again and under new ids. The request may crash two servers of the service at most, and the
// requests that ran beside it must run later.
func TestCrashingRequest(t *testing.T) {
	t.Parallel()
	for name, crash := range crashModes {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			crashingRequest(t, crash)
		})
	}
}

func crashingRequest(t *testing.T, crash func(*crtest.Run)) {
	var crashed atomic.Int64
	bystanderStarted := make(chan struct{}, 64)
	release := make(chan struct{})
	var repaired atomic.Bool
	k := crtest.Start(t, ledgerOptions(4, func(r *crtest.Run) {
		switch body := string(r.Body); {
		case body == poison && !repaired.Load():
			crashed.Add(1)
			crash(r)
		case strings.HasPrefix(body, "beside"):
			bystanderStarted <- struct{}{}
			select {
			case <-release:
			case <-r.R.Context().Done():
				return
			}
			r.Answer()
		default:
			r.Answer()
		}
	}))
	bystanders := startBystanders(k, bystanderStarted)
	deadline := 400 * time.Millisecond
	for round := range 12 {
		k.Send(k.Nodes[round%4], "ledger/read", crtest.Request{Body: []byte(poison), Deadline: deadline})
		// The bound counts from the first crash that the gates know of, so the caller waits until the notices have
		// reached them.
		if crashed.Load() > 0 {
			k.Eventually(func() error { return checkSuspectKnown(k) })
		}
		restartDeadServers(k)
	}
	close(release)
	bystanders.Wait()
	k.C.Assert(crashed.Load() <= 2, qt.IsTrue, qt.Commentf("%d servers crashed", crashed.Load()))
	k.C.Assert(crashed.Load() > 0, qt.IsTrue)
	for i := range 8 {
		k.Eventually(func() error {
			restartDeadServers(k)
			r := k.Send(k.Nodes[i%4], "ledger/read", crtest.Request{Body: fmt.Append(nil, "beside ", i)})
			if r.Code != crcode.OK {
				return fmt.Errorf("bystander %d: %+v", i, r)
			}
			return nil
		})
	}
	liftConviction(k, &repaired)
}

// checkSuspectKnown checks that all gates know the suspect.
func checkSuspectKnown(k *crtest.Cluster) error {
	f := crquarantine.FingerprintOf("ledger", "read", []byte(poison)).String()
	for _, n := range k.Nodes {
		known := false
		for _, e := range n.Dump().Quarantine.Entries {
			known = known || e.Fingerprint == f
		}
		if !known {
			return fmt.Errorf("%s does not know the suspect", n.Name)
		}
	}
	return nil
}

// startBystanders starts requests that stay in flight at every server.
func startBystanders(k *crtest.Cluster, started chan struct{}) *sync.WaitGroup {
	var wg sync.WaitGroup
	for i := range 8 {
		wg.Add(1)
		go func() {
			defer wg.Done()
			k.Send(k.Nodes[i%4], "ledger/read", crtest.Request{Body: fmt.Append(nil, "beside ", i)})
		}()
	}
	for range 8 {
		<-started
	}
	return &wg
}

// restartDeadServers restarts crashed backend servers as a supervisor does.
func restartDeadServers(k *crtest.Cluster) {
	for _, n := range k.Nodes {
		if n.Server.Stopped() {
			n.Server.Kill()
			n.StartServer()
		}
	}
}

// liftConviction waits until operators see the conviction, lifts it, and runs the request on the repaired servers.
func liftConviction(k *crtest.Cluster, repaired *atomic.Bool) {
	f := crquarantine.FingerprintOf("ledger", "read", []byte(poison)).String()
	k.Eventually(func() error {
		k.Send(k.Nodes[0], "ledger/read", crtest.Request{Body: []byte(poison), Deadline: 400 * time.Millisecond})
		restartDeadServers(k)
		text, err := k.Command(k.Controls[0], "show convictions")
		if err == nil && !strings.Contains(text, f) {
			err = fmt.Errorf("%s is not in %q", f, text)
		}
		return err
	})
	k.C.Assert(k.Send(k.Nodes[1], "ledger/read", crtest.Request{Body: []byte(poison)}).Outcome, qt.Equals, crcode.NotRun.String())
	repaired.Store(true)
	_, err := k.Command(k.Controls[0], "lift conviction "+f)
	k.C.Assert(err, qt.IsNil)
	for _, n := range k.Nodes {
		k.Eventually(func() error {
			if r := k.Send(n, "ledger/read", crtest.Request{Body: []byte(poison)}); r.Code != crcode.OK {
				return fmt.Errorf("%+v", r)
			}
			return nil
		})
	}
}
