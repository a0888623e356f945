package crconfig

import (
	"strconv"
	"strings"

	"google.golang.org/protobuf/proto"

	"github.com/citronramp/citronramp/internal/crwire"
	"github.com/citronramp/citronramp/pkg/crcode"
)

// decode returns the object that an entry holds, checked against the entry's key and service; nil for a deleted one.
func decode(e *crwire.ConfigEntry) (proto.Message, error) {
	sort, rest, _ := strings.Cut(e.GetKey(), "/")
	m, check := blank(sort)
	if m == nil {
		return nil, malformed(e, "its key is not known")
	}
	if _, ok := groupNumber(e.Key); sort == "group" && !ok {
		return nil, malformed(e, "its number is not allowed")
	}
	if e.Deleted {
		if len(e.Value) > 0 || rest == "" {
			return nil, malformed(e, "it is deleted but has a value, or its key has no name")
		}
		return nil, nil
	}
	if err := proto.Unmarshal(e.Value, m); err != nil {
		return nil, malformed(e, "its value cannot be decoded")
	}
	key, service, err := check()
	if err != nil {
		return nil, malformed(e, err.Error())
	}
	if key != e.Key || service != e.Service {
		return nil, malformed(e, "its value belongs to another key or service")
	}
	return m, nil
}

func malformed(e *crwire.ConfigEntry, why string) error {
	return crcode.New(crcode.MalformedMessage, "entry %q: %s", e.GetKey(), why)
}

// blank returns an empty object for the first part of a key, and a function that checks it and returns the key and the
// service that it belongs under.
func blank(sort string) (proto.Message, func() (key, service string, err error)) {
	switch sort {
	case "service":
		m := new(crwire.ServiceConfig)
		return m, func() (string, string, error) { return ServiceKey(m.Name), m.Name, CheckName(m.Name) }
	case "kind":
		m := new(crwire.KindConfig)
		return m, func() (string, string, error) {
			return KindKey(m.Service, m.Name), m.Service, answerError(first(
				func() *answer { return names(m.Service, m.Name) },
				func() *answer { return checkKind(m) },
			))
		}
	case "server":
		m := new(crwire.ServerConfig)
		return m, func() (string, string, error) { return ServerKey(m.Node), "", CheckName(m.Node) }
	case "group":
		m := new(crwire.KeeperGroup)
		return m, func() (string, string, error) { return GroupKey(m.Number), "", answerError(checkMembers(m)) }
	case "conviction":
		m := new(crwire.Conviction)
		return m, func() (string, string, error) {
			return ConvictionKey(m.Fingerprint), m.Service, CheckFingerprint(m.Fingerprint)
		}
	}
	return nil, nil
}

// answerError returns the answer's refusal as an error.
func answerError(a *answer) error {
	if a == nil {
		return nil
	}
	return AnswerError(a)
}

// AnswerError returns the error of a refused command, nil for an accepted one.
func AnswerError(a *crwire.ConfigAnswer) error {
	if c := crcode.Code(a.GetCode()); c != crcode.OK {
		return &crcode.Error{Code: c, Detail: a.GetDetail()}
	}
	return nil
}

// groupNumber returns the number in a group's key.
func groupNumber(key string) (uint32, bool) {
	n, err := strconv.ParseUint(strings.TrimPrefix(key, "group/"), 10, 32)
	return uint32(n), err == nil && n < MaxGroups
}

// GroupOf returns the keeper group that an entry holds.
func GroupOf(e *crwire.ConfigEntry) (*crwire.KeeperGroup, error) {
	m, err := decode(e)
	if err != nil {
		return nil, err
	}
	g, ok := m.(*crwire.KeeperGroup)
	if !ok {
		return nil, malformed(e, "it is no keeper group")
	}
	return g, nil
}
