package crcontrol_test

import (
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/citronramp/citronramp/internal/crtest"
	"github.com/citronramp/citronramp/pkg/crcode"
)

// threeInstances returns a deployment of three control instances and three nodes, where each node prefers a different
// control instance.
func threeInstances() crtest.Options {
	return crtest.Options{Controls: 3, Services: []crtest.Service{{
		Name: "ledger", Servers: 3, Slots: 8,
		Kinds: map[string]string{"read": "class ordinary worth 1 repeat yes deadline 2s retries 3"},
	}}}
}

// waitForLeader waits until one of the control instances leads and returns it and the others.
func waitForLeader(k *crtest.Cluster, among []*crtest.Control) (lead *crtest.Control, others []*crtest.Control) {
	k.C.Helper()
	k.Eventually(func() error {
		lead, others = nil, nil
		for _, c := range among {
			if k.DumpControl(c).Leads && lead == nil {
				lead = c
			} else {
				others = append(others, c)
			}
		}
		if lead == nil {
			return fmt.Errorf("no control instance leads")
		}
		return nil
	})
	return lead, others
}

// submitUntilAccepted resends a change until it is accepted.
func submitUntilAccepted(k *crtest.Cluster, c *crtest.Control, line string) {
	k.C.Helper()
	k.Eventually(func() error { _, err := k.Command(c, line); return err })
}

// version is a comparable configuration version.
type version struct{ epoch, index uint64 }

func versionOf(k *crtest.Cluster, text string) version {
	var v version
	_, err := fmt.Sscanf(text, "%d.%d", &v.epoch, &v.index)
	k.C.Assert(err, qt.IsNil, qt.Commentf("version %q", text))
	return v
}

func (v version) less(o version) bool {
	return v.epoch < o.epoch || v.epoch == o.epoch && v.index < o.index
}

// watchVersions polls the versions of nodes until stop is closed and fails the test if one decreases.
func watchVersions(k *crtest.Cluster, nodes []*crtest.Node, stop chan struct{}) *sync.WaitGroup {
	var wg sync.WaitGroup
	for _, n := range nodes {
		wg.Add(1)
		go func() {
			defer wg.Done()
			var last version
			for {
				v := versionOf(k, n.Dump().Config.Version)
				k.C.Check(v.less(last), qt.IsFalse, qt.Commentf("%s went from %v to %v", n.Name, last, v))
				last = v
				select {
				case <-stop:
					return
				case <-time.After(5 * time.Millisecond):
				}
			}
		}()
	}
	return &wg
}

// waitInForce waits until every node has version v or a newer one.
func waitInForce(k *crtest.Cluster, nodes []*crtest.Node, v version) {
	k.C.Helper()
	for _, n := range nodes {
		k.Eventually(func() error {
			if got := versionOf(k, n.Dump().Config.Version); got.less(v) {
				return fmt.Errorf("%s has %v, not %v", n.Name, got, v)
			}
			return nil
		})
	}
}

func currentVersion(k *crtest.Cluster, c *crtest.Control) version {
	return versionOf(k, k.DumpControl(c).Version)
}

// TestIsolatedLeader guards I8 and F2 against an isolated leader that accepts changes: the leader and the node connected to
// it are partitioned from the rest without connection resets. The leader must accept nothing after its lease expires, the
// other instances must continue, the isolated node must report the age of its configuration and keep serving, and after
// the partition no version may decrease.
func TestIsolatedLeader(t *testing.T) {
	t.Parallel()
	k := crtest.Start(t, threeInstances())
	isolated, others := waitForLeader(k, k.Controls)
	var isolatedNode *crtest.Node
	var rest []*crtest.Node
	for _, n := range k.Nodes {
		if n.Settings.Control[0] == isolated.Settings.Inner {
			isolatedNode = n
		} else {
			rest = append(rest, n)
		}
	}
	stop := make(chan struct{})
	watching := watchVersions(k, k.Nodes, stop)
	k.Partition(isolated.Name, isolatedNode.Name)
	k.Eventually(func() error {
		if k.DumpControl(isolated).Leads {
			return fmt.Errorf("%s still leads", isolated.Name)
		}
		return nil
	})
	_, err := k.Command(isolated, "set kind ledger/read worth 666")
	k.C.Check(err, qt.IsNotNil)
	_, _ = waitForLeader(k, others)
	before := currentVersion(k, others[0])
	submitUntilAccepted(k, others[0], "set kind ledger/read worth 5")
	// A follower may apply an accepted entry a moment after the leader.
	var after version
	k.Eventually(func() error {
		if after = currentVersion(k, others[0]); !before.less(after) {
			return fmt.Errorf("%s has %v", others[0].Name, after)
		}
		return nil
	})
	waitInForce(k, rest, after)
	k.Eventually(func() error {
		d := isolatedNode.Dump().Config
		if d.Confirmed || d.ConfirmedMS < 5000 {
			return fmt.Errorf("%+v", d)
		}
		return nil
	})
	held := versionOf(k, isolatedNode.Dump().Config.Version)
	k.C.Check(held.less(after), qt.IsTrue,
		qt.Commentf("%s, connected to %s, has %v, the others %v", isolatedNode.Name, isolated.Name, held, after))
	k.Eventually(func() error {
		if r := k.Send(isolatedNode, "ledger/read", crtest.Request{Deadline: time.Second}); r.Code != crcode.OK {
			return fmt.Errorf("%+v", r)
		}
		return nil
	})
	_, err = k.Command(isolated, "set kind ledger/read worth 667")
	k.C.Check(err, qt.IsNotNil)
	k.Heal()
	waitInForce(k, k.Nodes, after)
	submitUntilAccepted(k, isolated, "create service afterwards")
	waitInForce(k, k.Nodes, currentVersion(k, others[0]))
	close(stop)
	watching.Wait()
	for _, c := range k.Controls {
		text, err := k.Command(c, "show kinds")
		k.C.Assert(err, qt.IsNil)
		k.C.Check(strings.Contains(text, "666") || strings.Contains(text, "667"), qt.IsFalse, qt.Commentf("%s", text))
	}
}

