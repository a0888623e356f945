// Package crquorum decides which coordinators vote: who founds the first membership, and how the leader takes in new
// members and replaces lost ones, one change at a time. It is pure: the caller passes in the time and what is known.
package crquorum

import (
	"hash/fnv"
	"slices"
	"time"

	"github.com/citronramp/citronramp/pkg/crlog"
)

// Times of the decisions.
const (
	// LostAfter is the silence after which a voter is replaced when somebody can take its place. A process that is
	// killed is back within a second or two, so a shorter time would replace voters that only restart.
	LostAfter = 3 * time.Second
	// RebornAfter is the silence after which a voter is replaced by a coordinator without its log at the same address:
	// the old process cannot be there as well.
	RebornAfter = 300 * time.Millisecond
	// CandidateFresh is how recent the last message of a candidate must be; they announce themselves twice a second.
	CandidateFresh = 1500 * time.Millisecond
	// LearnerPatience is the silence after which a learner that has not caught up is given up.
	LearnerPatience = 2 * time.Second
)

// Voters returns how many voters bear the loss of the given number of machines at once, within what the log allows.
func Voters(losses int) int {
	return min(2*max(losses, 1)+1, crlog.MaxVoters)
}

// FirstID returns the member id of a founding coordinator; all founders derive the same ids from the same addresses.
func FirstID(address string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte("founder|" + address))
	return h.Sum64() | 1
}

// Founders returns the first membership, or nil when the coordinator at own must not found one: only the coordinators
// that all processes are told of at the very first start do, and only with an empty disk.
func Founders(own string, seeds []string, firstStart, emptyDisk bool) crlog.Members {
	if !firstStart || !emptyDisk || !slices.Contains(seeds, own) {
		return nil
	}
	sorted := slices.Sorted(slices.Values(seeds))
	var out crlog.Members
	for _, s := range slices.Compact(sorted) {
		out = append(out, crlog.Member{ID: FirstID(s), Name: s, Address: s})
	}
	return out
}

// Candidate is a coordinator that is no member and announced itself.
type Candidate struct {
	ID      uint64
	Name    string
	Address string
	Domain  string
	Heard   time.Time
}

// View is what the leader knows.
type View struct {
	Self    uint64
	Members crlog.Members
	// Silence is the time since each other member was heard.
	Silence map[uint64]time.Duration
	// Domains are the failure domains of addresses, as far as known.
	Domains    map[string]string
	Candidates []Candidate
	// Want is the number of voters to have.
	Want int
}

// ActionKind names a change of the membership.
type ActionKind uint8

// The changes.
const (
	Nothing ActionKind = iota
	// Add takes a candidate in as a further voter.
	Add
	// Replace puts a candidate in the place of a lost voter.
	Replace
	// GiveUp removes a learner that does not catch up.
	GiveUp
)

// Action is the next change; Reason is for logs.
type Action struct {
	Kind   ActionKind
	Lost   uint64
	Member crlog.Member
	Reason string
}

// Decide returns the next change of the membership.
func Decide(now time.Time, v View) Action {
	for _, m := range v.Members {
		if !m.Learner {
			continue
		}
		if v.Silence[m.ID] > LearnerPatience {
			return Action{Kind: GiveUp, Lost: m.ID, Reason: "learner_silent"}
		}
		return Action{}
	}
	fresh := v.fresh(now)
	if len(fresh) == 0 {
		return Action{}
	}
	for _, m := range v.Members {
		i := slices.IndexFunc(fresh, func(c Candidate) bool { return c.Address == m.Address })
		if m.ID != v.Self && i >= 0 && v.Silence[m.ID] > RebornAfter {
			return replace(m.ID, fresh[i], "lost_its_disk")
		}
	}
	best := v.best(fresh)
	if len(v.Members.Voters()) < v.Want {
		return Action{Kind: Add, Member: member(best), Reason: "too_few_voters"}
	}
	for _, m := range v.Members {
		if m.ID != v.Self && v.Silence[m.ID] > LostAfter {
			return replace(m.ID, best, "silent")
		}
	}
	return Action{}
}

func replace(lost uint64, c Candidate, reason string) Action {
	return Action{Kind: Replace, Lost: lost, Member: member(c), Reason: reason}
}

func member(c Candidate) crlog.Member {
	return crlog.Member{ID: c.ID, Name: c.Name, Address: c.Address}
}

// fresh returns the candidates that were heard lately, in a fixed order.
func (v *View) fresh(now time.Time) []Candidate {
	var out []Candidate
	for _, c := range v.Candidates {
		known := slices.ContainsFunc(v.Members, func(m crlog.Member) bool { return m.ID == c.ID })
		if !known && now.Sub(c.Heard) <= CandidateFresh {
			out = append(out, c)
		}
	}
	slices.SortFunc(out, func(a, b Candidate) int {
		if a.Address < b.Address {
			return -1
		}
		return 1
	})
	return out
}

// best prefers a candidate in a failure domain without a voter that is heard.
func (v *View) best(fresh []Candidate) Candidate {
	used := map[string]bool{}
	for _, m := range v.Members {
		if m.ID == v.Self || v.Silence[m.ID] <= LostAfter {
			used[v.Domains[m.Address]] = true
		}
	}
	for _, c := range fresh {
		if !used[c.Domain] {
			return c
		}
	}
	return fresh[0]
}
