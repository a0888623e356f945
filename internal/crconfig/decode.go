package crconfig

import (
	"strconv"
	"strings"

	"google.golang.org/protobuf/proto"

	"github.com/citronramp/citronramp/internal/crwire"
	"github.com/citronramp/citronramp/pkg/crcode"
)

// decode returns the object in the entry's value after checking it against the entry's key and service. It returns nil
// for a deleted entry.
func decode(e *crwire.ConfigEntry) (proto.Message, error) {
	objectType, rest, _ := strings.Cut(e.GetKey(), "/")
	m, check := newObject(objectType)
	if m == nil {
		return nil, malformedEntry(e, "its key is not known")
	}
	if _, ok := groupNumber(e.Key); objectType == "group" && !ok {
		return nil, malformedEntry(e, "its number is not allowed")
	}
	if e.Deleted {
		if len(e.Value) > 0 || rest == "" {
			return nil, malformedEntry(e, "it is deleted but has a value, or its key has no name")
		}
		return nil, nil
	}
	if err := proto.Unmarshal(e.Value, m); err != nil {
		return nil, malformedEntry(e, "its value cannot be decoded")
	}
	key, service, err := check()
	if err != nil {
		return nil, malformedEntry(e, err.Error())
	}
	if key != e.Key || service != e.Service {
		return nil, malformedEntry(e, "its value belongs to another key or service")
	}
	return m, nil
}

func malformedEntry(e *crwire.ConfigEntry, why string) error {
	return crcode.New(crcode.MalformedMessage, "entry %q: %s", e.GetKey(), why)
}

// newObject returns an empty object of the type that the first part of a key names, and a function to call once the object
// is decoded: it validates the object and returns the key and service that the entry must have. An unknown type gives nil.
func newObject(objectType string) (proto.Message, func() (key, service string, err error)) {
	switch objectType {
	case "service":
		m := new(crwire.ServiceConfig)
		return m, func() (string, string, error) { return ServiceKey(m.Name), m.Name, CheckName(m.Name) }
	case "kind":
		m := new(crwire.KindConfig)
		return m, func() (string, string, error) {
			return KindKey(m.Service, m.Name), m.Service, answerError(firstRefusal(
				func() *answer { return checkNames(m.Service, m.Name) },
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

// answerError returns the refusal as an error; a nil answer means that the check passed.
func answerError(a *answer) error {
	if a == nil {
		return nil
	}
	return AnswerError(a)
}

// AnswerError returns the answer to a refused command as an error, and nil if the command was accepted.
func AnswerError(a *crwire.ConfigAnswer) error {
	if c := crcode.Code(a.GetCode()); c != crcode.OK {
		return &crcode.Error{Code: c, Detail: a.GetDetail()}
	}
	return nil
}

// groupNumber returns the number in the key of a keeper group, and whether it is valid.
func groupNumber(key string) (uint32, bool) {
	n, err := strconv.ParseUint(strings.TrimPrefix(key, "group/"), 10, 32)
	return uint32(n), err == nil && n < MaxGroups
}

// DecodeGroup decodes the keeper group in an entry.
func DecodeGroup(e *crwire.ConfigEntry) (*crwire.KeeperGroup, error) {
	m, err := decode(e)
	if err != nil {
		return nil, err
	}
	g, ok := m.(*crwire.KeeperGroup)
	if !ok {
		return nil, malformedEntry(e, "it is no keeper group")
	}
	return g, nil
}