// TestEqualExpectedVersions guards F3 against two concurrent commands that are both accepted: of two commands with the same
// expected version, sent to two control instances at the same time, exactly one must be accepted, and a resend with the
// same id to another instance must get the original answer.
func TestEqualExpectedVersions(t *testing.T) {
	t.Parallel()
	k := crtest.Start(t, threeInstances())
	for round := range 20 {
		object := fmt.Sprintf("raced-%d", round)
		text, err := k.Command(k.Controls[round%3], "create service "+object)
		k.C.Assert(err, qt.IsNil)
		_, v, found := strings.Cut(text, "has version ")
		v, _, _ = strings.Cut(v, "\n")
		k.C.Assert(found, qt.IsTrue, qt.Commentf("%s", text))
		results := make(chan error, 2)
		var lines []string
		for i := range 2 {
			lines = append(lines, fmt.Sprintf("set service %s owner team-%d if %s id %d-%d",
				object, i, strings.TrimSuffix(v, "."), time.Now().UnixMilli(), round*2+i))
		}
		for i := range 2 {
			go func() { _, err := k.Command(k.Controls[i], lines[i]); results <- err }()
		}
		first, second := <-results, <-results
		k.C.Assert((first == nil) != (second == nil), qt.IsTrue, qt.Commentf("%v, %v", first, second))
		accepted := 0
		for i, line := range lines {
			if _, err := k.Command(k.Controls[2-i], line); err == nil {
				accepted++
			}
		}
		k.C.Assert(accepted, qt.Equals, 1, qt.Commentf("the resends of round %d", round))
	}
}

// TestRestartAfterManyChanges guards I8 and F5 against changes lost in a restart: all control instances restart after
// 300 changes and a new node starts. All must have the latest change, and no node may return to an older version.
func TestRestartAfterManyChanges(t *testing.T) {
	t.Parallel()
	k := crtest.Start(t, threeInstances())
	for i := range 300 {
		submitUntilAccepted(k, k.Controls[i%3], fmt.Sprintf("set kind ledger/read worth %d", i+1))
	}
	latest := currentVersion(k, firstControl(waitForLeader(k, k.Controls)))
	waitInForce(k, k.Nodes, latest)
	stop := make(chan struct{})
	watching := watchVersions(k, k.Nodes, stop)
	var wg sync.WaitGroup
	for _, c := range k.Controls {
		wg.Add(1)
		go func() {
			defer wg.Done()
			k.Restart(c)
		}()
	}
	wg.Wait()
	_, _ = waitForLeader(k, k.Controls)
	k.Eventually(func() error {
		text, err := k.Command(k.Controls[0], "show kinds")
		if err == nil && !strings.Contains(text, "300") {
			err = fmt.Errorf("%s", text)
		}
		return err
	})
	fresh := k.StartNode(k.Options.Services[0], "ledger-9", 1)
	k.Eventually(func() error {
		if fresh.Dump().Config.Version == "0.0" {
			return fmt.Errorf("no configuration yet")
		}
		return nil
	})
	k.C.Check(versionOf(k, fresh.Dump().Config.Version).less(latest), qt.IsFalse,
		qt.Commentf("a new node started below the version in force"))
	close(stop)
	watching.Wait()
}

func firstControl(c *crtest.Control, _ []*crtest.Control) *crtest.Control { return c }

