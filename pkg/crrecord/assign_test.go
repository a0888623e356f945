package crrecord

import (
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"
)

func candidates(n, domains int) []Candidate {
	var out []Candidate
	for i := range n {
		out = append(out, Candidate{Member: Member{Node: fmt.Sprintf("n%02d", i), Incarnation: "1", Domain: fmt.Sprint("d", i%domains)}})
	}
	return out
}

// apply returns the groups of present with those of changed replaced.
func apply(present, changed []Group) []Group {
	byNumber := make(map[uint32]Group)
	for _, list := range [][]Group{present, changed} {
		for _, g := range list {
			byNumber[g.Number] = g
		}
	}
	var out []Group
	for n := range uint32(Groups) {
		out = append(out, byNumber[n])
	}
	return out
}

// TestAssign guards against groups with several members in one failure domain, uneven load, unnecessary changes and
// unnecessary fences.
func TestAssign(t *testing.T) {
	c := qt.New(t)
	live := candidates(12, 4)
	all := Assign(Assignment{Live: live, NowMS: testMS})
	c.Assert(all, qt.HasLen, Groups)
	load := make(map[string]int)
	for _, g := range all {
		domains := make(map[string]bool)
		for _, m := range g.Members {
			domains[m.Domain] = true
			load[m.Node]++
		}
		c.Assert(len(domains) == 3 && g.Epoch == 1 && g.FenceMS == 0 && len(g.Previous) == 0, qt.IsTrue)
	}
	for node, n := range load {
		// Loads may differ from the mean by one, because the members of each group are in different failure domains.
		c.Check(n >= Groups*GroupSize/12-1 && n <= Groups*GroupSize/12+1, qt.IsTrue, qt.Commentf("%s: %d", node, n))
	}
	c.Check(Assign(Assignment{Live: live, Configured: all}), qt.HasLen, 0)

	// One node restarts: only its groups change, each by one member and without a fence.
	restarted := candidates(12, 4)
	restarted[0].Member.Incarnation = "2"
	changed := Assign(Assignment{Live: restarted, Configured: all, NowMS: testMS, MaxMoves: -1})
	c.Check(changed, qt.HasLen, load["n00"])
	for _, g := range changed {
		old := all[g.Number]
		same := 0
		for _, m := range g.Members {
			if old.Has(m) {
				same++
			}
		}
		c.Assert(same == 2 && g.Epoch == 2 && g.FenceMS == 0, qt.IsTrue)
		c.Assert(g.Previous, qt.DeepEquals, old.Members)
	}
}

// TestAssignFence guards against a missing fence when a majority is lost, and against a fence when a majority is only
// leaving.
func TestAssignFence(t *testing.T) {
	c := qt.New(t)
	all := Assign(Assignment{Live: candidates(3, 3)})
	fenced := func(live []Candidate) (n int) {
		for _, g := range Assign(Assignment{Live: live, Configured: all, NowMS: testMS}) {
			if g.FenceMS == testMS+35_000 {
				n++
			}
		}
		return n
	}
	c.Check(fenced(candidates(1, 3)), qt.Equals, Groups)
	c.Check(fenced(candidates(2, 3)), qt.Equals, 0)
	leaving := candidates(6, 3)
	for i := range 3 {
		leaving[i].Leaving = true
	}
	c.Check(fenced(leaving), qt.Equals, 0)
	for _, g := range Assign(Assignment{Live: leaving, Configured: all}) {
		for _, m := range g.Members {
			c.Assert(m.Node >= "n03", qt.IsTrue)
		}
	}
	c.Check(Assign(Assignment{Configured: all}), qt.HasLen, 0)
}

// TestAssignGrows guards against groups that stay small, in one failure domain or on few nodes after the cluster has
// grown.
func TestAssignGrows(t *testing.T) {
	c := qt.New(t)
	present := Assign(Assignment{Live: candidates(1, 3)})
	c.Check(present[0].Members, qt.HasLen, 1)
	present = apply(present, Assign(Assignment{Live: candidates(2, 3), Configured: present}))
	c.Check(present[0].Members, qt.HasLen, 2)
	live := candidates(8, 4)
	rounds := 0
	for changed := Assign(Assignment{Live: live, Configured: present}); len(changed) > 0; rounds++ {
		c.Assert(rounds < Groups, qt.IsTrue, qt.Commentf("the assignment does not settle"))
		present = apply(present, changed)
		changed = Assign(Assignment{Live: live, Configured: present, MaxMoves: 64})
		c.Assert(len(changed) <= 64, qt.IsTrue)
	}
	load := make(map[string]int)
	for _, g := range present {
		for _, m := range g.Members {
			load[m.Node]++
		}
	}
	for _, n := range live {
		mean := Groups * GroupSize / len(live)
		c.Check(load[n.Member.Node] > mean*3/4 && load[n.Member.Node] < mean*5/4, qt.IsTrue, qt.Commentf("%v", load))
	}
}
