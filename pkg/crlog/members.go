package crlog

import (
	"encoding/json"
	"slices"

	"github.com/citronramp/citronramp/pkg/crcode"
)

// MaxVoters is the largest number of voting members.
const MaxVoters = 5

// Member is one instance that replicates the log.
type Member struct {
	ID uint64 `json:"id"`
	// Name is shown to operators; the log does not use it.
	Name    string `json:"name,omitempty"`
	Address string `json:"address"`
	// Learner marks a member that replicates the log but has no vote until it has caught up.
	Learner bool `json:"learner,omitempty"`
	// Replaces is the id of the voter that is removed when this learner has caught up; 0 means none.
	Replaces uint64 `json:"replaces,omitempty"`
}

// Members is a member list; it is never modified in place.
type Members []Member

// memberListAt is a member list and the index of the entry, or of the snapshot, that holds it.
type memberListAt struct {
	index   uint64
	members Members
}

func (m Members) find(id uint64) *Member {
	for i := range m {
		if m[i].ID == id {
			return &m[i]
		}
	}
	return nil
}

func (m Members) isVoter(id uint64) bool {
	v := m.find(id)
	return v != nil && !v.Learner
}

// Voters returns the ids of the voting members.
func (m Members) Voters() []uint64 {
	var out []uint64
	for _, v := range m {
		if !v.Learner {
			out = append(out, v.ID)
		}
	}
	return out
}

func (m Members) learner() *Member {
	i := slices.IndexFunc(m, func(v Member) bool { return v.Learner })
	if i < 0 {
		return nil
	}
	return &m[i]
}

func (m Members) without(id uint64) Members {
	return slices.DeleteFunc(slices.Clone(m), func(v Member) bool { return v.ID == id })
}

// quorumValue returns the highest value that a majority of the voters has reached; it reports false when there are no
// voters.
func quorumValue[T any](m Members, value func(id uint64) T, compare func(a, b T) int) (T, bool) {
	var values []T
	for _, id := range m.Voters() {
		values = append(values, value(id))
	}
	if len(values) == 0 {
		var zero T
		return zero, false
	}
	slices.SortFunc(values, compare)
	return values[(len(values)-1)/2], true
}

func encodeMembers(m Members) []byte {
	b, err := json.Marshal(m)
	if err != nil {
		// Encoding numbers, strings and booleans can't fail.
		panic(err)
	}
	return b
}

func decodeMembers(b []byte) (Members, error) {
	var m Members
	if err := json.Unmarshal(b, &m); err != nil {
		return nil, crcode.New(crcode.MalformedMessage, "member list: %v", err)
	}
	return m, nil
}