// TestPlannedStopOfLeader guards I7 and I8 against commands lost in a leadership transfer: the leader is stopped while
// commands are in flight. Each command must get an answer, accepted ones must be kept, and nodes must keep serving.
func TestPlannedStopOfLeader(t *testing.T) {
	t.Parallel()
	k := crtest.Start(t, threeInstances())
	lead, others := waitForLeader(k, k.Controls)
	stop := make(chan struct{})
	var wg sync.WaitGroup
	var mu sync.Mutex
	var accepted []string
	for i := range 4 {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for n := 0; ; n++ {
				select {
				case <-stop:
					return
				default:
				}
				name := fmt.Sprintf("stop-%d-%d", i, n)
				if _, err := k.Command(others[i%2], "create service "+name); err == nil {
					mu.Lock()
					accepted = append(accepted, name)
					mu.Unlock()
				} else {
					k.C.Check(strings.HasPrefix(err.Error(), "create service"), qt.IsTrue, qt.Commentf("no answer: %v", err))
				}
				r := k.Send(k.Nodes[i%3], "ledger/read", crtest.Request{})
				k.C.Check(r.Code, qt.Equals, crcode.OK, qt.Commentf("%+v", r))
			}
		}()
	}
	waitAccepted := func(n int) {
		k.Eventually(func() error {
			mu.Lock()
			defer mu.Unlock()
			if len(accepted) < n {
				return fmt.Errorf("only %d commands are accepted", len(accepted))
			}
			return nil
		})
	}
	waitAccepted(20)
	k.C.Check(lead.Stop(), qt.IsNil)
	mu.Lock()
	n := len(accepted)
	mu.Unlock()
	waitAccepted(n + 20)
	close(stop)
	wg.Wait()
	text, err := k.Command(others[0], "show services")
	k.C.Assert(err, qt.IsNil)
	for _, name := range accepted {
		k.C.Check(strings.Contains(text, name), qt.IsTrue, qt.Commentf("%s was accepted but is missing", name))
	}
}

// startWithReplacement starts a deployment, kills one control instance for good and waits until its replacement by fresh
// and a further change are accepted.
func startWithReplacement(t *testing.T) (k *crtest.Cluster, lead, kept, fresh *crtest.Control) {
	k = crtest.Start(t, threeInstances())
	lead, others := waitForLeader(k, k.Controls)
	for i := range 50 {
		submitUntilAccepted(k, lead, fmt.Sprintf("set kind ledger/read worth %d", i+1))
	}
	k.Kill(others[0])
	fresh = k.Join("control-4", t.TempDir())
	submitUntilAccepted(k, lead, "replace member "+others[0].Name+" with control-4 at "+fresh.Settings.Inner)
	submitUntilAccepted(k, lead, "set kind ledger/read worth 77")
	return k, lead, others[1], fresh
}

// waitForLastChange waits until every control instance shows the last change made by startWithReplacement.
func waitForLastChange(k *crtest.Cluster, all ...*crtest.Control) {
	k.C.Helper()
	for _, c := range all {
		k.Eventually(func() error {
			text, err := k.Command(c, "show kinds")
			if err == nil && !strings.Contains(text, "77") {
				err = fmt.Errorf("%s: %s", c.Name, text)
			}
			return err
		})
	}
}

// TestSecondLossAfterRepair guards F4 and I8 against changes lost with a second control instance: once the replacement of a
// lost instance is a voter, the leader is lost too. The remaining two must continue, no accepted change may be lost and no
// node may return to an older version.
func TestSecondLossAfterRepair(t *testing.T) {
	t.Parallel()
	k, lead, kept, fresh := startWithReplacement(t)
	stop := make(chan struct{})
	watching := watchVersions(k, k.Nodes, stop)
	k.Eventually(func() error {
		for _, m := range k.DumpControl(kept).Members {
			if m.Learner || len(k.DumpControl(kept).Members) != 3 {
				return fmt.Errorf("the replacement is not a voter yet")
			}
		}
		return nil
	})
	k.Kill(lead)
	_, _ = waitForLeader(k, []*crtest.Control{kept, fresh})
	submitUntilAccepted(k, kept, "create service afterwards")
	waitForLastChange(k, kept, fresh)
	waitInForce(k, k.Nodes, currentVersion(k, kept))
	close(stop)
	watching.Wait()
}

// TestSecondLossBeforeRepairSettles guards F4 and I8 against changes lost while a replacement is incomplete: the leader is
// partitioned before the replacement has caught up, so that one voter and a learner remain. Whether they accept or refuse
// changes meanwhile, no accepted change may be lost and no node may return to an older version when the leader restarts
// with its disk.
func TestSecondLossBeforeRepairSettles(t *testing.T) {
	t.Parallel()
	k, lead, kept, fresh := startWithReplacement(t)
	stop := make(chan struct{})
	watching := watchVersions(k, k.Nodes, stop)
	k.Partition(lead.Name)
	_, during := k.Command(kept, "create service meanwhile")
	k.Restart(lead)
	k.Heal()
	_, _ = waitForLeader(k, []*crtest.Control{lead, kept, fresh})
	submitUntilAccepted(k, kept, "create service afterwards")
	waitForLastChange(k, lead, kept, fresh)
	if during == nil {
		text, err := k.Command(kept, "show services")
		k.C.Check(err, qt.IsNil)
		k.C.Check(text, qt.Contains, "meanwhile")
	}
	waitInForce(k, k.Nodes, currentVersion(k, kept))
	close(stop)
	watching.Wait()
}
