package crprint

import (
	"strings"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/citronramp/citronramp/internal/crconfig"
	"github.com/citronramp/citronramp/internal/crwire"
)

// ServicesOf lists the services of the state.
func ServicesOf(s *crconfig.State) Services {
	kinds := make(map[string]int)
	for _, o := range s.Objects("kind/") {
		kinds[o.Entry.Service]++
	}
	var a Services
	each(s, "service/", func(o *crwire.ConfigObject, m *crwire.ServiceConfig) {
		a.Services = append(a.Services, Service{
			Name: m.Name, Owner: m.Owner, Kinds: kinds[m.Name],
			Version: crconfig.VersionOf(o.Entry.Version), ChangedBy: o.Changed.Operator,
		})
	})
	return a
}

// KindsOf lists the kinds of one service, or of all when the name is empty.
func KindsOf(s *crconfig.State, service string) Kinds {
	prefix := "kind/"
	if service != "" {
		prefix = crconfig.KindKey(service, "")
	}
	var a Kinds
	each(s, prefix, func(o *crwire.ConfigObject, m *crwire.KindConfig) {
		class := "ordinary"
		if m.Protected {
			class = "protected"
		}
		a.Kinds = append(a.Kinds, Kind{
			Service: m.Service, Name: m.Name, Class: class, Worth: m.Worth, Repeatable: m.Repeatable,
			DeadlineMS: m.DeadlineMs, Retries: m.Retries,
			Version: crconfig.VersionOf(o.Entry.Version), ChangedBy: o.Changed.Operator,
		})
	})
	return a
}

// ConvictionsOf lists the convictions in force at the time now, of one service or of all, that started at since or
// later.
func ConvictionsOf(s *crconfig.State, service string, since, now time.Time) Convictions {
	var a Convictions
	each(s, "conviction/", func(o *crwire.ConfigObject, m *crwire.Conviction) {
		start, end := time.UnixMilli(m.SinceMs).UTC(), time.UnixMilli(m.ExpiresMs).UTC()
		if service != "" && m.Service != service || start.Before(since) || !now.Before(end) {
			return
		}
		a.Convictions = append(a.Convictions, Conviction{
			Fingerprint: m.Fingerprint, Service: m.Service, Kind: m.Kind, Since: start, Expires: end,
			Version: crconfig.VersionOf(o.Entry.Version),
		})
	})
	return a
}

// DrainedOf returns the nodes whose backend servers are drained.
func DrainedOf(s *crconfig.State) map[string]bool {
	nodes := make(map[string]bool)
	for _, o := range s.Objects("server/") {
		nodes[strings.TrimPrefix(o.Entry.Key, "server/")] = true
	}
	return nodes
}

// each decodes the live objects under prefix in order of key; the state holds only values that decode.
func each[T any, P interface {
	*T
	proto.Message
}](s *crconfig.State, prefix string, fn func(*crwire.ConfigObject, P),
) {
	for _, o := range s.Objects(prefix) {
		m := P(new(T))
		if proto.Unmarshal(o.Entry.Value, m) == nil {
			fn(o, m)
		}
	}
}
