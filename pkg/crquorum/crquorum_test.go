package crquorum_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/citronramp/citronramp/pkg/crlog"
	"github.com/citronramp/citronramp/pkg/crquorum"
)

var (
	now     = time.Unix(1000, 0)
	members = crlog.Members{{ID: 1, Address: "a"}, {ID: 2, Address: "b"}, {ID: 3, Address: "c"}}
)

func candidate(id uint64, address string) crquorum.Candidate {
	return crquorum.Candidate{ID: id, Address: address, LastContact: now}
}

// TestFounders guards against a second log history: a coordinator that restarts, has lost its disk or is not a seed
// must not create a first membership, and all seeds create the same one.
func TestFounders(t *testing.T) {
	seeds := []string{"b", "a", "c"}
	first := crquorum.InitialMembers("a", seeds, true, true)
	qt.Assert(t, first, qt.HasLen, 3)
	qt.Assert(t, crquorum.InitialMembers("c", []string{"c", "a", "b"}, true, true), qt.DeepEquals, first)
	qt.Assert(t, first.Voters(), qt.Contains, crquorum.InitialMemberID("b"))
	qt.Assert(t, crquorum.InitialMembers("d", seeds, true, true), qt.IsNil)
	qt.Assert(t, crquorum.InitialMembers("a", seeds, false, true), qt.IsNil)
	qt.Assert(t, crquorum.InitialMembers("a", seeds, true, false), qt.IsNil)
}

// TestVoters guards against too few voters for the losses to tolerate.
func TestVoters(t *testing.T) {
	qt.Assert(t, crquorum.Voters(0), qt.Equals, 3)
	qt.Assert(t, crquorum.Voters(1), qt.Equals, 3)
	qt.Assert(t, crquorum.Voters(2), qt.Equals, 5)
}

// TestDecide guards against losses that are not repaired, and against replacements caused by a restart or a network
// partition.
func TestDecide(t *testing.T) {
	long := crquorum.VoterTimeout + time.Millisecond
	for name, c := range map[string]struct {
		view crquorum.View
		kind crquorum.ActionKind
		lost uint64
		id   uint64
	}{
		"all heard":            {crquorum.View{Candidates: []crquorum.Candidate{candidate(9, "d")}}, crquorum.NoChange, 0, 0},
		"silent, nobody":       {crquorum.View{SinceContact: map[uint64]time.Duration{2: long}}, crquorum.NoChange, 0, 0},
		"silent":               {crquorum.View{SinceContact: map[uint64]time.Duration{2: long}, Candidates: []crquorum.Candidate{candidate(9, "d")}}, crquorum.ReplaceVoter, 2, 9},
		"restarting":           {crquorum.View{SinceContact: map[uint64]time.Duration{2: crquorum.VoterTimeout}, Candidates: []crquorum.Candidate{candidate(9, "d")}}, crquorum.NoChange, 0, 0},
		"without its disk":     {crquorum.View{SinceContact: map[uint64]time.Duration{3: time.Second}, Candidates: []crquorum.Candidate{candidate(8, "d"), candidate(9, "c")}}, crquorum.ReplaceVoter, 3, 9},
		"candidate that left":  {crquorum.View{SinceContact: map[uint64]time.Duration{2: long}, Candidates: []crquorum.Candidate{{ID: 9, Address: "d", LastContact: now.Add(-2 * time.Second)}}}, crquorum.NoChange, 0, 0},
		"former member":        {crquorum.View{SinceContact: map[uint64]time.Duration{2: long}, Candidates: []crquorum.Candidate{candidate(3, "c")}}, crquorum.NoChange, 0, 0},
		"too few":              {crquorum.View{TargetVoters: 5, Candidates: []crquorum.Candidate{candidate(9, "d")}}, crquorum.AddVoter, 0, 9},
		"another domain first": {crquorum.View{TargetVoters: 5, Domains: map[string]string{"a": "x", "b": "y", "c": "y"}, Candidates: []crquorum.Candidate{{ID: 8, Address: "d", Domain: "x", LastContact: now}, {ID: 9, Address: "e", Domain: "z", LastContact: now}}}, crquorum.AddVoter, 0, 9},
	} {
		t.Run(name, func(t *testing.T) {
			c.view.Self, c.view.Members = 1, members
			if c.view.TargetVoters == 0 {
				c.view.TargetVoters = 3
			}
			a := crquorum.Decide(now, c.view)
			qt.Assert(t, a.Kind, qt.Equals, c.kind)
			qt.Assert(t, a.RemovedID, qt.Equals, c.lost)
			qt.Assert(t, a.Member.ID, qt.Equals, c.id)
		})
	}
}

// TestOneChange guards against a second change while a learner catches up, and against a learner that blocks
// replacements.
func TestOneChange(t *testing.T) {
	v := crquorum.View{
		Self: 1, TargetVoters: 3, Members: append(crlog.Members{{ID: 7, Address: "e", Learner: true, Replaces: 2}}, members...),
		SinceContact: map[uint64]time.Duration{2: time.Minute},
		Candidates:   []crquorum.Candidate{candidate(9, "d")},
	}
	qt.Assert(t, crquorum.Decide(now, v).Kind, qt.Equals, crquorum.NoChange)
	v.SinceContact[7] = crquorum.LearnerTimeout + time.Millisecond
	a := crquorum.Decide(now, v)
	qt.Assert(t, a.Kind, qt.Equals, crquorum.RemoveLearner)
	qt.Assert(t, a.RemovedID, qt.Equals, uint64(7))
}
