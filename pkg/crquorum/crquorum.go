// Package crquorum decides which coordinators are voters of the consensus log: which coordinators form the first
// membership, and how the leader adds members and replaces lost ones, one change at a time. It is pure: the caller
// passes in the time and all state.
package crquorum

import (
	"hash/fnv"
	"slices"
	"time"

	"github.com/citronramp/citronramp/pkg/crlog"
)

// Timeouts of membership changes.
const (
	// VoterTimeout is the time without contact after which a voter is replaced if there is a candidate. A killed process
	// is back within one or two seconds, so a shorter timeout would replace voters that only restart.
	VoterTimeout = 3 * time.Second
	// DiskLossTimeout is the time without contact after which a voter is replaced by a coordinator without its log at the
	// same address. It can be short, since the old process cannot run at that address any more.
	DiskLossTimeout = 300 * time.Millisecond
	// CandidateMaxAge is the maximum age of a candidate's last message. Candidates announce themselves twice a second.
	CandidateMaxAge = 1500 * time.Millisecond
	// LearnerTimeout is the time without contact after which a learner that has not caught up is removed.
	LearnerTimeout = 2 * time.Second
)

// Voters returns how many voters are needed to tolerate the loss of the given number of machines at once, up to the
// maximum of the log.
func Voters(losses int) int {
	return min(2*max(losses, 1)+1, crlog.MaxVoters)
}

// InitialMemberID returns the member id of a coordinator in the first membership. All of these coordinators derive the same
// ids from the same addresses.
func InitialMemberID(address string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte("founder|" + address))
	return h.Sum64() | 1
}

// InitialMembers returns the first membership, or nil if the coordinator at the address own must not create one. Only the
// seed coordinators configured for all processes create it, only at the first start of the deployment and only with an
// empty disk.
func InitialMembers(own string, seeds []string, firstStart, emptyDisk bool) crlog.Members {
	if !firstStart || !emptyDisk || !slices.Contains(seeds, own) {
		return nil
	}
	sorted := slices.Sorted(slices.Values(seeds))
	var out crlog.Members
	for _, s := range slices.Compact(sorted) {
		out = append(out, crlog.Member{ID: InitialMemberID(s), Name: s, Address: s})
	}
	return out
}

// Candidate is a coordinator that is not a member and has announced itself.
type Candidate struct {
	ID          uint64
	Name        string
	Address     string
	Domain      string
	LastContact time.Time
}

// View is the leader's state on which Decide bases its decision.
type View struct {
	Self    uint64
	Members crlog.Members
	// SinceContact is the time since the last message from each other member.
	SinceContact map[uint64]time.Duration
	// Domains are the known failure domains by address.
	Domains    map[string]string
	Candidates []Candidate
	// TargetVoters is the intended number of voters.
	TargetVoters int
}

// ActionKind is a kind of membership change.
type ActionKind uint8

// The membership changes.
const (
	NoChange ActionKind = iota
	// AddVoter adds a candidate as a further voter.
	AddVoter
	// ReplaceVoter replaces a lost voter by a candidate.
	ReplaceVoter
	// RemoveLearner removes a learner that does not catch up.
	RemoveLearner
)

// Action is the next membership change; Reason is for logs.
type Action struct {
	Kind      ActionKind
	RemovedID uint64
	Member    crlog.Member
	Reason    string
}

// Decide returns the next membership change.
func Decide(now time.Time, v View) Action {
	for _, m := range v.Members {
		if !m.Learner {
			continue
		}
		if v.SinceContact[m.ID] > LearnerTimeout {
			return Action{Kind: RemoveLearner, RemovedID: m.ID, Reason: "learner_silent"}
		}
		return Action{}
	}
	recent := v.recentCandidates(now)
	if len(recent) == 0 {
		return Action{}
	}
	for _, m := range v.Members {
		i := slices.IndexFunc(recent, func(c Candidate) bool { return c.Address == m.Address })
		if m.ID != v.Self && i >= 0 && v.SinceContact[m.ID] > DiskLossTimeout {
			return replace(m.ID, recent[i], "lost_its_disk")
		}
	}
	best := v.preferred(recent)
	if len(v.Members.Voters()) < v.TargetVoters {
		return Action{Kind: AddVoter, Member: memberOf(best), Reason: "too_few_voters"}
	}
	for _, m := range v.Members {
		if m.ID != v.Self && v.SinceContact[m.ID] > VoterTimeout {
			return replace(m.ID, best, "silent")
		}
	}
	return Action{}
}

func replace(lost uint64, c Candidate, reason string) Action {
	return Action{Kind: ReplaceVoter, RemovedID: lost, Member: memberOf(c), Reason: reason}
}

func memberOf(c Candidate) crlog.Member {
	return crlog.Member{ID: c.ID, Name: c.Name, Address: c.Address}
}

// recentCandidates returns the candidates whose last message is recent, sorted by address.
func (v *View) recentCandidates(now time.Time) []Candidate {
	var out []Candidate
	for _, c := range v.Candidates {
		known := slices.ContainsFunc(v.Members, func(m crlog.Member) bool { return m.ID == c.ID })
		if !known && now.Sub(c.LastContact) <= CandidateMaxAge {
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

// preferred returns a candidate in a failure domain without a live voter, or else the first candidate.
func (v *View) preferred(recent []Candidate) Candidate {
	usedDomains := map[string]bool{}
	for _, m := range v.Members {
		if m.ID == v.Self || v.SinceContact[m.ID] <= VoterTimeout {
			usedDomains[v.Domains[m.Address]] = true
		}
	}
	for _, c := range recent {
		if !usedDomains[c.Domain] {
			return c
		}
	}
	return recent[0]
}
